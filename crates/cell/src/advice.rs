//! The workers that may run a step, according to the advice service, and the nodes that call the service.

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
    worker::Worker,
};

/// How long before its end a ticket is no longer used, since the order that carries it has to arrive in time.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// A permission to start a step on a worker, valid for a limited time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The text that orders carry.
    pub text: Arc<str>,
    /// When the call for it was made.
    pub requested: Timestamp,
    /// The time until which it is valid at least.
    pub until: Timestamp,
}

impl Ticket {
    /// Returns whether an order that is sent now reaches the worker before the ticket expires, and whether the worker
    /// is still the incarnation that the ticket was issued for.
    pub fn is_usable(&self, worker: &Worker, now: Timestamp) -> bool {
        now + TICKET_MARGIN < self.until && !self.is_for_former_incarnation(worker)
    }

    /// Returns whether another incarnation of the worker has begun since the ticket was requested.
    pub fn is_for_former_incarnation(&self, worker: &Worker) -> bool {
        worker
            .fence_raised
            .is_some_and(|raised| self.requested < raised)
    }
}

/// The workers that may run a step with their newest tickets, sorted by slot.
#[derive(Clone, Debug, Default)]
pub struct Allowed(Vec<(Slot, Ticket)>);

impl Allowed {
    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the slots of the workers.
    pub fn slots(&self) -> impl Iterator<Item = Slot> {
        self.0.iter().map(|(slot, _)| *slot)
    }

    /// Returns the newest ticket for a worker.
    pub fn get(&self, slot: Slot) -> Option<&Ticket> {
        let position = self.position(slot).ok()?;
        Some(&self.0[position].1)
    }

    /// Marks the ticket for a worker as expired.
    pub fn invalidate(&mut self, slot: Slot) {
        if let Ok(position) = self.position(slot) {
            self.0[position].1.until = Timestamp::ZERO;
        }
    }

    fn remove(&mut self, slot: Slot) {
        if let Ok(position) = self.position(slot) {
            self.0.remove(position);
        }
    }

    fn set(&mut self, slot: Slot, ticket: Ticket) {
        match self.position(slot) {
            Ok(position) => self.0[position].1 = ticket,
            Err(position) => self.0.insert(position, (slot, ticket)),
        }
    }

    fn position(&self, slot: Slot) -> Result<usize, usize> {
        self.0.binary_search_by_key(&slot, |(slot, _)| *slot)
    }
}

/// What a call to the advice service is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// There is no answer about the step yet.
    #[default]
    First,
    /// The workers that may run the step have too little capacity, so it asks about others.
    Further,
    /// The tickets for workers with free capacity have expired.
    Renewal,
}

impl Purpose {
    /// Returns the purpose as one word, for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Further => "further",
            Self::Renewal => "renewal",
        }
    }
}

/// The answers of the advice service about a step, and the calls that are pending.
///
/// The set of workers that may run the step doesn't change while the step exists; only the tickets expire.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// The workers that may run the step, with their newest tickets.
    pub allowed: Allowed,
    /// Whether the service has answered at least once.
    pub is_answered: bool,
    /// The workers that were asked about, answered or not, sorted by slot.
    pub asked: Vec<Slot>,
    /// The workers to ask about once nodes are free for the calls, one list per call.
    pub planned: Vec<Vec<Slot>>,
    /// What the planned calls are for.
    pub planned_for: Purpose,
    /// Since when the step has waited for a node that makes its next call.
    pub node_wanted_since: Option<Timestamp>,
    /// The number of calls in flight.
    pub calls_in_flight: usize,
    /// The time before which no further call is made.
    pub retry_at: Timestamp,
}

impl Advice {
    /// Notes that no node is free for the next call.
    pub fn want_node(&mut self, now: Timestamp) {
        self.node_wanted_since.get_or_insert(now);
    }

    /// Notes that a call about these workers has begun; returns for how long the step has waited for a node.
    pub fn begin(&mut self, asked: &[Slot], now: Timestamp) -> Duration {
        self.calls_in_flight += 1;
        self.asked.extend(asked);
        self.asked.sort_unstable();
        self.asked.dedup();
        let since = self.node_wanted_since.take();
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Notes an answer.
    pub fn answer(&mut self, tickets: impl Iterator<Item = (Slot, Ticket)>) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.is_answered = true;
        for (slot, ticket) in tickets {
            self.allowed.set(slot, ticket);
        }
    }

    /// Notes that a worker may no longer run the step: it has another incarnation now, which is of another kind.
    pub fn withdraw(&mut self, slot: Slot) {
        self.allowed.remove(slot);
    }

    /// Notes that a call got no answer: it says nothing about its workers, and no call is made before `retry_at`.
    pub fn fail(&mut self, asked: &[Slot], retry_at: Timestamp) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.retry_at = retry_at;
        let allowed = &self.allowed;
        self.asked
            .retain(|slot| allowed.get(*slot).is_some() || !asked.contains(slot));
    }

    /// Returns whether the first answer is pending and all calls that may bring it have been made.
    pub fn awaits_first_answer(&self) -> bool {
        self.calls_in_flight > 0 && !self.is_answered && self.planned.is_empty()
    }

    /// Returns whether no further call may be made yet: one is in flight, or the last one got no answer.
    pub fn is_call_pending(&self, now: Timestamp) -> bool {
        self.calls_in_flight > 0 || now < self.retry_at
    }

    /// Returns whether a worker was asked about.
    pub fn was_asked(&self, slot: Slot) -> bool {
        self.asked.binary_search(&slot).is_ok()
    }

    /// Returns the usable ticket for a worker, if there is one.
    pub fn ticket(&self, slot: Slot, worker: &Worker, now: Timestamp) -> Option<&Ticket> {
        self.allowed
            .get(slot)
            .filter(|ticket| ticket.is_usable(worker, now))
    }
}

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

/// The share of workers that the advice service allows, by queue.
#[derive(Clone, Debug, Default)]
pub struct AllowedShares {
    shares: HashMap<QueueName, f64>,
}

/// The share that is assumed for a queue without any answer yet.
const DEFAULT_SHARE: f64 = 0.25;
/// The weight of the newest answer in the moving average of a share.
const SHARE_SMOOTHING: f64 = 0.1;
/// The lowest share that is assumed. At this share, four calls about a hundred workers each find four allowed workers.
const MIN_SHARE: f64 = 0.01;

impl AllowedShares {
    /// Adds an answer to the average.
    pub fn learn(&mut self, queue: &QueueName, asked: usize, allowed: usize) {
        if asked == 0 {
            return;
        }
        let newest = allowed as f64 / asked as f64;
        let share = self.shares.entry(queue.clone()).or_insert(newest);
        *share += (newest - *share) * SHARE_SMOOTHING;
    }

    /// Returns the share of workers that may run a step of a queue.
    pub fn share(&self, queue: &QueueName) -> f64 {
        let share = self.shares.get(queue).copied();
        share.unwrap_or(DEFAULT_SHARE).max(MIN_SHARE)
    }
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
        let nodes = self.idle.len() + self.busy.len();
        let for_short = (self.short_call_time * SHORT_CALL_NODE_FACTOR).as_micros();
        let for_short = for_short.div_ceil(SHORT_CALL_AVERAGING_PERIOD.as_micros()) + 1;
        let for_short = usize::try_from(for_short).unwrap_or(usize::MAX);
        let for_long = nodes - for_short.min(nodes / 2);
        if is_long && self.long_calls >= for_long {
            return None;
        }
        self.idle.first()
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
