//! What can go wrong, and the VM list that shows it late.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use fulmarpier_coordination::{
    claim::Holder,
    member::{
        Event,
        Machine,
        Timing, //
    },
    platform::vm,
    topology::{
        Count,
        Map, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        Incarnation,
        NodeId,
        RackId,
        RegionId,
        WorkerId, //
    },
    resource::Resources, //
};

use super::{
    Cell,
    Due,
    Mode,
    Process,
    SECOND, //
};

/// How far apart the ids of VMs are numbered that follow each other at one address.
const NEXT_VM: u32 = 10;

#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Pause(NodeId, u64),
    Kill {
        node: NodeId,
        vm: bool,
    },
    /// Starts a node that is down; a VM that is gone is replaced at its address by another.
    Start(NodeId),
    /// Starts a VM that was not there before.
    Add(NodeId),
    Log(Mode),
    LogFor(NodeId, Mode),
    /// Of a hundred answers to appends, how many are lost.
    LoseAnswers(u64),
    /// Of a hundred questions, how many are lost.
    LoseQuestions(u64),
    Cut(NodeId, NodeId),
    JoinAll,
    Truncate,
    Lag(u64),
    Drain(NodeId),
    Undrain(NodeId),
    /// Lets a node's address falsely refuse connections.
    Lie(NodeId),
}

pub(super) fn address(node: NodeId) -> SocketAddr {
    let port = 7_000 + u16::try_from(node.0 % NEXT_VM).expect("a small number");
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Cell {
    pub(super) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(node, span) => {
                let until = self.now + span;
                if let Some(process) = self.processes.get_mut(&node) {
                    process.paused_until = until;
                }
            }
            Fault::Kill { node, vm } => {
                self.processes.remove(&node);
                if vm {
                    self.vms.remove(&node);
                    self.publish();
                }
            }
            Fault::Start(node) => self.start_or_replace(node),
            Fault::Add(node) => {
                self.vms.insert(node, address(node));
                self.publish();
                self.start(node);
            }
            Fault::Log(mode) => {
                let all = (1..5 * NEXT_VM).map(NodeId);
                self.log.modes.extend(all.map(|node| (node, mode)));
            }
            Fault::LogFor(node, mode) => {
                self.log.modes.insert(node, mode);
            }
            Fault::LoseAnswers(share) => self.log.lost = share,
            Fault::LoseQuestions(share) => self.links.lost = share,
            Fault::Cut(one, other) => {
                self.links.cut.extend([(one, other), (other, one)]);
            }
            Fault::JoinAll => self.links.cut.clear(),
            Fault::Truncate => self.log.earliest = self.log.end(),
            Fault::Lag(span) => self.lag = span,
            Fault::Drain(node) => self.tell(node, Event::Drain),
            Fault::Undrain(node) => self.tell(node, Event::Undrain),
            Fault::Lie(node) => {
                self.links.lying.insert(address(node));
            }
        }
    }

    fn tell(&mut self, node: NodeId, event: Event) {
        if let Some(holder) = self.machine(node).map(|machine| *machine.me()) {
            self.later(0, holder, event);
        }
    }

    fn start_or_replace(&mut self, node: NodeId) {
        let gone = !self.vms.contains_key(&node);
        let node = if gone { NodeId(node.0 + NEXT_VM) } else { node };
        if gone && self.vms.insert(node, address(node)).is_none() {
            self.publish();
        }
        if !self.processes.contains_key(&node) {
            self.start(node);
        }
    }

    pub(super) fn start(&mut self, node: NodeId) {
        let holder = Holder {
            node,
            incarnation: Incarnation(self.now + 1),
            address: address(node),
        };
        let rate = 9_950 + self.random(100);
        let local = Timestamp::from_micros(self.now * rate / 10_000);
        let timing = Timing::default().check().expect("the default spans agree");
        let seed = u64::from(node.0);
        let (machine, effects) = Machine::new(holder, timing, self.map(), seed, local);
        let process = Process {
            machine,
            rate,
            paused_until: 0,
            wake: 0,
        };
        self.processes.insert(node, process);
        self.carry(holder, effects);
    }

    /// Notes the VMs as they are now, for the list to show once it has caught up.
    pub(super) fn publish(&mut self) {
        let worker = vm::Role::Worker(WorkerId(1));
        let mut entries = vec![entry(worker, SocketAddr::from(([127, 0, 0, 2], 9_000)))];
        let nodes = self.vms.iter();
        entries.extend(nodes.map(|(id, at)| entry(vm::Role::Entry(*id), *at)));
        let as_of = Timestamp::from_micros(self.now);
        self.lists.push(vm::List { as_of, entries });
    }

    /// Sends every node the list.
    pub(super) fn distribute(&mut self) {
        let map = self.map();
        let processes = self.processes.values();
        let holders: Vec<_> = processes.map(|p| *p.machine.me()).collect();
        for holder in holders {
            self.later(0, holder, Event::Topology(Arc::clone(&map)));
        }
        self.push(self.now + SECOND, Due::List);
    }

    fn map(&self) -> Arc<Map> {
        let shown = Timestamp::from_micros(self.now.saturating_sub(self.lag));
        let list = self.lists.iter().rfind(|list| list.as_of <= shown);
        let count = Count::try_from(self.shards).expect("a count in range");
        let mut map = Map::new(RegionId(1), count);
        let list = list.unwrap_or(&self.lists[0]);
        map.update(list).expect("a list with VMs");
        Arc::new(map)
    }
}

fn entry(role: vm::Role, address: SocketAddr) -> vm::Entry {
    vm::Entry {
        role,
        address,
        region: RegionId(1),
        data_centre: DataCentreId(1),
        rack: RackId(1),
        capacity: Resources::ZERO,
        state: vm::State::Live,
    }
}
