//! A few machines over a log kept in memory, in virtual time, with faults.

mod fault;
mod log;
mod peers;

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use bytes::Bytes;
use fulmarpier_coordination::{
    claim::Holder,
    member::{
        Cause,
        Effect,
        Event,
        Machine,
        Token, //
    },
    peer,
    platform::vm,
    topology, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        ShardId, //
    },
};

pub(crate) use self::{
    fault::Fault,
    log::Mode, //
};

pub(crate) const MS: u64 = 1_000;
pub(crate) const SECOND: u64 = 1_000 * MS;

struct Process {
    machine: Machine,
    /// Local microseconds for each 10,000 true ones.
    rate: u64,
    paused_until: u64,
    wake: u64,
}

/// What happens at some time.
enum Due {
    Event(Holder, Event),
    Wake(Holder, u64),
    Append(Holder, Token, Vec<Bytes>, bool),
    Poll(Holder, Token, u64, u64),
    Ask(Holder, Token, SocketAddr, peer::Message),
    Fault(Fault),
    List,
}

/// A few nodes; all times are in microseconds.
#[derive(Default)]
pub(crate) struct Cell {
    now: u64,
    queue: BTreeMap<(u64, u64), Due>,
    count: u64,
    draw: u64,
    shards: u16,
    processes: BTreeMap<NodeId, Process>,
    vms: BTreeMap<NodeId, SocketAddr>,
    lists: Vec<vm::List>,
    lag: u64,
    log: log::Log,
    links: peers::Links,
    epochs: BTreeMap<(ShardId, Epoch), Holder>,
    /// Each start or resumption of work: when, by whom and where.
    pub(crate) active: Vec<(u64, NodeId, ShardId)>,
    /// Each end of an ownership.
    pub(crate) stopped: Vec<(u64, NodeId, ShardId, Cause)>,
    pub(crate) drained: Vec<NodeId>,
    /// The times at which two nodes might both have started work in one shard.
    pub(crate) overlaps: Vec<(u64, ShardId, Vec<NodeId>)>,
}

impl Cell {
    /// Starts `nodes` nodes, numbered from one, over `shards` shards of one data centre.
    pub(crate) fn new(nodes: u32, shards: u16, seed: u64) -> Self {
        let mut cell = Self {
            draw: seed,
            shards,
            ..Self::default()
        };
        for node in (1..=nodes).map(NodeId) {
            cell.vms.insert(node, fault::address(node));
        }
        cell.publish();
        cell.push(0, Due::List);
        for node in (1..=nodes).map(NodeId) {
            cell.start(node);
        }
        cell
    }

