//! Links between nodes, and between nodes and the store.

use fulmarpier_cell::{
    id::Epoch,
    record::Claim, //
};
use rand::RngExt;

use super::{
    Call,
    Event,
    World,
    millis,
    split::Split, //
};

/// The place of the store in a [`Group`].
pub(super) const STORE: usize = 15;
/// The longest time for which a refused connection is taken for the state of an address.
const MAX_REFUSAL_AGE: u64 = millis(1_000);

#[derive(Clone, Debug)]
pub(super) enum Request {
    Hello,
    Confirm(Epoch),
    Fence(Epoch),
    HandedOver(Claim),
}

#[derive(Clone, Debug)]
pub(super) enum Reply {
    Known(Option<Claim>),
    Confirmed,
    Later,
    Abstained,
    Ack,
    Refused,
    /// The end of the topic if a claim was appended.
    Appended(Option<u64>),
    /// The newest claim and the end of the topic.
    Newest(Option<Claim>, u64),
}

/// A set of nodes, and of the store, one bit each.
pub(super) type Group = u16;

/// Between two groups, calls are lost or slow for some time.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    from: Group,
    to: Group,
    until: u64,
    is_one_way: bool,
    is_slow: bool,
}

impl Trouble {
    const fn concerns(&self, from: usize, to: usize) -> bool {
        let forward = self.from >> from & self.to >> to & 1 == 1;
        let backward = self.from >> to & self.to >> from & 1 == 1;
        forward || (backward && !self.is_one_way)
    }
}

#[derive(Debug, Default)]
pub(super) struct Network {
    troubles: Vec<Trouble>,
    pub(super) split: Option<Split>,
}

impl Network {
    pub(super) fn heal(&mut self) {
        self.troubles.clear();
        self.split = None;
    }
}

impl World {
    /// Cuts two groups from each other.
    pub(super) fn cut(&mut self, from: Group, to: Group, span: u64, is_one_way: bool) {
        self.disturb(from, to, span, is_one_way, false);
    }

    /// Makes the calls between two groups slow.
    pub(super) fn slow_down(&mut self, from: Group, to: Group, span: u64) {
        self.disturb(from, to, span, false, true);
    }

    fn disturb(&mut self, from: Group, to: Group, span: u64, is_one_way: bool, is_slow: bool) {
        let until = self.now + span;
        self.note(|| {
            let what = if is_slow { "slow" } else { "cut" };
            format!("{what} {from:016b} {to:016b} for {span} us, one way: {is_one_way}")
        });
        self.network.troubles.push(Trouble {
            from,
            to,
            until,
            is_one_way,
            is_slow,
        });
    }

    /// Returns how long a message takes; `None` if it is lost.
    pub(super) fn latency(&mut self, from: usize, to: usize) -> Option<u64> {
        let now = self.now;
        self.network.troubles.retain(|trouble| trouble.until > now);
        let mut troubles = self
            .network
            .troubles
            .iter()
            .filter(|trouble| trouble.concerns(from, to));
        let is_slow = troubles.clone().any(|trouble| trouble.is_slow);
        let split = self.network.split;
        if troubles.any(|trouble| !trouble.is_slow)
            || split.is_some_and(|split| split.separates(from, to))
        {
            return None;
        }
        let is_odd = self.has_faults && self.rng.random_bool(self.odd_share);
        Some(match () {
            () if is_odd && self.rng.random_bool(0.3) => return None,
            () if is_odd && self.rng.random_bool(0.7) => {
                self.rng.random_range(millis(20)..millis(400))
            }
            () if is_odd => self.rng.random_range(millis(20)..millis(3_000)),
            () if is_slow => self.rng.random_range(millis(30)..millis(900)),
            () => self.rng.random_range(300..millis(6)),
        })
    }

    /// Sends a request to a node.
    pub(super) fn send(&mut self, call: Call, to: usize, request: Request) {
        let now = self.now;
        let known = self.nodes[call.node].refusals.get(&to);
        if known.is_some_and(|until| *until > now) {
            self.schedule(0, Event::Answer(call, Reply::Refused));
        } else if let Some(delay) = self.latency(call.node, to) {
            self.schedule(delay, Event::Request(call, to, None, request));
        }
    }

    /// Sends an answer of a node or the store.
    pub(super) fn answer(&mut self, call: Call, from: usize, reply: Reply) {
        if let Some(delay) = self.latency(from, call.node) {
            self.schedule(delay, Event::Answer(call, reply));
        }
    }

    /// Remembers a refused connection for some time.
    pub(super) fn remember_refusal(&mut self, index: usize, to: usize) {
        let now = self.now;
        let until = now + self.rng.random_range(0..MAX_REFUSAL_AGE);
        let known = self.nodes[index].refusals.entry(to).or_insert(until);
        if *known <= now {
            *known = until;
        }
    }
}
