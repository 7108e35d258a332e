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
    worker::Worker,
};

/// A ticket is not used any more this long before its end: an order has to arrive first.
const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// What allows a step on a worker for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// What orders carry.
    pub text: Arc<str>,
    /// When it was asked for.
    pub asked: Timestamp,
    /// Until when it is valid, at the earliest.
    pub until: Timestamp,
}

impl Ticket {
    /// Returns whether an order to a worker that is sent now arrives in time, and is for the incarnation that was asked
    /// about.
    pub fn is_usable(&self, worker: &Worker, now: Timestamp) -> bool {
        now + TICKET_MARGIN < self.until && !self.is_for_former(worker)
    }

    /// Returns whether another incarnation of its worker has begun since it was asked for.
    pub fn is_for_former(&self, worker: &Worker) -> bool {
        worker.raised.is_some_and(|raised| self.asked < raised)
    }
}

/// Workers that may run a step, with their newest tickets, in their order.
#[derive(Clone, Debug, Default)]
pub struct Allowed(Vec<(Slot, Ticket)>);

impl Allowed {
    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the workers.
    pub fn slots(&self) -> impl Iterator<Item = Slot> {
        self.0.iter().map(|(slot, _)| *slot)
    }

    /// Returns the newest ticket for a worker.
    pub fn get(&self, slot: Slot) -> Option<&Ticket> {
        let place = self.place(slot).ok()?;
        Some(&self.0[place].1)
    }

    /// Has the ticket for a worker not be used any more.
    pub fn void(&mut self, slot: Slot) {
        if let Ok(place) = self.place(slot) {
            self.0[place].1.until = Timestamp::ZERO;
        }
    }

    fn remove(&mut self, slot: Slot) {
        if let Ok(place) = self.place(slot) {
            self.0.remove(place);
        }
    }

    fn set(&mut self, slot: Slot, ticket: Ticket) {
        match self.place(slot) {
            Ok(place) => self.0[place].1 = ticket,
            Err(place) => self.0.insert(place, (slot, ticket)),
        }
    }

    fn place(&self, slot: Slot) -> Result<usize, usize> {
        self.0.binary_search_by_key(&slot, |(slot, _)| *slot)
    }
}

/// What is known of the workers that may run a step.
///
/// The set doesn't change for as long as the step exists; only the tickets age.
#[derive(Clone, Debug, Default)]
pub struct Advice {
    /// The workers that may run the step, with their newest tickets.
    pub allowed: Allowed,
    /// Whether there was an answer.
    pub is_answered: bool,
    /// The workers that were asked about, answered or not, in their order.
    pub named: Vec<Slot>,
    /// Workers that are to be asked about once nodes are free for it, by call.
    pub planned: Vec<Vec<Slot>>,
    /// How many calls are out.
    pub asking: usize,
    /// Before this nothing is asked again.
    pub pause: Timestamp,
}

impl Advice {
    /// Notes that workers are asked about.
    pub fn begin(&mut self, named: &[Slot]) {
        self.asking += 1;
        self.named.extend(named);
        self.named.sort_unstable();
        self.named.dedup();
    }

    /// Takes in an answer.
    pub fn answer(&mut self, tickets: impl Iterator<Item = (Slot, Ticket)>) {
        self.asking = self.asking.saturating_sub(1);
        self.is_answered = true;
        for (slot, ticket) in tickets {
            self.allowed.set(slot, ticket);
        }
    }

    /// Notes that a worker may not run the step any more: it is another incarnation than the one that might, and of
    /// another kind.
    pub fn withdraw(&mut self, slot: Slot) {
        self.allowed.remove(slot);
    }

    /// Notes that there was no answer: nothing is known of the workers by that, and nothing is asked for a while.
    pub fn fail(&mut self, named: &[Slot], pause: Timestamp) {
        self.asking = self.asking.saturating_sub(1);
        self.pause = pause;
        let allowed = &self.allowed;
        self.named
            .retain(|slot| allowed.get(*slot).is_some() || !named.contains(slot));
    }

    /// Returns whether the first answer is on its way, and all calls for it are out.
    pub fn is_awaited(&self) -> bool {
        self.asking > 0 && !self.is_answered && self.planned.is_empty()
    }

    /// Returns whether a worker was asked about.
    pub fn has_named(&self, slot: Slot) -> bool {
        self.named.binary_search(&slot).is_ok()
    }

