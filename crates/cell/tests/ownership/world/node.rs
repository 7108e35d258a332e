//! What a node knows and does as any node.

use std::net::SocketAddr;

use fulmarpier_cell::{
    id::{
        Epoch,
        NodeName, //
    },
    ownership::{
        Ballot,
        Fencing,
        Lease, //
    },
    record::Claim,
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    unit::Millicores, //
};
use rand::{
    RngExt,
    rngs::SmallRng, //
};

use super::{
    Call, Event, MAX_RATE, World,
    network::{
        Reply,
        Request,
        STORE, //
    },
    store::Operation,
};

const FIRST_PORT: u16 = 7_000;

/// Returns the place of the node with this address.
pub(super) fn index(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// A clock that runs at its own rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    offset: u64,
    /// Millionths by which it runs faster.
    rate: i64,
}

impl Clock {
    fn random(rng: &mut SmallRng) -> Self {
        let rate = rng.random_range(-MAX_RATE..=MAX_RATE);
        Self {
            offset: rng.random_range(1_000_000_000..2_000_000_000),
            // The greatest difference is as likely as all others.
            rate: if rng.random_bool(0.5) {
                MAX_RATE * rate.signum()
            } else {
                rate
            },
        }
    }

    /// Returns what the clock shows at a true time.
    pub(super) fn at(self, now: u64) -> Timestamp {
        let ahead = i64::try_from(now).unwrap() * self.rate / 1_000_000;
        Timestamp::from_micros((self.offset + now).strict_add_signed(ahead))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Up,
    /// It stands still until then; what it is sent waits.
    Paused(u64),
    /// No process runs: the address refuses connections.
    Down,
    /// Without power: nothing answers.
    Off,
}

/// What a call is for.
#[derive(Clone, Debug)]
pub(super) enum Purpose {
    Hello(usize),
    Told,
    Read,
    Claim(Claim),
    /// A call of the owner of an epoch.
    Owner(Epoch, Duty),
}

#[derive(Clone, Debug)]
pub(super) enum Duty {
    Vote(SocketAddr),
    Fence(SocketAddr),
    Renew(Claim),
    Reread,
    HandOver(Claim),
}

/// A call that was not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) purpose: Purpose,
    pub(super) at: Timestamp,
    pub(super) deadline: Timestamp,
}

/// One ownership.
#[derive(Debug)]
pub(super) struct Tenure {
    /// In true time.
    pub(super) began: u64,
    pub(super) claim: Claim,
    pub(super) end: u64,
    pub(super) lease: Lease,
    pub(super) fencing: Fencing,
    pub(super) is_fencing_complete: bool,
    /// Whether the end of the topic is known.
    pub(super) is_certain: bool,
    pub(super) is_handing_over: bool,
    pub(super) was_expired: bool,
    pub(super) next_renewal: Timestamp,
    pub(super) next_votes: Timestamp,
    pub(super) next_fencing: Timestamp,
}

#[derive(Debug)]
pub(super) struct Node {
    pub(super) name: NodeName,
    pub(super) address: SocketAddr,
    pub(super) clock: Clock,
    pub(super) condition: Condition,
    pub(super) process: u64,
    pub(super) ballot: Ballot,
    pub(super) claim: Option<Claim>,
    pub(super) last_owned: Epoch,
    pub(super) tenure: Option<Tenure>,
    pub(super) calls: HashMap<u64, Sent>,
    /// Until when addresses are taken to refuse connections, in true time.
    pub(super) refusals: HashMap<usize, u64>,
    /// When each node sent its last hello.
    pub(super) heard: HashMap<usize, Timestamp>,
    /// When the owner last answered.
    pub(super) answered_at: Timestamp,
    pub(super) next_hello: Timestamp,
    pub(super) next_read: Timestamp,
}

