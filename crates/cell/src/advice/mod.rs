//! The workers that may run a step, according to the advice service, and the nodes that call the service.

mod nodes;

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

pub use self::nodes::{
    Call,
    Load,
    Nodes, //
};
use crate::{
    engine::Slot,
    id::QueueName,
    worker::Worker, //
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
