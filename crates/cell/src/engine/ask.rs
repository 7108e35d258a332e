//! Calls to the advice service, which says which workers may run a step.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    unit::Millicores, //
};

use super::{
    Engine,
    Slot,
    open_steps::NodeWait,
    place::{
        Demand,
        fit_count, //
    },
    reserve::Reservations,
    stage::Stage,
    wait::next_wait_reason, //
};
use crate::{
    advice::{
        Call,
        Load,
        Purpose,
        Ticket, //
    },
    effect::{
        Effect,
        LogRecord, //
    },
    event::Grant,
    id::{
        NodeName,
        StepId, //
    },
    worker::Worker,
};

/// The maximum number of workers that the advice service accepts in one call.
const MAX_WORKERS_PER_CALL: usize = 100;
/// Calls that take longer than this are long calls, which don't get the nodes that are reserved for short ones.
const LONG_CALL_THRESHOLD: Duration = Duration::from_millis(150);
/// The free capacity of the workers to ask about, as a multiple of what the step takes, scaled by the share of workers
/// that is likely to be allowed.
///
/// It exceeds 1 because other steps take some of that capacity before the answer arrives.
const FREE_CAPACITY_FACTOR: f64 = 2.0;
/// The total capacity of the workers to ask about for a gang, as a multiple of what the gang takes, scaled in the same
/// way.
///
/// Capacity on these workers becomes free bit by bit, and each further call takes longer than a gang's tickets last.
/// If a gang asks only about workers that have free capacity at the time, gangs of 40 or more tasks on a full fleet of
/// 540 workers wait 30 s for their last members.
const GANG_CAPACITY_FACTOR: f64 = 9.0;
/// The free capacity of the workers whose tickets are renewed, as a multiple of what the step takes.
const REFRESH_CAPACITY_FACTOR: f64 = 1.5;
/// The minimum number of workers to ask about.
///
/// With only as many as the step just fits on, the value of the results is 0.03 lower on fleets of 48 workers: other
/// steps take the workers that were asked about, and the further call costs more than the short one saved.
const MIN_ASKED_WORKERS: usize = 48;
/// The maximum number of concurrent calls for one step.
const MAX_CALLS_PER_STEP: usize = 6;
/// The delay before another call for a step after one without an answer.
const UNANSWERED_CALL_BACKOFF: Duration = Duration::from_millis(100);

/// Returns whether a step asks only about the workers on which it is likely to run.
///
/// A gang takes its workers at once, and an urgent task the first one. Other tasks wait for capacity that may become
/// free on any worker; if they ask about as few workers, the value of their results is a quarter lower on a busy fleet
/// of 350 workers.
fn is_selective(demand: &Demand<'_>) -> bool {
    demand.step.gang || demand.queue.priority == 0
}

/// Returns how many of the first workers, on each of which the given number of tasks fits, are enough for as many tasks
/// as wanted.
///
/// Returns `None` if all of them together aren't, or if the step asks about all workers.
fn sufficient_prefix(
    demand: &Demand<'_>,
    mut fits_by_slot: impl Iterator<Item = usize>,
    wanted: f64,
) -> Option<usize> {
    let mut sum = 0.0;
    let last = fits_by_slot.position(|fits| {
        sum += fits as f64;
        sum >= wanted
    });
    last.filter(|_| is_selective(demand)).map(|last| last + 1)
}

/// Returns whether even a call for a step about one worker is a long call.
fn is_long(demand: &Demand<'_>) -> bool {
    let timing = demand.queue.advice;
    timing.is_some_and(|timing| timing.call_duration(1) > LONG_CALL_THRESHOLD)
}

/// What a step whose tasks don't all fit needs of the advice service.
enum Refresh {
    /// Nothing, or the answer to a call that is in flight.
    None,
    /// A call, for which no node is free.
    AwaitsNode,
    /// A call about these workers.
    Call(Purpose, Vec<Slot>),
}

