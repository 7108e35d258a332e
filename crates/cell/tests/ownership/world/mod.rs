//! Nodes that own the cell in turn, a store and a network with faults, in virtual time. A seed determines a history.

mod fault;
mod follower;
mod network;
mod node;
mod owner;
mod split;
mod store;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_cell::{
    bounds::MAX_FORMER_OWNER_ACTIVITY,
    id::Epoch,
    ownership::{
        Basis,
        LEASE_DURATION, //
    },
    record::Claim,
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use self::{
    fault::Kind,
    network::{
        Network,
        Reply,
        Request, //
    },
    node::{
        Condition,
        Node, //
    },
    store::{
        Operation,
        Store, //
    },
};

/// By how many millionths a clock runs faster or slower at most; two differ by up to 2%.
const MAX_RATE: i64 = 10_000;
/// By how many millionths one clock runs faster than another at most.
const MAX_RATE_DIFFERENCE: u64 = 20_300;
/// How often a node does what is due.
const TICK: u64 = 40_000;
/// How long the rule lets an owner act after it was fenced.
const FENCED_ACTIVITY: Duration = LEASE_DURATION;

/// A time span in microseconds.
pub(crate) const fn millis(millis: u64) -> u64 {
    millis * 1_000
}

/// A call of one process to a node or the store.
#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    node: usize,
    process: u64,
}

#[derive(Debug)]
enum Event {
    Tick(usize, u64),
    Fault,
    Split,
    Shift,
    Start(usize),
    /// A request arrives at a node; the process that it has reached already is given.
    Request(Call, usize, Option<u64>, Request),
    /// An answer arrives at its caller.
    Answer(Call, Reply),
    Store(Call, Operation),
}

/// A former owner is known to have stopped.
#[derive(Clone, Copy, Debug)]
struct Fenced {
    /// The successor.
    by: Epoch,
    /// When the successor's ownership began.
    owned_at: u64,
    at: u64,
}

/// What happened in a history.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    /// Ownerships that began.
    pub(crate) owned: u64,
    /// Successors that fenced all owners before them.
    pub(crate) fenced: u64,
    /// The same, in which a former owner acted afterwards.
    pub(crate) overlaps: u64,
    /// Votes that confirmed an owner.
    pub(crate) votes: u64,
    /// Checks of an owner that acted by the word of its voters.
    pub(crate) by_voters: u64,
}

impl Counts {
    pub(crate) const fn add(&mut self, other: Self) {
        self.owned += other.owned;
        self.fenced += other.fenced;
        self.overlaps += other.overlaps;
        self.votes += other.votes;
        self.by_voters += other.by_voters;
    }
}

/// A cell of a few nodes.
pub(crate) struct World {
    pub(crate) now: u64,
    rng: SmallRng,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    nodes: Vec<Node>,
    store: Store,
    network: Network,
    favourite: Kind,
    /// How many of the nodes that change sides in a split start again.
    restart_share: f64,
    /// How many messages are lost or late.
    odd_share: f64,
    /// How many calls the store carries out late.
    late_share: f64,
    /// How many renewals name only some of the nodes that were heard.
    changed_share: f64,
    /// How often nodes do something without need, as a multiple of the usual.
    whims: f64,
    has_faults: bool,
    /// Whether nodes give the cell up, and claim it, without need.
    has_whims: bool,
    fenced: Vec<Fenced>,
    is_traced: bool,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<String>,
}

impl World {
    /// Creates a cell of so many nodes without faults.
    pub(crate) fn new(seed: u64, size: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = (0..size).map(|index| Node::new(index, &mut rng)).collect();
        let mut world = Self {
            now: millis(1),
            favourite: Kind::random(&mut rng),
            restart_share: 0.0,
            odd_share: 0.03,
            late_share: 0.04,
            changed_share: 0.3,
            whims: 1.0,
            rng,
            events: BTreeMap::new(),
            serial: 0,
            nodes,
            store: Store::default(),
            network: Network::default(),
            has_faults: false,
            has_whims: false,
            fenced: Vec::new(),
            is_traced: std::env::var("TRACE").is_ok(),
            counts: Counts::default(),
            violations: Vec::new(),
        };
        for index in 0..size {
            world.start(index);
        }
        world
    }