    /// Returns the ticket for a worker, where there is one that can be used.
    pub fn ticket(&self, slot: Slot, worker: &Worker, now: Timestamp) -> Option<&Ticket> {
        self.allowed
            .get(slot)
            .filter(|ticket| ticket.is_usable(worker, now))
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

/// Over which time it is reckoned how many nodes short calls keep busy: bursts of urgent jobs last some seconds.
const SHORT_SPAN: Duration = Duration::from_secs(3);
/// So many times as many nodes are left to short calls, which come in bursts.
const SHORT_TIMES: u32 = 2;

/// How long a node gets no call after one that brought no answer, doubled with each that follows: a process that was
/// stopped is back within some seconds.
const REST: Duration = Duration::from_millis(250);
/// The longest of these times.
const MOST_REST: Duration = Duration::from_secs(1);

/// A node whose calls bring no answer.
#[derive(Clone, Copy, Debug)]
struct Rest {
    /// Before this it gets no call.
    until: Timestamp,
    /// How long it rested last.
    span: Duration,
}

/// The nodes that ask; the service answers each one call at a time.
///
/// A node that is down fails its calls at once, so it would be idle whenever the others are busy, and draw in all of them:
/// while machines were restarted in turn, half of all calls for advice failed so. It rests instead.
#[derive(Clone, Debug, Default)]
pub struct Desk {
    idle: BTreeSet<NodeName>,
    busy: BTreeMap<NodeName, Call>,
    /// Nodes whose last call brought no answer; they rest, or try again.
    failing: BTreeMap<NodeName, Rest>,
    /// How many of the calls are long.
    long: usize,
    /// For how long short calls have kept nodes busy within the span of late.
    short: Duration,
    /// Until when that was reckoned.
    reckoned: Timestamp,
}

impl Desk {
    /// Says which nodes there are; a call of a node that is gone is given back.
    pub fn set_hands(&mut self, nodes: &[NodeName]) -> Vec<Call> {
        let nodes: BTreeSet<NodeName> = nodes.iter().cloned().collect();
        let gone = self.busy.keys().filter(|node| !nodes.contains(*node));
        let gone: Vec<NodeName> = gone.cloned().collect();
        let lost = gone.iter().filter_map(|node| self.end(node)).collect();
        self.failing.retain(|node, _| nodes.contains(node));
        // Whoever rests is idle once its rest is over.
        let idle = nodes.into_iter();
        let idle = idle.filter(|node| {
            !self.busy.contains_key(node)
                && (self.idle.contains(node) || !self.failing.contains_key(node))
        });
        self.idle = idle.collect();
        lost
    }

    /// Returns a node for a call, or `None` while all that may take it are busy.
    ///
    /// Short calls always find some nodes that no long one keeps: so many times as many as they have kept busy of
    /// late, and at most half of all. Half of 97 nodes, of which short calls took 5, had the long calls wait.
    pub fn idle(&self, is_long: bool) -> Option<&NodeName> {
        let hands = self.idle.len() + self.busy.len();
        let for_short = (self.short * SHORT_TIMES).as_micros();
        let for_short = for_short.div_ceil(SHORT_SPAN.as_micros()) + 1;
        let for_short = usize::try_from(for_short).unwrap_or(usize::MAX);
        let for_long = hands - for_short.min(hands / 2);
        if is_long && self.long >= for_long {
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

    /// Notes that a node has finished asking about a step, with an answer or without; `None` where it was not asking.
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
            self.rest(node, now);
        }
        let call = self.end(node)?;
        if !call.is_long {
            self.reckon(now.since(call.since), now);
        }
        Some(call)
    }

    fn rest(&mut self, node: &NodeName, now: Timestamp) {
        let before = self.failing.get(node);
        let span = before.map_or(REST, |rest| (rest.span * 2).min(MOST_REST));
        let until = now + span;
        self.failing.insert(node.clone(), Rest { until, span });
    }

    /// Lets nodes that have rested be asked again; returns whether there is one.
    pub fn wake(&mut self, now: Timestamp) -> bool {
        let failing = self.failing.iter();
        let rested = failing.filter(|(_, rest)| rest.until <= now);
        let rested: Vec<NodeName> = rested.map(|(node, _)| node.clone()).collect();
        let mut is_news = false;
        for node in rested {
            if !self.busy.contains_key(&node) {
                is_news |= self.idle.insert(node);
            }
        }
        is_news
    }

    /// Takes in how long a short call has kept its node busy.
    fn reckon(&mut self, took: Duration, now: Timestamp) {
        let passed = now.since(self.reckoned).as_secs_f64();
        self.reckoned = now;
        let left = (-passed / SHORT_SPAN.as_secs_f64()).exp();
        self.short = self.short.mul_f64(left) + took;
    }

    fn end(&mut self, node: &NodeName) -> Option<Call> {
        let call = self.busy.remove(node)?;
        self.long -= usize::from(call.is_long);
        Some(call)
    }
}