impl Node {
    pub(super) fn new(index: usize, rng: &mut SmallRng) -> Self {
        let clock = Clock::random(rng);
        let now = clock.at(0);
        let port = FIRST_PORT + u16::try_from(index).unwrap();
        Self {
            name: NodeName::from(format!("n{index}")),
            address: SocketAddr::from(([10, 0, 0, 1], port)),
            clock,
            condition: Condition::Up,
            process: 0,
            ballot: Ballot::new(now),
            claim: None,
            last_owned: Epoch(0),
            tenure: None,
            calls: HashMap::default(),
            refusals: HashMap::default(),
            heard: HashMap::default(),
            answered_at: now,
            next_hello: now,
            next_read: now,
        }
    }

    /// Starts a process, which remembers nothing.
    pub(super) fn start(&mut self, process: u64, now: u64) {
        let now = self.clock.at(now);
        self.condition = Condition::Up;
        self.process = process;
        self.ballot = Ballot::new(now);
        self.claim = None;
        self.last_owned = Epoch(0);
        self.tenure = None;
        self.calls.clear();
        self.refusals.clear();
        self.heard.clear();
        (self.answered_at, self.next_hello, self.next_read) = (now, now, now);
    }

    /// Ends the process.
    pub(super) fn stop(&mut self, condition: Condition) {
        self.condition = condition;
        self.tenure = None;
    }

    /// Notes a claim, as `record_claim` of a node does.
    pub(super) fn record(&mut self, claim: Claim) {
        self.ballot.fence(claim.epoch);
        self.claim = Some(claim);
    }

    pub(super) fn known_epoch(&self) -> Epoch {
        self.claim
            .as_ref()
            .map(|claim| claim.epoch)
            .unwrap_or_default()
    }

    /// Notes the owner of an epoch; this node's earlier ownership ends.
    pub(super) fn fence(&mut self, epoch: Epoch) {
        self.ballot.fence(epoch);
        if self
            .tenure
            .as_ref()
            .is_some_and(|tenure| tenure.claim.epoch < epoch)
        {
            self.tenure = None;
        }
    }

    /// Returns whether a claim is this process's and not released.
    pub(super) fn is_own(&self, claim: &Claim) -> bool {
        claim.node == self.name && claim.incarnation == self.process && !claim.released
    }

    /// Returns a claim of this node that replaces another one.
    pub(super) fn claim_after(&self, former: Option<&Claim>) -> Claim {
        let epoch = former.map(|claim| claim.epoch).unwrap_or_default();
        Claim {
            epoch: epoch.next(),
            node: self.name.clone(),
            address: self.address,
            incarnation: self.process,
            renewal: 0,
            released: false,
            strength: Millicores(1_000),
            spread: former.map(|claim| claim.spread).unwrap_or_default(),
            nodes: 1,
            consecutive_slow_owners: 0,
            voters: former.map_or_else(Vec::new, |claim| claim.next_voters(self.address)),
            former: former.map_or_else(Vec::new, Claim::possible_owners),
        }
    }
}

impl World {
    /// Notes a call of a node, which may take so long.
    fn begin_call(&mut self, index: usize, purpose: Purpose, timeout: u64) -> Call {
        self.serial += 1;
        let node = &mut self.nodes[index];
        let at = node.clock.at(self.now);
        let deadline = Timestamp::from_micros(at.as_micros() + timeout);
        node.calls.insert(
            self.serial,
            Sent {
                purpose,
                at,
                deadline,
            },
        );
        Call {
            id: self.serial,
            node: index,
            process: node.process,
        }
    }

    /// Calls a node.
    pub(super) fn call(
        &mut self,
        index: usize,
        to: usize,
        request: Request,
        purpose: Purpose,
        timeout: u64,
    ) {
        let call = self.begin_call(index, purpose, timeout);
        self.send(call, to, request);
    }

