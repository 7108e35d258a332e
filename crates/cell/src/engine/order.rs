//! Answers to orders, and stop orders that are repeated until the worker confirms them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::{
        Effect,
        LogRecord,
        Start,
        Stop, //
    },
    event::{
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    worker::{
        CallState,
        Phase,
        Worker, //
    },
};

/// How long a worker gets no new tasks after it rejected a start order.
const REJECTION_BACKOFF: Duration = Duration::from_millis(500);
/// After this many unanswered start orders a run is stopped. On days with many faults a twentieth of all orders
/// goes unanswered; a worker that answers none of several doesn't answer heartbeats either.
const MAX_UNANSWERED_STARTS: u8 = 3;
/// How long to wait before a stop order is sent again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The delay between a confirmed stop and the probe that shows whether the run was there at all.
const STOP_VERIFICATION_DELAY: Duration = Duration::from_millis(1);

impl Engine {
    /// Handles the answer to a start order.
    pub fn handle_start_answer(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        run: Run,
        answer: StartAnswer,
        now: Timestamp,
    ) {
        let Some(slot) = self.slots.get(worker).copied() else {
            return;
        };
        let answer = match answer {
            StartAnswer::Replaced if self.was_ordered_elsewhere(slot, task, run) => {
                StartAnswer::NoAnswer
            }
            answer => answer,
        };
        if answer != StartAnswer::Started {
            self.log_not_started(slot, task, run, answer.as_str(), now);
        }
        match answer {
            StartAnswer::Started => {
                self.mark_begun(task.step.job);
                self.confirm(slot, task, run, now);
            }
            StartAnswer::Fenced if !self.may_have_stale_orders(slot) => {
                self.end_fenced(worker, "start", now)
            }
            StartAnswer::Replaced => self.remove_lost_worker(slot, "replaced", now),
            StartAnswer::NoAnswer => self.retry_start(slot, task, run, now),
            // The run has ended there already, or its stop order arrived first. The inventory shows which.
            StartAnswer::Stale => self.confirm(slot, task, run, now),
            StartAnswer::InvalidTicket => {
                let stage = self.jobs.get_mut(&task.step.job);
                let stage = stage.and_then(|job| job.stage_mut(task.step));
                if let Some(stage) = stage {
                    stage.advice.allowed.invalidate(slot);
                }
                self.release(slot, task, run, now);
            }
            StartAnswer::Fenced
            | StartAnswer::LeaseExpired
            | StartAnswer::Full
            | StartAnswer::Unhealthy
            | StartAnswer::Malformed
            | StartAnswer::Unsent => {
                if let Some(worker) = self.workers.get_mut(&slot) {
                    worker.backoff_until = worker.backoff_until.max(now + REJECTION_BACKOFF);
                }
                match self.unanswered_starts(slot, task, run) {
                    0 => self.release(slot, task, run, now),
                    // An earlier copy of the order may still be carried out.
                    _ => self.stop(slot, task, run, "unanswered", now),
                }
            }
        }
        if answer != StartAnswer::NoAnswer {
            self.orders.remove(&(slot, task, run));
        }
    }

    /// Returns whether an order that a worker refused for its fence may have been meant for a former incarnation. If it
    /// was refused because a later owner has taken over, the next inventory shows that.
    pub(super) fn may_have_stale_orders(&self, slot: Slot) -> bool {
        let worker = self.workers.get(&slot);
        worker.is_some_and(|worker| !worker.fence.is_first())
    }

