//! What is known of the workers that may run a step, and the nodes that ask for it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};
use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    engine::Slot,
    id::{
        NodeName,
        QueueName,
        StepId, //
    },
};

/// A ticket is not used any more this long before its end: an order has to arrive first.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// What allows a step on a worker for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What orders carry.
    pub text: Arc<str>,
    /// Until when it is valid, at the earliest.
    pub until: Timestamp,
}

impl Ticket {
    /// Returns whether an order that is sent now arrives in time.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        now + TICKET_MARGIN < self.until
    }
}

/// What is known of the workers that may run a step.
///
/// The set doesn't change for as long as the step exists; only the tickets age.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// The workers that may run the step, with their newest tickets.
    pub allowed: BTreeMap<Slot, Ticket>,
    /// The workers that were asked about, in their order.
    pub named: Vec<Slot>,
    /// How many calls are out.
    pub asking: usize,
    /// Before this nothing is asked again.
    pub pause: Timestamp,
}

impl Advice {
    /// Returns whether a worker was asked about.
    pub fn has_named(&self, slot: Slot) -> bool {
        self.named.binary_search(&slot).is_ok()
    }

    /// Returns the ticket for a worker, where there is one that can be used.
    pub fn ticket(&self, slot: Slot, now: Timestamp) -> Option<&Ticket> {
        self.allowed
            .get(&slot)
            .filter(|ticket| ticket.is_usable(now))
    }
}

/// A call for advice that is out.
#[derive(Clone, Debug)]
pub struct Call {
    /// The step.
    pub step: StepId,
    /// The workers that are asked about.
    pub named: Vec<Slot>,
    /// Since when.
    pub since: Timestamp,
    /// Whether it takes long, so that shorter ones shouldn't have to wait behind it.
    pub is_long: bool,
}

/// How much of what the advice service is asked about it allows, by queue.
#[derive(Clone, Debug, Default)]
pub struct Experience {
    shares: HashMap<QueueName, f64>,
}

/// The share that is assumed of a queue that nobody has asked about.
const FIRST_SHARE: f64 = 0.25;
/// How much the newest answer counts in a share.
const NEWEST_PART: f64 = 0.1;
/// The least share that is reckoned with: four calls of a hundred workers each for four of them.
const LEAST_SHARE: f64 = 0.01;

impl Experience {
    /// Takes in an answer.
    pub fn learn(&mut self, queue: &QueueName, named: usize, allowed: usize) {
        if named == 0 {
            return;
        }
        let newest = allowed as f64 / named as f64;
        let share = self.shares.entry(queue.clone()).or_insert(newest);
        *share += (newest - *share) * NEWEST_PART;
    }

    /// Returns the share of workers that may run a step of a queue.
    pub fn share(&self, queue: &QueueName) -> f64 {
        let share = self.shares.get(queue).copied();
        share.unwrap_or(FIRST_SHARE).max(LEAST_SHARE)
    }
}

/// The nodes that ask; the service answers each one call at a time.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    idle: BTreeSet<NodeName>,
    busy: BTreeMap<NodeName, Call>,
    /// How many of the calls are long.
    long: usize,
}

impl Desk {
    /// Says which nodes there are; a call of a node that is gone is given back.
    pub fn set_hands(&mut self, nodes: &[NodeName]) -> Vec<Call> {
        let nodes: BTreeSet<NodeName> = nodes.iter().cloned().collect();
        let gone = self.busy.keys().filter(|node| !nodes.contains(*node));
        let gone: Vec<NodeName> = gone.cloned().collect();
        let lost = gone.iter().filter_map(|node| self.end(node)).collect();
        let idle = nodes.into_iter();
        self.idle = idle.filter(|node| !self.busy.contains_key(node)).collect();
        lost
    }

    /// Returns a node for a call, or `None` while all that may take it are busy.
    ///
    /// Long calls get at most half of the nodes (rounded up), so that a short one never waits behind
    /// them everywhere.
    pub fn idle(&self, is_long: bool) -> Option<&NodeName> {
        let hands = self.idle.len() + self.busy.len();
        if is_long && self.long >= hands.div_ceil(2) {
            return None;
        }
        self.idle.first()
    }

    /// Notes that a node asks.
    pub fn begin(&mut self, node: NodeName, call: Call) {
        self.idle.remove(&node);
        self.long += usize::from(call.is_long);
        self.busy.insert(node, call);
    }

    /// Notes that a node has finished asking about a step; `None` where it was not.
    pub fn finish(&mut self, node: &NodeName, step: StepId) -> Option<Call> {
        if self.busy.get(node)?.step != step {
            return None;
        }
        self.idle.insert(node.clone());
        self.end(node)
    }

    fn end(&mut self, node: &NodeName) -> Option<Call> {
        let call = self.busy.remove(node)?;
        self.long -= usize::from(call.is_long);
        Some(call)
    }
}
