//! Commands that need what the peers know.

use std::collections::BTreeSet;

use fulmarpier_coordination::config::{
    Change,
    check::Usage, //
};
use fulmarpier_protocol::{
    http::table::Table,
    query::Show,
    wire, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        JobId,
        NodeId,
        ShardId, //
    },
};

use super::{
    super::{
        CallId,
        Node,
        Output, //
    },
    OK,
    run::{
        unknown_job,
        untold_job, //
    },
};

/// The HTTP status of a peer's reply that it does not have the job, with the shards it speaks for.
pub(super) const UNKNOWN: u16 = 404;

/// What is done with the peers' answers.
pub(super) enum Goal {
    /// Their rows are put behind those of this node.
    Show { show: Show, table: Table },
    /// The first that knows the job has the answer; nobody does only once each shard was told of.
    First {
        job: JobId,
        untold: BTreeSet<ShardId>,
    },
    /// Their usage is added up, then the change is checked against it.
    Change {
        change: Change,
        usage: Usage,
        request: wire::command::Request,
    },
}

/// A command that waits for peers.
pub(in crate::node) struct Running {
    call: CallId,
    goal: Goal,
    waiting: BTreeSet<NodeId>,
    until: Timestamp,
}

impl Running {
    pub(in crate::node) const fn until(&self) -> Timestamp {
        self.until
    }
}

impl Node {
    /// Asks every peer for a job that no shard of this node has, or tells a peer so.
    pub(super) fn search(
        &mut self,
        call: CallId,
        job: JobId,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        let settled = self.settled();
        if request.local {
            let reply = wire::command::Reply {
                status: UNKNOWN,
                json: serde_json::to_vec(&settled).unwrap_or_default().into(),
            };
            return self.answer(call, wire::Answer::Command(reply));
        }
        let untold = self.map.shards();
        let untold = untold.filter(|shard| !settled.contains(shard)).collect();
        self.gather(call, Goal::First { job, untold }, request, now);
    }

    /// Passes a command to every peer and waits for their answers.
    pub(super) fn gather(
        &mut self,
        call: CallId,
        goal: Goal,
        request: &wire::command::Request,
        now: Timestamp,
    ) {
        let number = self.number();
        let peers: Vec<_> = self
            .map
            .nodes()
            .filter(|node| node.id != self.holder.node)
            .map(|node| (node.id, node.address))
            .collect();
        let running = Running {
            call,
            goal,
            waiting: peers.iter().map(|(node, _)| *node).collect(),
            until: now + self.settings.command,
        };
        for (node, address) in peers {
            let command = wire::command::Request {
                local: true,
                ..request.clone()
            };
            self.out.push(Output::Forward {
                number,
                node,
                address,
                command,
            });
        }
        self.commands.insert(number, running);
        self.conclude(number, now);
    }

    /// Takes a peer's answer to a command.
    pub(in crate::node) fn forwarded(
        &mut self,
        number: u64,
        node: NodeId,
        reply: Option<wire::command::Reply>,
        now: Timestamp,
    ) {
        let Some(running) = self.commands.get_mut(&number) else {
            return;
        };
        let Some(reply) = reply else {
            // A peer that did not answer is named at the end.
            return self.conclude_without(number, node, now);
        };
        running.waiting.remove(&node);
        match &mut running.goal {
            Goal::Show { table, .. } => merge(table, &reply),
            Goal::First { untold, .. } => match without(&reply) {
                Some(settled) => untold.retain(|shard| !settled.contains(shard)),
                None => {
                    let call = running.call;
                    self.commands.remove(&number);
                    return self.answer(call, wire::Answer::Command(reply));
                }
            },
            Goal::Change { usage, .. } => match serde_json::from_slice(&reply.json) {
                Ok(more) if reply.status == OK => usage.merge(more),
                _ => usage.partial = true,
            },
        }
        self.conclude(number, now);
    }

    /// Notes that a peer will not answer.
    fn conclude_without(&mut self, number: u64, node: NodeId, now: Timestamp) {
        if let Some(running) = self.commands.get_mut(&number) {
            running.waiting.remove(&node);
            match &mut running.goal {
                Goal::Show { table, .. } => table.notes.push(format!("{node} did not answer")),
                Goal::Change { usage, .. } => usage.partial = true,
                Goal::First { .. } => {}
            }
        }
        self.conclude(number, now);
    }

    /// Answers commands whose peers took too long.
    pub(in crate::node) fn expire_commands(&mut self, now: Timestamp) {
        let late = |running: &Running| running.until <= now;
        let mut numbers: Vec<u64> = self
            .commands
            .iter()
            .filter(|(_, running)| late(running))
            .map(|(number, _)| *number)
            .collect();
        numbers.sort_unstable();
        for number in numbers {
            let missing = self.commands.get(&number).map(|r| r.waiting.clone());
            for node in missing.unwrap_or_default() {
                self.conclude_without(number, node, now);
            }
        }
    }

    /// Answers a command that waits for nobody any more.
    fn conclude(&mut self, number: u64, now: Timestamp) {
        let done = self
            .commands
            .get(&number)
            .is_some_and(|running| running.waiting.is_empty());
        if !done {
            return;
        }
        let Some(running) = self.commands.remove(&number) else {
            return;
        };
        let call = running.call;
        match running.goal {
            Goal::Show { show, table } => self.finish_show(call, &show, table),
            Goal::First { job, untold } if untold.is_empty() => {
                self.refuse_command(call, unknown_job(job));
            }
            Goal::First { job, untold } => self.refuse_command(call, untold_job(job, &untold)),
            Goal::Change {
                change,
                usage,
                request,
            } => self.decide_change(call, change, &usage, &request, now),
        }
    }
}

/// Returns the shards for which a peer can tell that they don't have the job.
///
/// `None` where the reply is the answer to the command: the peer has the job.
fn without(reply: &wire::command::Reply) -> Option<Vec<ShardId>> {
    (reply.status == UNKNOWN)
        .then(|| serde_json::from_slice(&reply.json).ok())
        .flatten()
}

/// Puts a peer's rows behind those that are there.
fn merge(table: &mut Table, reply: &wire::command::Reply) {
    if reply.status != OK {
        return;
    }
    if let Ok(more) = serde_json::from_slice::<Table>(&reply.json) {
        table.rows.extend(more.rows);
        table.notes.extend(more.notes);
    }
}