    /// Calls the store.
    pub(super) fn call_store(
        &mut self,
        index: usize,
        operation: Operation,
        purpose: Purpose,
        timeout: u64,
    ) {
        let call = self.begin_call(index, purpose, timeout);
        if let Some(delay) = self.store_delay(index) {
            self.schedule(delay, Event::Store(call, operation));
        }
    }

    /// Handles a request that has reached a node.
    pub(super) fn receive_request(
        &mut self,
        call: Call,
        index: usize,
        process: Option<u64>,
        request: Request,
    ) {
        let condition = self.nodes[index].condition;
        let current = self.nodes[index].process;
        if process.is_some_and(|process| process != current) {
            return;
        }
        match condition {
            Condition::Off => {}
            Condition::Down if process.is_none() => self.answer(call, index, Reply::Refused),
            Condition::Down => {}
            Condition::Up | Condition::Paused(_) => match self.hold_back(index) {
                Some(delay) => {
                    self.schedule(delay, Event::Request(call, index, Some(current), request));
                }
                None => {
                    let reply = self.reply(call, index, request);
                    self.answer(call, index, reply);
                }
            },
        }
    }

    fn reply(&mut self, call: Call, index: usize, request: Request) -> Reply {
        let now = self.nodes[index].clock.at(self.now);
        let node = &mut self.nodes[index];
        match request {
            Request::Hello => {
                node.heard.insert(call.node, now);
                Reply::Known(node.claim.clone())
            }
            Request::Confirm(epoch) => match () {
                () if node.ballot.confirms(epoch, now) => Reply::Confirmed,
                () if node.ballot.highest() > epoch => Reply::Later,
                () => Reply::Abstained,
            },
            Request::Fence(epoch) => {
                node.fence(epoch);
                self.note(|| format!("node {index} is told of epoch {epoch}"));
                Reply::Ack
            }
            Request::HandedOver(claim) => {
                self.learn(index, claim);
                Reply::Ack
            }
        }
    }

    /// Handles an answer that has reached its caller.
    pub(super) fn receive_answer(&mut self, call: Call, reply: Reply) {
        let index = call.node;
        if !self.is_running(index, call.process) {
            return;
        }
        if let Some(delay) = self.hold_back(index) {
            self.schedule(delay, Event::Answer(call, reply));
            return;
        }
        let Some(sent) = self.nodes[index].calls.remove(&call.id) else {
            return;
        };
        match sent.purpose {
            Purpose::Hello(to) => self.receive_hello_answer(index, to, reply),
            Purpose::Told => {}
            Purpose::Read => self.receive_claim(index, reply, sent.at),
            Purpose::Claim(claim) => self.receive_claim_outcome(index, claim, reply, sent.at),
            Purpose::Owner(epoch, duty) => {
                let tenure = self.nodes[index].tenure.as_ref();
                if tenure.is_some_and(|tenure| tenure.claim.epoch == epoch) {
                    self.receive_for_owner(index, duty, reply, sent.at);
                }
            }
        }
    }

    /// Handles that a call was not answered in time.
    pub(super) fn give_up(&mut self, index: usize, purpose: Purpose) {
        match purpose {
            Purpose::Hello(_) | Purpose::Told => {}
            Purpose::Read | Purpose::Claim(_) => {
                let now = self.nodes[index].clock.at(self.now);
                self.nodes[index].next_read = now;
            }
            Purpose::Owner(epoch, duty) => {
                let tenure = self.nodes[index].tenure.as_ref();
                if tenure.is_some_and(|tenure| tenure.claim.epoch == epoch) {
                    self.give_up_as_owner(index, &duty);
                }
            }
        }
    }

    fn store_delay(&mut self, index: usize) -> Option<u64> {
        let delay = self.latency(index, STORE)?;
        let is_late = self.has_faults && self.rng.random_bool(self.late_share);
        Some(
            delay
                + if is_late {
                    self.rng.random_range(100_000..4_000_000)
                } else {
                    0
                },
        )
    }
}