impl Engine {
    /// Returns whether it is known which workers may run a step.
    pub(super) fn has_advice(&self, id: StepId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return true;
        };
        let is_known = job.stage(id).is_some_and(|stage| stage.advice.is_answered);
        is_known || self.queue_of(job).advice.is_none()
    }

    /// Asks about workers that could run a step, if a node is free to make the call.
    ///
    /// It selects the workers with the most free capacity first, and as many as all tasks of the step are likely to fit
    /// on, since a call takes longer the more workers it asks about. If all workers together have too little free
    /// capacity, it asks about all of them, since any of them may be the next to have some.
    pub(super) fn request_advice(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return;
        };
        if !stage.advice.planned.is_empty() {
            self.make_planned_calls(id, now);
            return;
        }
        if stage.advice.is_call_pending(now) {
            return;
        }
        if !self.has_node(&demand) {
            return self.want_node(id, now);
        }
        let tasks = stage.waiting.len() as f64;
        let share = self.allowed_shares.share(&demand.queue.name);
        let is_selective = is_selective(&demand);
        let mut asked = Vec::new();
        let (mut fits_now, mut fits_when_empty) = (0.0, 0.0);
        for (slot, worker) in self.unasked_workers(&demand, stage, Millicores(0), now) {
            let is_enough = fits_now >= tasks * FREE_CAPACITY_FACTOR / share
                || (demand.step.gang && fits_when_empty >= tasks * GANG_CAPACITY_FACTOR / share);
            let is_full = !demand.step.gang && asked.len() >= MAX_WORKERS_PER_CALL;
            if is_full || (is_selective && is_enough && asked.len() >= MIN_ASKED_WORKERS) {
                break;
            }
            fits_now += fit_count(&worker.free, &demand.size) as f64;
            fits_when_empty += fit_count(&worker.registration.capacity, &demand.size) as f64;
            asked.push(slot);
        }
        self.plan_calls(id, asked, Purpose::First);
        self.make_planned_calls(id, now);
    }

    /// Returns the workers that could run a step and were not asked about yet, with at least `min_cpu` processor time
    /// left.
    ///
    /// Those with the most free capacity come first. Where the workers differ in speed and the step is selective, those
    /// with free capacity for a task come first, and among them the fastest ones.
    fn unasked_workers<'a>(
        &'a self,
        demand: &'a Demand<'_>,
        stage: &'a Stage,
        min_cpu: Millicores,
        now: Timestamp,
    ) -> impl Iterator<Item = (Slot, &'a Worker)> {
        let (free_capacity, pool) = (&self.free_capacity, &demand.queue.pool);
        let is_by_class = is_selective(demand) && !free_capacity.is_uniform(pool);
        let (by_class, others) = match is_by_class {
            true => {
                let by_class = free_capacity.fastest_first(pool, demand.size, min_cpu);
                (Some(by_class), None)
            }
            false => (None, Some(free_capacity.most_free_first(pool, min_cpu))),
        };
        let by_class = by_class.into_iter().flatten();
        let slots = by_class.chain(others.into_iter().flatten());
        let slots = slots.filter(|slot| !stage.advice.was_asked(*slot));
        let workers = slots.filter_map(|slot| Some((slot, self.workers.get(&slot)?)));
        workers.filter(move |(_, worker)| {
            demand.admits(worker, now) && demand.size.fits(&worker.registration.capacity)
        })
    }

    /// Asks again about workers that have free capacity but whose tickets have expired, or about further workers.
    pub(super) fn refresh_advice(
        &mut self,
        id: StepId,
        reserved: &mut Reservations,
        now: Timestamp,
    ) {
        match self.refresh(id, reserved, now) {
            Refresh::None => {
                let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
                // Planned calls still wait for nodes.
                if let Some(stage) = stage.filter(|stage| stage.advice.planned.is_empty()) {
                    stage.advice.node_wanted_since = None;
                }
            }
            Refresh::AwaitsNode => self.want_node(id, now),
            Refresh::Call(purpose, slots) => {
                self.plan_calls(id, slots, purpose);
                self.make_planned_calls(id, now);
                if purpose == Purpose::Renewal {
                    // Which tickets to renew is decided again once another node is free.
                    self.drop_planned(id);
                }
            }
        }
    }

    /// Returns what a step needs of the advice service, and reserves the workers on which a gang fits.
    fn refresh(&self, id: StepId, reserved: &mut Reservations, now: Timestamp) -> Refresh {
        let Some(job) = self.jobs.get(&id.job) else {
            return Refresh::None;
        };
        let Some(demand) = self.demand(job, id).filter(|d| d.queue.advice.is_some()) else {
            return Refresh::None;
        };
        let Some(stage) = job.stage(id) else {
            return Refresh::None;
        };
        let mut fits_by_slot: Vec<(Slot, usize)> = Vec::new();
        // Tickets for workers that are held are renewed while preempted tasks are still stopping there.
        for (slot, worker, fits) in self.candidates_after_stops(&demand, stage) {
            if fits > 0 && !reserved.excludes(slot, &demand) && demand.admits(worker, now) {
                fits_by_slot.push((slot, fits));
            }
        }
        let fits: usize = fits_by_slot.iter().map(|(_, fits)| *fits).sum();
        let is_gang = demand.step.gang;
        let needed = match is_gang {
            true => stage.waiting.len(),
            false => 1,
        };
        if fits < needed {
            return match () {
                () if stage.advice.is_call_pending(now) => Refresh::None,
                () if !self.has_node(&demand) => Refresh::AwaitsNode,
                () => {
                    let further = self.further_workers(&demand, stage, reserved, now);
                    Refresh::Call(Purpose::Further, further)
                }
            };
        }
        let departure = self.expected_departure(now);
        let is_stale = |slot: &Slot| {
            let worker = self.workers.get(slot);
            worker.is_none_or(|worker| stage.advice.ticket(*slot, worker, departure).is_none())
        };
        if !fits_by_slot.iter().any(|(slot, _)| is_stale(slot)) {
            return Refresh::None;
        }
        // Keep those on which the most tasks fit, and no more than are needed.
        fits_by_slot.sort_by_key(|(slot, fits)| (std::cmp::Reverse(*fits), *slot));
        // A task that has to run alone takes more than its own size.
        let wanted =
            (stage.waiting.len() + stage.suspects().count()) as f64 * REFRESH_CAPACITY_FACTOR;
        let enough = sufficient_prefix(&demand, fits_by_slot.iter().map(|(_, fits)| *fits), wanted);
        fits_by_slot.truncate(enough.unwrap_or(fits_by_slot.len()));
        let slots: Vec<Slot> = fits_by_slot.into_iter().map(|(slot, _)| slot).collect();
        let stale: Vec<Slot> = slots.iter().copied().filter(is_stale).collect();
        if is_gang {
            reserved.reserve_for_gang(slots.into_iter(), id);
        }
        match () {
            () if stage.advice.is_call_pending(now) => Refresh::None,
            () if !self.has_node(&demand) => Refresh::AwaitsNode,
            () => Refresh::Call(Purpose::Renewal, stale),
        }
    }

    /// Returns further workers to ask about for a step.
    ///
    /// For a gang, these are as many as make it likely that enough capacity becomes free on allowed workers. For
    /// another step, they are the workers with free capacity; if there are none and the allowed workers, even when
    /// empty, have less than [`FREE_CAPACITY_FACTOR`] times what the step takes, all workers.
    fn further_workers(
        &self,
        demand: &Demand<'_>,
        stage: &Stage,
        reserved: &Reservations,
        now: Timestamp,
    ) -> Vec<Slot> {
        let fits = |worker: &Worker| fit_count(&worker.registration.capacity, &demand.size) as f64;
        let allowed = self.candidates(demand, stage);
        let allowed = allowed.filter(|(_, worker)| !worker.is_evacuated);
        let allowed: f64 = allowed.map(|(_, worker)| fits(worker)).sum();
        let tasks = stage.waiting.len() as f64;
        let unasked = |min_cpu| {
            let unasked = self.unasked_workers(demand, stage, min_cpu, now);
            unasked.filter(|(slot, _)| !reserved.is_reserved_for_other(*slot, demand.id))
        };
        if demand.step.gang {
            let missing = tasks * GANG_CAPACITY_FACTOR - allowed;
            if missing <= 0.0 {
                return Vec::new();
            }
            let missing = missing / self.allowed_shares.share(&demand.queue.name);
            let worthwhile = demand
                .queue
                .advice
                .map_or(0, |timing| timing.min_batch_size());
            let mut sum = 0.0;
            let further = unasked(Millicores(0)).enumerate();
            let further = further.take_while(|(count, (_, worker))| {
                let is_missing = sum < missing || *count < worthwhile.min(MAX_WORKERS_PER_CALL);
                sum += fits(worker);
                is_missing
            });
            return further.map(|(_, (slot, _))| slot).collect();
        }
        let with_capacity = unasked(demand.size.cpu);
        let with_capacity = with_capacity.filter(|(_, worker)| demand.size.fits(&worker.free));
        let with_capacity: Vec<Slot> = with_capacity.map(|(slot, _)| slot).collect();
        match with_capacity.is_empty() && allowed < tasks * FREE_CAPACITY_FACTOR {
            true => unasked(Millicores(0)).map(|(slot, _)| slot).collect(),
            false => with_capacity,
        }
    }

    /// Returns whether a node is free for a call for a step about one worker.
    fn has_node(&self, demand: &Demand<'_>) -> bool {
        self.advice_nodes.idle(is_long(demand)).is_some()
    }

    /// Returns what a step waits for that no call was made about yet, if all it lacks to make one is a free node.
    ///
    /// Then nothing but a node changes that, except for the configuration and the set of workers. A step whose
    /// workspace has a limit doesn't count, since its examination may reserve a share of that.
    pub(super) fn node_wait(&self, id: StepId, now: Timestamp) -> Option<NodeWait> {
        let job = self.jobs.get(&id.job)?;
        let stage = job.stage(id)?;
        let advice = &stage.advice;
        let lacks_node = advice.node_wanted_since.is_some()
            && !advice.is_answered
            && !advice.is_call_pending(now)
            && advice.planned.is_empty();
        let account = job.account.map(|account| self.quotas.account(account));
        let is_unlimited = account.is_none_or(|account| account.limit.resources.is_none());
        if !lacks_node || !is_unlimited {
            return None;
        }
        let demand = self.demand(job, id)?;
        demand.queue.advice?;
        let gang = demand.step.gang;
        let gang = gang.then(|| (demand.queue.name.clone(), stage.gangs_started_before));
        let until = next_wait_reason(stage, now);
        Some(NodeWait::new(is_long(&demand), until, gang))
    }

    /// Notes that a step waits for a node that makes its next call.
    fn want_node(&mut self, id: StepId, now: Timestamp) {
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.advice.want_node(now);
        }
    }

    /// Plans calls about workers, split over several nodes if there are too many workers for one call.
    fn plan_calls(&mut self, id: StepId, asked: Vec<Slot>, purpose: Purpose) {
        let calls = asked
            .len()
            .div_ceil(MAX_WORKERS_PER_CALL)
            .min(MAX_CALLS_PER_STEP);
        // Equal calls take equally long, so that their answers arrive together.
        let call_size = asked
            .len()
            .div_ceil(calls.max(1))
            .clamp(1, MAX_WORKERS_PER_CALL);
        let planned = asked.chunks(call_size).take(calls).map(<[Slot]>::to_vec);
        let planned: Vec<Vec<Slot>> = planned.collect();
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.advice.planned = planned;
            stage.advice.planned_for = purpose;
        }
    }

    /// Makes the planned calls of a step for which nodes are free.
    ///
    /// The other calls follow as nodes become free, without waiting for the answers to these, so that a gang has all
    /// its answers after the time of one or two calls. Sequential calls take 20 s for a gang of 70 tasks.
    pub(super) fn make_planned_calls(&mut self, id: StepId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let stage = job.stage(id);
        if stage.is_none_or(|stage| stage.advice.planned.is_empty()) {
            return;
        }
        let queue = self.queue_of(job);
        let (Some(timing), priority) = (queue.advice, queue.priority) else {
            return;
        };
        let workers = &self.workers;
        let is_evacuated = |slot: &Slot| workers.get(slot).is_none_or(|worker| worker.is_evacuated);
        while let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id))
            && let Some(mut slots) = stage.advice.planned.pop()
        {
            let is_long = timing.call_duration(slots.len()) > LONG_CALL_THRESHOLD;
            let Some(node) = self.advice_nodes.idle(is_long).cloned() else {
                stage.advice.planned.push(slots);
                stage.advice.want_node(now);
                return;
            };
            // This comes after the check for a free node to keep it cheap: hundreds of steps may wait for a node, and
            // each is examined in every pass.
            slots.retain(|slot| !is_evacuated(slot));
            if slots.is_empty() {
                continue;
            }
            let waited = stage.advice.begin(&slots, now);
            let workers = slots.iter().filter_map(|slot| self.workers.get(slot));
            let workers = workers
                .map(|worker| worker.registration.id.clone())
                .collect();
            let call = Call {
                step: id,
                asked: slots,
                since: now,
                is_long,
                priority,
                purpose: stage.advice.planned_for,
                tasks: stage.waiting.len(),
                waited,
            };
            self.advice_nodes.begin(node.clone(), call);
            self.outbox.push(Effect::Advise {
                node,
                step: id,
                workers,
            });
        }
    }

    /// Drops the planned calls of a step that have not been made.
    fn drop_planned(&mut self, id: StepId) {
        if let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) {
            stage.advice.planned.clear();
        }
    }

    /// Handles the answer of the advice service; `None` stands for a call without an answer.
    pub fn handle_advice(
        &mut self,
        node: &NodeName,
        id: StepId,
        answer: Option<Vec<Grant>>,
        now: Timestamp,
    ) {
        let Some(call) = self.advice_nodes.finish(node, id, answer.is_some(), now) else {
            return;
        };
        self.needs_pass = true;
        self.log(LogRecord::Advised {
            step: id,
            node: node.clone(),
            asked: call.asked.len(),
            allowed: answer.as_ref().map(Vec::len),
            took: now.since(call.since),
            waited: call.waited,
            purpose: call.purpose,
            priority: call.priority,
            tasks: call.tasks,
        });
        let Some(answer) = answer else {
            self.handle_unanswered_call(&call, now);
            return;
        };
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let queue = self.queue_of(job).clone();
        self.allowed_shares
            .learn(&queue.name, call.asked.len(), answer.len());
        let validity = queue.advice.map(|timing| timing.ticket_validity);
        let until = now + validity.unwrap_or_default();
        let tickets: Vec<_> = answer
            .into_iter()
            .filter_map(|grant| {
                let slot = self.slots.get(&grant.worker)?;
                let ticket = Ticket {
                    text: grant.ticket,
                    requested: call.since,
                    until,
                };
                Some((*slot, ticket))
            })
            .collect();
        let Some(stage) = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id)) else {
            return;
        };
        stage.advice.answer(tickets.into_iter());
        // Withdraw workers whose current incarnation was denied; otherwise the step would keep asking about these and
        // never about others.
        for slot in call.asked {
            let worker = self.workers.get(&slot);
            let ticket = stage.advice.allowed.get(slot);
            let is_denied = worker.zip(ticket).is_some_and(|(worker, ticket)| {
                ticket.requested < call.since && ticket.is_for_former_incarnation(worker)
            });
            if is_denied {
                stage.advice.withdraw(slot);
            }
        }
    }

    /// Notes that a call got no answer, so that the step may ask about its workers again after a delay.
    pub(super) fn handle_unanswered_call(&mut self, call: &Call, now: Timestamp) {
        let stage = self.jobs.get_mut(&call.step.job);
        if let Some(stage) = stage.and_then(|job| job.stage_mut(call.step)) {
            stage
                .advice
                .fail(&call.asked, now + UNANSWERED_CALL_BACKOFF);
        }
    }

    /// Returns the calls of the queues that need advice, by their priority.
    pub fn advice_load(&self, now: Timestamp) -> BTreeMap<u8, Load> {
        let queues = self.config.queues.values();
        let advised = queues.filter(|queue| queue.advice.is_some());
        let mut loads: BTreeMap<u8, Load> = advised
            .map(|queue| (queue.priority, Load::default()))
            .collect();
        for call in self.advice_nodes.calls() {
            loads.entry(call.priority).or_default().busy_nodes += 1;
        }
        for id in self.open_steps.iter() {
            let job = self.jobs.get(&id.job);
            let stage = job.and_then(|job| job.stage(id));
            let since = stage.and_then(|stage| stage.advice.node_wanted_since);
            let Some((job, since)) = job.zip(since) else {
                continue;
            };
            let load = loads.entry(self.queue_of(job).priority).or_default();
            load.waiting_steps += 1;
            load.longest_wait = load.longest_wait.max(now.since(since));
        }
        loads
    }
}