    /// Returns whether a task still has to run.
    fn is_unfinished(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job).filter(|job| !job.is_over());
        let stage = job.and_then(|job| job.stage(task.step));
        let state = stage.and_then(|stage| stage.task(task.index));
        state.is_some_and(|state| !state.is_done)
    }

    /// Returns whether unanswered start orders are sent to a worker again. They are not sent to a worker that has
    /// announced that it leaves, because everything that runs there is lost with it, nor to one in a data centre that
    /// is or may be evacuated.
    fn may_resend_starts(&self, slot: Slot, now: Timestamp) -> bool {
        self.workers.get(&slot).is_some_and(|worker| {
            worker.registration.leaving.is_none() && self.evacuation_forbids(worker, now).is_none()
        })
    }

    /// Returns how many start orders of a run are unanswered.
    fn unanswered_starts(&self, slot: Slot, task: TaskId, run: Run) -> u8 {
        let worker = self.workers.get(&slot);
        let allocation = worker.and_then(|worker| worker.allocations.get(&(task, run)));
        allocation.map_or(0, |allocation| allocation.unanswered_starts)
    }

    /// Retries a start order that got no answer. The worker recognises it as the same order.
    ///
    /// The answer shows at once whether the run has started. A stop order and an inventory would show that only after
    /// the grace period that a worker has to stop a task.
    fn retry_start(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        let worker = self.workers.get_mut(&slot);
        let allocation = worker.and_then(|worker| worker.allocations.get_mut(&(task, run)));
        let Some(allocation) = allocation.filter(|allocation| allocation.phase == Phase::Starting)
        else {
            return;
        };
        allocation.unanswered_starts = allocation.unanswered_starts.saturating_add(1);
        let is_exhausted = allocation.unanswered_starts >= MAX_UNANSWERED_STARTS
            && !self.is_gang_whole(task.step, run);
        let worker = self.workers.get(&slot);
        let is_overcommitted = worker.is_some_and(Worker::is_overcommitted);
        // A silent worker may come back with less capacity, or as a worker of another kind.
        let is_silent = worker.is_some_and(|worker| worker.silent_since.is_some());
        let is_excess = is_overcommitted || self.is_over_limit(task.step.job);
        if is_exhausted
            || is_excess
            || !self.may_resend_starts(slot, now)
            || !self.is_unfinished(task)
        {
            self.stop(slot, task, run, "unanswered", now);
        } else if is_silent {
            self.defer_retry(slot, task, run);
        } else {
            self.send_start(slot, task, run, now);
        }
    }

    /// Defers the retry of a start order until the silent worker answers.
    fn defer_retry(&mut self, slot: Slot, task: TaskId, run: Run) {
        let worker = self.workers.get_mut(&slot);
        let allocation = worker.and_then(|worker| worker.allocations.get_mut(&(task, run)));
        if let Some(allocation) = allocation {
            allocation.resend_when_heard = true;
        }
    }

    /// Sends the start orders that were deferred while a worker was silent, if the same incarnation has answered. For a
    /// new incarnation the raised fence makes the old orders obsolete.
    pub(super) fn send_deferred_starts(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let mut deferred = Vec::new();
        for (key, allocation) in &mut worker.allocations {
            let is_deferred = std::mem::take(&mut allocation.resend_when_heard);
            if is_deferred
                && allocation.phase == Phase::Starting
                && allocation.fence == worker.fence
            {
                deferred.push(*key);
            }
        }
        let may_resend_starts = self.may_resend_starts(slot, now);
        for (task, run) in deferred {
            let is_excess = self.is_over_limit(task.step.job);
            match self.is_unfinished(task) && may_resend_starts && !is_excess {
                true => self.send_start(slot, task, run, now),
                false => self.stop(slot, task, run, "unanswered", now),
            }
        }
    }

    /// Sends the start order of a run whose resource allocation is on record.
    pub(super) fn send_start(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        let Some(order) = self.orders.get(&(slot, task, run)).cloned() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let Some(deadline) = worker.extend_lease(&self.bounds, now) else {
            self.release(slot, task, run, now);
            return;
        };
        let to = worker.destination();
        if let Some(allocation) = worker.allocations.get_mut(&(task, run)) {
            allocation.phase = Phase::Starting;
            allocation.fence = to.fence;
        }
        self.note_ordered(task.step, run, now);
        self.outbox.push(Effect::Start(Box::new(Start {
            to,
            task,
            run,
            payload: order.payload,
            deadline,
            checkpoint: order.checkpoint,
            ticket: order.ticket.map(|ticket| ticket.text),
        })));
    }

    /// Sends the start orders of runs whose resource allocations are on record, unless something has changed in the
    /// meantime.
    ///
    /// While the record waited for the store, a ticket may have expired: the worker would reject the order, and the
    /// members of a gang that did start would wait for the others indefinitely. Likewise the worker's capacity may have
    /// become unknown, the worker may have announced that it leaves, or its data centre may have been evacuated.
    pub(super) fn send_starts(&mut self, starts: Vec<(Slot, TaskId, Run)>, now: Timestamp) {
        let starts = self.hold_announced_starts(starts);
        let obstacles = starts.iter().filter_map(|start| {
            let (_, task, _) = start;
            Some((*task, self.start_obstacle(start, now)?))
        });
        let obstacles: BTreeMap<TaskId, &'static str> = obstacles.collect();
        let broken_gangs: BTreeSet<StepId> = obstacles
            .keys()
            .map(|task| task.step)
            .filter(|step| {
                let job = self.jobs.get(&step.job);
                job.and_then(|job| job.step(*step)).is_some_and(|s| s.gang)
            })
            .collect();
        for (slot, task, run) in starts {
            let why = obstacles.get(&task).copied();
            if why.is_none() && !broken_gangs.contains(&task.step) {
                self.send_start(slot, task, run, now);
                continue;
            }
            self.revoke(slot, task, run, why.unwrap_or("gang-late"), now);
        }
    }

    /// Returns why a start order must not be sent any more, as one word.
    fn start_obstacle(&self, start: &(Slot, TaskId, Run), now: Timestamp) -> Option<&'static str> {
        let worker = self.workers.get(&start.0)?;
        let order = self.orders.get(start);
        let ticket = order.and_then(|order| order.ticket.as_ref());
        if ticket.is_some_and(|ticket| !ticket.is_usable(worker, now)) {
            return Some("ticket-aged");
        }
        // The next to answer there may be another incarnation, with less capacity or of another kind.
        let is_uncertain = worker.silent_since.is_some() || worker.is_superseded;
        if is_uncertain || !worker.is_current() {
            return Some("worker-uncertain");
        }
        if worker.registration.leaving.is_some() {
            return Some("worker-leaving");
        }
        if let Some(why) = self.evacuation_forbids(worker, now) {
            return Some(why);
        }
        if self.is_over_limit(start.1.step.job) {
            return Some("over-limit");
        }
        (worker.registered < self.report_validity.valid_from).then_some("room-unknown")
    }

    /// Holds back the starts of jobs whose acceptance is not on record yet. Returns the other starts that are still
    /// pending.
    fn hold_announced_starts(
        &mut self,
        starts: Vec<(Slot, TaskId, Run)>,
    ) -> Vec<(Slot, TaskId, Run)> {
        let waiting = starts.into_iter().filter(|(slot, task, run)| {
            let worker = self.workers.get(slot);
            let allocation = worker.and_then(|worker| worker.allocations.get(&(*task, *run)));
            allocation.is_some_and(|allocation| allocation.phase == Phase::Recording)
        });
        let (held, ready): (Vec<_>, Vec<_>) =
            waiting.partition(|(_, task, _)| self.announced.contains_key(&task.step.job));
        for start in held {
            // A start can be here already: each later record of the same worker lists it again.
            if !self.held_starts.contains(&start) {
                self.held_starts.push(start);
            }
        }
        ready
    }

    /// Notes that the worker has a run.
    fn confirm(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        let worker = self.workers.get_mut(&slot);
        let allocation = worker.and_then(|worker| worker.allocations.get_mut(&(task, run)));
        if let Some(allocation) = allocation {
            allocation.confirm(now);
        }
    }

    /// Stops a run, or prevents it from starting.
    pub(super) fn stop(
        &mut self,
        slot: Slot,
        task: TaskId,
        run: Run,
        why: &'static str,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let Some(allocation) = worker.allocations.get_mut(&(task, run)) else {
            return;
        };
        if matches!(allocation.phase, Phase::Stopping { .. }) {
            return;
        }
        if allocation.phase == Phase::Recording {
            // Its start order has not been sent and never will be.
            self.release(slot, task, run, now);
            return;
        }
        allocation.phase = Phase::Stopping { confirmed: None };
        let worker = worker.registration.id.clone();
        self.note_stop(task.step, now);
        self.stops.set((slot, task, run), Some(now));
        self.log(LogRecord::Stopping {
            task,
            run,
            worker,
            why,
        });
    }

    /// Sends the stop orders that are due.
    pub(super) fn send_stops(&mut self, now: Timestamp) {
        for (slot, task, run) in self.stops.take_due(now) {
            let Some(worker) = self.workers.get(&slot) else {
                continue;
            };
            let to = worker.destination();
            self.outbox.push(Effect::Stop(Stop { to, task, run }));
        }
    }

    /// Handles the answer to a stop order.
    pub fn handle_stop_answer(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        run: Run,
        answer: StopAnswer,
        now: Timestamp,
    ) {
        let Some(slot) = self.slots.get(worker).copied() else {
            return;
        };
        let is_elsewhere = self.was_ordered_elsewhere(slot, task, run);
        let holder = self.workers.get_mut(&slot);
        let allocation = holder.and_then(|holder| holder.allocations.get_mut(&(task, run)));
        let Some(allocation) = allocation else {
            return;
        };
        let Phase::Stopping { confirmed } = &mut allocation.phase else {
            return;
        };
        match answer {
            StopAnswer::Confirmed => {
                *confirmed = Some(now);
                self.stops.set((slot, task, run), None);
                if let Some(worker) = self.workers.get_mut(&slot)
                    && worker.probe.is_none()
                {
                    // The short delay ensures that the probe is sent after this answer.
                    worker.probe = Some(CallState::Due(now + STOP_VERIFICATION_DELAY));
                    self.update_indexes(slot);
                }
            }
            StopAnswer::Fenced if !self.may_have_stale_orders(slot) => {
                self.end_fenced(worker, "stop", now);
            }
            StopAnswer::NoAnswer | StopAnswer::Fenced => {
                self.stops
                    .set((slot, task, run), Some(now + STOP_RETRY_DELAY));
            }
            StopAnswer::Replaced if is_elsewhere => {
                self.stops.set((slot, task, run), Some(now));
            }
            StopAnswer::Replaced => self.remove_lost_worker(slot, "replaced", now),
        }
    }
}