    /// Lets faults happen from now on, and nodes claim the cell and give it up without need.
    pub(crate) fn begin_faults(&mut self) {
        self.has_faults = true;
        self.has_whims = true;
        self.schedule(0, Event::Fault);
    }

    /// Lets the cell split again and again from now on.
    pub(crate) fn begin_splits(&mut self) {
        self.has_faults = true;
        self.has_whims = true;
        self.whims = self.rng.random_range(0.0..1.0);
        self.odd_share = self.rng.random_range(0.0..0.2);
        self.late_share = self.rng.random_range(0.0..0.3);
        self.changed_share = self.rng.random_range(0.0..0.8);
        self.restart_share = self.rng.random_range(0.0..0.7);
        self.plan_split();
    }

    /// Ends all faults; what has been sent late arrives late.
    pub(crate) fn end_faults(&mut self) {
        self.has_faults = false;
        self.has_whims = false;
        self.network.heal();
        for index in 0..self.nodes.len() {
            match self.nodes[index].condition {
                Condition::Off => self.start(index),
                Condition::Paused(_) => self.nodes[index].condition = Condition::Up,
                Condition::Up | Condition::Down => {}
            }
        }
    }

    /// Plays the next time span.
    pub(crate) fn run(&mut self, span: u64) {
        let until = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until || !self.violations.is_empty() {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
            self.check();
        }
        self.now = until;
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if self.is_traced {
            let line = format!("{:9.4} {}", self.now as f64 / 1e6, line());
            println!("{line}");
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fault => self.cause_fault(),
            Event::Split => self.split(),
            Event::Shift => self.shift(),
            Event::Start(index) => {
                if matches!(
                    self.nodes[index].condition,
                    Condition::Down | Condition::Off
                ) {
                    self.start(index);
                }
            }
            Event::Tick(index, process) => self.tick(index, process),
            Event::Request(call, index, process, request) => {
                self.receive_request(call, index, process, request);
            }
            Event::Answer(call, reply) => self.receive_answer(call, reply),
            Event::Store(call, operation) => self.receive_operation(call, operation),
        }
    }

    /// Starts a process without memory.
    fn start(&mut self, index: usize) {
        self.serial += 1;
        let process = self.serial;
        let now = self.now;
        let node = &mut self.nodes[index];
        node.start(process, now);
        self.note(|| format!("node {index} starts as process {process}"));
        let delay = self.rng.random_range(0..TICK);
        self.schedule(delay, Event::Tick(index, process));
    }

    /// Returns how long the node stands still, if it does.
    fn hold_back(&mut self, index: usize) -> Option<u64> {
        match self.nodes[index].condition {
            Condition::Paused(until) if until > self.now => {
                Some(until - self.now + self.rng.random_range(0..millis(2)))
            }
            Condition::Paused(_) => {
                self.nodes[index].condition = Condition::Up;
                None
            }
            _ => None,
        }
    }

    fn is_running(&self, index: usize, process: u64) -> bool {
        let node = &self.nodes[index];
        node.process == process && matches!(node.condition, Condition::Up | Condition::Paused(_))
    }

    fn tick(&mut self, index: usize, process: u64) {
        if !self.is_running(index, process) {
            return;
        }
        if let Some(delay) = self.hold_back(index) {
            self.schedule(delay, Event::Tick(index, process));
            return;
        }
        self.expire_calls(index);
        match self.nodes[index].tenure {
            Some(_) => self.act_as_owner(index),
            None => self.act_as_follower(index),
        }
        self.schedule(TICK, Event::Tick(index, process));
    }

