//! Questions between nodes, and the network's faults.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use fulmarpier_coordination::{
    claim::Holder,
    member::{
        Event,
        Token,
        Unreachable, //
    },
    peer::{
        Answer,
        Message,
        Question,
        Reply, //
    },
};
use fulmarpier_state::id::NodeId;

use super::{
    Cell,
    Due,
    MS, //
};

/// After this long without an answer a question has failed.
const LIMIT: u64 = 500 * MS;

/// For this long at most a refusal is repeated from memory.
const MEMORY: u64 = 900 * MS;

#[derive(Default)]
pub(super) struct Links {
    /// The pairs of nodes between which nothing passes.
    pub(super) cut: BTreeSet<(NodeId, NodeId)>,
    /// Of a hundred questions, how many are lost.
    pub(super) lost: u64,
    /// Refusals that a node repeats from memory, with the time until which it does.
    remembered: BTreeMap<(NodeId, SocketAddr), u64>,
    /// Addresses that falsely refuse connections, against the platform's promise.
    pub(super) lying: BTreeSet<SocketAddr>,
}

impl Cell {
    pub(super) fn ask(
        &mut self,
        holder: Holder,
        token: Token,
        address: SocketAddr,
        message: Message,
    ) {
        let remembered = self.links.remembered.get(&(holder.node, address));
        if remembered.is_some_and(|until| *until > self.now) {
            let how = Unreachable::Refused;
            return self.later(MS, holder, Event::Unreachable { token, how });
        }
        let how = Unreachable::Timeout;
        self.later(LIMIT, holder, Event::Unreachable { token, how });
        let cut = self.links.cut.contains(&(holder.node, message.to));
        if !cut && self.random(100) >= self.links.lost {
            let at = self.now + self.latency();
            self.push(at, Due::Ask(holder, token, address, message));
        }
    }

    pub(super) fn asked(
        &mut self,
        from: Holder,
        token: Token,
        address: SocketAddr,
        message: Message,
    ) {
        let now = self.now;
        let refused = Event::Unreachable {
            token,
            how: Unreachable::Refused,
        };
        let listens = |node: &NodeId| {
            self.machine(*node)
                .is_some_and(|m| m.me().address == address)
        };
        let node = self.processes.keys().copied().find(listens);
        let event = match node {
            _ if self.links.lying.contains(&address) => refused,
            Some(node) if self.processes[&node].paused_until > now => {
                let until = self.processes[&node].paused_until;
                return self.push(until, Due::Ask(from, token, address, message));
            }
            Some(node) => Event::Answered {
                token,
                reply: self.reply(node, &message),
            },
            None if self.vms.values().any(|vm| *vm == address) => {
                let until = now + self.random(MEMORY);
                self.links.remembered.insert((from.node, address), until);
                refused
            }
            None => return,
        };
        let delay = self.latency();
        self.later(delay, from, event);
    }

    fn reply(&mut self, node: NodeId, message: &Message) -> Reply {
        let local = self.local(node);
        let machine = &mut self.processes.get_mut(&node).expect("it listens").machine;
        let Question::Ownership(question) = &message.question else {
            panic!("only ownership is asked about");
        };
        let answer = machine.answer(&message.from, question, local);
        let from = *machine.me();
        let answer = Answer::Ownership(answer);
        Reply { from, answer }
    }
}
