//! The nodes that call the advice service, and the calls that are in flight.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use fulmarpier_state::clock::Timestamp;

use super::Purpose;
use crate::{
    engine::Slot,
    id::{
        NodeName,
        StepId, //
    },
};

/// A call to the advice service that is in flight.
#[derive(Clone, Debug)]
pub struct Call {
    /// The step.
    pub step: StepId,
    /// The workers asked about.
    pub asked: Vec<Slot>,
    /// When the call began.
    pub since: Timestamp,
    /// Whether the call takes long, so that shorter calls should not have to wait behind it.
    pub is_long: bool,
    /// The priority of the step's queue.
    pub priority: u8,
    /// What the call is for.
    pub purpose: Purpose,
    /// How many tasks of the step waited to be started when the call began.
    pub tasks: usize,
    /// For how long the step waited for a node to make the call.
    pub waited: Duration,
}

/// The calls of the queues of one priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The number of nodes that make a call for one of their steps.
    pub busy_nodes: usize,
    /// The number of their steps that wait for a node.
    pub waiting_steps: usize,
    /// The time for which the first of these steps has waited.
    pub longest_wait: Duration,
}

/// The averaging period for the number of nodes that short calls keep busy: bursts of urgent jobs last some seconds.
const SHORT_CALL_AVERAGING_PERIOD: Duration = Duration::from_secs(3);
/// The number of nodes reserved for short calls, as a multiple of those that they keep busy: they come in bursts.
const SHORT_CALL_NODE_FACTOR: u32 = 2;

/// The first backoff of a node after a call without an answer; it doubles with each further one. A process that was
/// paused resumes within some seconds.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// The longest backoff of a node.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The backoff of a node whose calls get no answer.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// The time before which the node gets no call.
    until: Timestamp,
    /// The length of the last backoff.
    duration: Duration,
}

/// The nodes that call the advice service, which answers one call at a time for each node.
///
/// A node that is down fails its calls at once, so without a backoff it would be idle whenever the others are busy and
/// attract all calls. During a rolling restart of the machines, half of all calls for advice failed in this way.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    idle: BTreeSet<NodeName>,
    busy: BTreeMap<NodeName, Call>,
    /// Nodes whose last call got no answer; they are in a backoff or have been given another call after it.
    failing: BTreeMap<NodeName, Backoff>,
    /// The number of long calls in flight.
    long_calls: usize,
    /// The decaying sum of the time for which short calls have kept nodes busy.
    short_call_time: Duration,
    /// When that sum was last updated.
    short_call_time_updated: Timestamp,
}

impl Nodes {
    /// Sets the nodes of the cell; returns the calls of nodes that are gone.
    pub fn set_nodes(&mut self, nodes: &[NodeName]) -> Vec<Call> {
        let nodes: BTreeSet<NodeName> = nodes.iter().cloned().collect();
        let gone = self.busy.keys().filter(|node| !nodes.contains(*node));
        let gone: Vec<NodeName> = gone.cloned().collect();
        let lost = gone.iter().filter_map(|node| self.end_call(node)).collect();
        self.failing.retain(|node, _| nodes.contains(node));
        // A node in a backoff becomes idle once the backoff is over.
        let idle = nodes.into_iter();
        let idle = idle.filter(|node| {
            !self.busy.contains_key(node)
                && (self.idle.contains(node) || !self.failing.contains_key(node))
        });
        self.idle = idle.collect();
        lost
    }

    /// Returns a node for a call, or `None` while all nodes that may take it are busy.
    ///
    /// Some nodes are reserved for short calls: a multiple of those that short calls have recently kept busy, and at
    /// most half of all. With a fixed half of 97 nodes reserved, of which short calls used 5, the long calls had to
    /// wait.
    pub fn idle(&self, is_long: bool) -> Option<&NodeName> {
        let idle = self.idle.first()?;
        if !is_long {
            return Some(idle);
        }
        let nodes = self.idle.len() + self.busy.len();
        let for_short = (self.short_call_time * SHORT_CALL_NODE_FACTOR).as_micros();
        let for_short = for_short.div_ceil(SHORT_CALL_AVERAGING_PERIOD.as_micros()) + 1;
        let for_short = usize::try_from(for_short).unwrap_or(usize::MAX);
        let for_long = nodes - for_short.min(nodes / 2);
        (self.long_calls < for_long).then_some(idle)
    }

    /// Notes that a node has begun a call.
    pub fn begin(&mut self, node: NodeName, call: Call) {
        self.idle.remove(&node);
        self.long_calls += usize::from(call.is_long);
        self.busy.insert(node, call);
    }

    /// Notes that a node's call about a step has ended, with or without an answer; returns `None` if the node had no
    /// such call.
    pub fn finish(
        &mut self,
        node: &NodeName,
        step: StepId,
        is_answered: bool,
        now: Timestamp,
    ) -> Option<Call> {
        if self.busy.get(node)?.step != step {
            return None;
        }
        if is_answered {
            self.failing.remove(node);
            self.idle.insert(node.clone());
        } else {
            self.back_off(node, now);
        }
        let call = self.end_call(node)?;
        if !call.is_long {
            self.add_short_call(now.since(call.since), now);
        }
        Some(call)
    }

    fn back_off(&mut self, node: &NodeName, now: Timestamp) {
        let before = self.failing.get(node);
        let duration = before.map_or(MIN_BACKOFF, |backoff| {
            (backoff.duration * 2).min(MAX_BACKOFF)
        });
        let until = now + duration;
        self.failing
            .insert(node.clone(), Backoff { until, duration });
    }

    /// Returns the calls that are in flight.
    pub fn calls(&self) -> impl Iterator<Item = &Call> {
        self.busy.values()
    }

    /// Makes nodes available again whose backoff is over; returns whether there is any.
    pub fn end_backoffs(&mut self, now: Timestamp) -> bool {
        let failing = self.failing.iter();
        let recovered = failing.filter(|(_, backoff)| backoff.until <= now);
        let recovered: Vec<NodeName> = recovered.map(|(node, _)| node.clone()).collect();
        let mut is_changed = false;
        for node in recovered {
            if !self.busy.contains_key(&node) {
                is_changed |= self.idle.insert(node);
            }
        }
        is_changed
    }

    /// Adds the duration of a short call to the decaying sum.
    fn add_short_call(&mut self, took: Duration, now: Timestamp) {
        let elapsed = now.since(self.short_call_time_updated).as_secs_f64();
        self.short_call_time_updated = now;
        let remaining = (-elapsed / SHORT_CALL_AVERAGING_PERIOD.as_secs_f64()).exp();
        self.short_call_time = self.short_call_time.mul_f64(remaining) + took;
    }

    fn end_call(&mut self, node: &NodeName) -> Option<Call> {
        let call = self.busy.remove(node)?;
        self.long_calls -= usize::from(call.is_long);
        Some(call)
    }
}