    fn expire_calls(&mut self, index: usize) {
        let now = self.nodes[index].clock.at(self.now);
        let node = &mut self.nodes[index];
        let mut late: Vec<u64> = node
            .calls
            .iter()
            .filter(|(_, call)| call.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        late.sort_unstable();
        for id in late {
            if let Some(sent) = self.nodes[index].calls.remove(&id) {
                self.give_up(index, sent.purpose);
            }
        }
    }

    /// Checks that no owner acts for too long after it was fenced, or again after its lease has expired.
    fn check(&mut self) {
        for index in 0..self.nodes.len() {
            let now = self.nodes[index].clock.at(self.now);
            let Some(tenure) = &mut self.nodes[index].tenure else {
                continue;
            };
            let basis = tenure.lease.basis(now);
            let acts = matches!(basis, Basis::Store | Basis::Voters);
            let epoch = tenure.claim.epoch;
            if acts && tenure.was_expired {
                self.violations.push(format!(
                    "epoch {epoch} of node {index} acts again after its lease has expired"
                ));
            }
            tenure.was_expired |= basis == Basis::Expired;
            self.counts.by_voters += u64::from(basis == Basis::Voters);
            if acts {
                self.check_fencing(index, epoch);
            }
        }
    }

    fn check_fencing(&mut self, index: usize, epoch: Epoch) {
        let fenced = self.fenced.iter().filter(|fenced| fenced.by > epoch);
        let Some(fenced) = fenced.min_by_key(|fenced| fenced.at).copied() else {
            return;
        };
        self.counts.overlaps += 1;
        let acted = self.now - fenced.at;
        let limit = |span: Duration| {
            let span = u64::try_from(span.as_micros()).unwrap();
            span + span * MAX_RATE_DIFFERENCE / 1_000_000
        };
        let which = match () {
            () if acted > limit(MAX_FORMER_OWNER_ACTIVITY) => "what successors assume",
            () if acted > limit(FENCED_ACTIVITY) => "a lease",
            () => return,
        };
        self.violations.push(format!(
            "epoch {epoch} of node {index} acts {:.3} s after epoch {} had fenced it, longer than {which}",
            acted as f64 / 1e6, fenced.by,
        ));
    }

    /// Returns the node that may act and knows that no other does.
    pub(crate) fn settled_owner(&self) -> Option<(usize, &Claim)> {
        let mut nodes = self.nodes.iter().enumerate();
        nodes.find_map(|(index, node)| {
            let tenure = node.tenure.as_ref()?;
            (self.acts(index) && tenure.is_fencing_complete).then_some((index, &tenure.claim))
        })
    }

    /// Returns whether a node may act as the owner.
    pub(crate) fn acts(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let tenure = node.tenure.as_ref();
        tenure.is_some_and(|tenure| {
            let basis = tenure.lease.basis(node.clock.at(self.now));
            matches!(basis, Basis::Store | Basis::Voters)
        })
    }

    /// Returns the node that has replaced an owner which doesn't know it yet.
    pub(crate) fn successor_of(&self, owner: usize) -> Option<usize> {
        let replaced = self.nodes[owner].tenure.as_ref()?.claim.epoch;
        let is_later = |node: &Node| {
            let tenure = node.tenure.as_ref();
            tenure.is_some_and(|tenure| tenure.claim.epoch > replaced)
        };
        self.nodes.iter().position(is_later)
    }

    /// Returns how long the last successor took from its claim until it had fenced all owners before it.
    pub(crate) fn fencing_time(&self) -> Option<u64> {
        let last = self.fenced.last()?;
        Some(last.at - last.owned_at)
    }

    /// Returns the nodes that vote on an owner.
    pub(crate) fn voters(&self, claim: &Claim) -> Vec<usize> {
        let voters = claim.voters.iter();
        voters.map(|voter| node::index(*voter)).collect()
    }
}