    pub(crate) fn fault(&mut self, at: u64, fault: Fault) {
        self.push(at, Due::Fault(fault));
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((now, _), due) = entry.remove_entry();
            self.now = now;
            self.step(due);
        }
        self.now = end;
    }

    pub(crate) fn machine(&self, node: NodeId) -> Option<&Machine> {
        let process = self.processes.get(&node);
        process.map(|process| &process.machine)
    }

    /// Returns the time as `node` sees it.
    pub(crate) fn local(&self, node: NodeId) -> Timestamp {
        let rate = self.processes.get(&node).map_or(10_000, |p| p.rate);
        Timestamp::from_micros(self.now * rate / 10_000)
    }

    /// Lists who may start work in `shard` now.
    pub(crate) fn starters(&self, shard: ShardId) -> Vec<NodeId> {
        let may = |(node, process): &(&NodeId, &Process)| {
            let now = self.local(**node);
            process.machine.may_start(shard, now).is_some()
        };
        let starters = self.processes.iter().filter(may);
        starters.map(|(node, _)| *node).collect()
    }

    /// Returns the owner of each shard as `node` has read it.
    pub(crate) fn owners(&self, node: NodeId) -> Vec<(ShardId, NodeId, Epoch)> {
        let machine = self.machine(node).expect("a running node");
        let owners = machine.register().owners();
        owners
            .map(|(shard, o)| (shard, o.holder.node, o.epoch))
            .collect()
    }

    pub(crate) fn all_shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        (100..100 + self.shards).map(ShardId)
    }

    /// Returns how long after `from` the shard was in use by a node that had not used it then.
    pub(crate) fn active_after(&self, shard: ShardId, from: u64) -> Option<u64> {
        let again = |(at, _, active): &&(u64, _, _)| *at > from && *active == shard;
        self.active.iter().find(again).map(|(at, _, _)| *at - from)
    }

    pub(crate) fn appends(&self) -> u64 {
        self.log.end()
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Event(holder, event) => self.deliver(holder, event),
            Due::Wake(holder, wake) => {
                let process = self.process(&holder);
                if process.is_some_and(|process| process.wake == wake) {
                    self.deliver(holder, Event::Tick);
                }
            }
            Due::Append(holder, token, records, answered) => {
                self.take_effect(holder, token, records, answered);
            }
            Due::Poll(holder, token, from, end) => self.poll(holder, token, from, end),
            Due::Ask(from, token, address, message) => self.asked(from, token, address, message),
            Due::Fault(fault) => self.inject(fault),
            Due::List => self.distribute(),
        }
    }

    fn deliver(&mut self, holder: Holder, event: Event) {
        let now = self.now;
        let local = self.local(holder.node);
        let Some(process) = self.process(&holder) else {
            return;
        };
        if process.paused_until > now {
            let until = process.paused_until;
            return self.push(until, Due::Event(holder, event));
        }
        let effects = process.machine.on(event, local);
        self.carry(holder, effects);
        self.check();
    }

    /// Notes where two nodes may start work in one shard.
    fn check(&mut self) {
        for shard in self.all_shards() {
            let starters = self.starters(shard);
            if starters.len() > 1 {
                self.overlaps.push((self.now, shard, starters));
            }
        }
    }

    fn carry(&mut self, holder: Holder, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_one(holder, effect);
        }
        let local = self.local(holder.node);
        let now = self.now;
        let Some(process) = self.processes.get_mut(&holder.node) else {
            return;
        };
        process.wake += 1;
        let wake = Due::Wake(holder, process.wake);
        let wait = local.until(process.machine.next_wake(local)).as_micros();
        let wait = u64::try_from(wait).expect("a short wait") * 10_000 / process.rate;
        self.push(now + wait + 1, wake);
    }

    fn carry_one(&mut self, holder: Holder, effect: Effect) {
        match effect {
            Effect::Append { token, append } => self.append(holder, token, append.records),
            Effect::Read { token, read } => self.read(holder, token, read.from.get()),
            Effect::Ask {
                token,
                address,
                message,
            } => self.ask(holder, token, address, message),
            Effect::Recover { shard, epoch } => {
                let first = *self.epochs.entry((shard, epoch)).or_insert(holder);
                assert_eq!(first, holder, "{epoch} of {shard} was won twice");
                let delay = self.random(100 * MS);
                self.later(delay, holder, Event::Ready { shard, epoch });
            }
            Effect::Activate { shard, .. } | Effect::Resume { shard, .. } => {
                self.active.push((self.now, holder.node, shard));
            }
            Effect::Stop { shard, cause, .. } => {
                self.stopped.push((self.now, holder.node, shard, cause));
            }
            Effect::Drained => self.drained.push(holder.node),
            Effect::Suspend { .. } => {}
        }
    }

    fn process(&mut self, holder: &Holder) -> Option<&mut Process> {
        let process = self.processes.get_mut(&holder.node)?;
        (process.machine.me() == holder).then_some(process)
    }

    fn later(&mut self, delay: u64, holder: Holder, event: Event) {
        self.push(self.now + delay, Due::Event(holder, event));
    }

    fn push(&mut self, at: u64, due: Due) {
        self.count += 1;
        self.queue.insert((at, self.count), due);
    }

    /// Draws the time of a message on its way; a few are late.
    fn latency(&mut self) -> u64 {
        match self.random(20) {
            0 => self.random(800 * MS),
            _ => MS + self.random(20 * MS),
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.draw += 1;
        topology::score(self.draw, 0) % below
    }
}
