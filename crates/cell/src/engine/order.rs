//! What comes of orders, and stops that are repeated until they are settled.

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
        Note,
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
        Contact,
        Phase,
        Worker, //
    },
};

/// How long a worker that turned a start away gets no other.
const REST: Duration = Duration::from_millis(500);
/// How many orders to start a run may go unanswered; a twentieth of them does on bad days, and a worker
/// that answers none is silent for its inventory too.
const MOST_COPIES: u8 = 3;
/// How long to wait before a stop is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(100);

/// The wait between a confirmed stop and the look at whether the run was there at all.
const PEEK_AFTER: Duration = Duration::from_millis(1);

impl Engine {
    /// Takes the answer to an order to start.
    pub fn started(
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
        if answer != StartAnswer::Started {
            self.note(Note::NotStarted {
                task,
                run,
                worker: worker.clone(),
                why: answer.word(),
            });
        }
        match answer {
            StartAnswer::Started => {
                self.mark_begun(task.step.job);
                self.confirm(slot, task, run, now);
            }
            StartAnswer::Fenced if !self.may_be_outdated(slot) => self.outbox.push(Effect::Deposed),
            StartAnswer::Gone => self.lose_worker(slot, "replaced", now),
            StartAnswer::Silent => self.start_again(slot, task, run, now),
            // It has ended there already, or its stop came first: the inventory tells which.
            StartAnswer::Old => self.confirm(slot, task, run, now),
            StartAnswer::Ticket => {
                let stage = self.jobs.get_mut(&task.step.job);
                let stage = stage.and_then(|job| job.stage_mut(task.step));
                if let Some(stage) = stage {
                    stage.advice.allowed.void(slot);
                }
                self.release(slot, task, run, now);
            }
            StartAnswer::Fenced
            | StartAnswer::Late
            | StartAnswer::Full
            | StartAnswer::Unhealthy
            | StartAnswer::Malformed
            | StartAnswer::Unsent => {
                if let Some(worker) = self.workers.get_mut(&slot) {
                    worker.rests = worker.rests.max(now + REST);
                }
                match self.unanswered(slot, task, run) {
                    0 => self.release(slot, task, run, now),
                    // An earlier copy may still be carried out.
                    _ => self.stop(slot, task, run, "unanswered", now),
                }
            }
        }
        if answer != StartAnswer::Silent {
            self.orders.remove(&(slot, task, run));
        }
    }

    /// Returns whether an order that a worker refused for its fence may have been meant for a former incarnation. If it
    /// was for a later owner's, the next inventory says so.
    pub(super) fn may_be_outdated(&self, slot: Slot) -> bool {
        let worker = self.workers.get(&slot);
        worker.is_some_and(|worker| !worker.fence.is_first())
    }

    /// Returns whether a task still has to run.
    fn is_wanted(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.step.job).filter(|job| !job.is_over());
        let stage = job.and_then(|job| job.stage(task.step));
        let own = stage.and_then(|stage| stage.task(task.index));
        own.is_some_and(|own| !own.is_done)
    }

    /// Returns whether a worker gets orders to start again that it may not have had: not one that has said that it leaves,
    /// since all that runs there is lost with it, nor one in a data centre that is or may be evacuated.
    fn may_repeat(&self, slot: Slot, now: Timestamp) -> bool {
        self.workers.get(&slot).is_some_and(|worker| {
            worker.registration.leaving.is_none() && self.evacuation_forbids(worker, now).is_none()
        })
    }

    fn unanswered(&self, slot: Slot, task: TaskId, run: Run) -> u8 {
        let claim = self.workers.get(&slot);
        let claim = claim.and_then(|worker| worker.claims.get(&(task, run)));
        claim.map_or(0, |claim| claim.unanswered)
    }

    /// Sends an order again that got no answer: the worker takes it for the same one.
    ///
    /// Its answer tells at once what a stop and an inventory tell only after the time that a worker may
    /// take to stop.
    fn start_again(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        let claim = self.workers.get_mut(&slot);
        let claim = claim.and_then(|worker| worker.claims.get_mut(&(task, run)));
        let Some(claim) = claim.filter(|claim| claim.phase == Phase::Starting) else {
            return;
        };
        claim.unanswered += 1;
        let is_spent = claim.unanswered >= MOST_COPIES;
        let worker = self.workers.get(&slot);
        let is_overfull = worker.is_some_and(Worker::is_overfull);
        // One that is silent may come back with less room, or as another kind.
        let is_silent = worker.is_some_and(|worker| worker.silent.is_some());
        let is_excess = is_overfull || self.is_over_limit(task.step.job);
        if is_spent || is_excess || !self.may_repeat(slot, now) || !self.is_wanted(task) {
            self.stop(slot, task, run, "unanswered", now);
        } else if is_silent {
            self.hold_back(slot, task, run);
        } else {
            self.send_start(slot, task, run, now);
        }
    }

    fn hold_back(&mut self, slot: Slot, task: TaskId, run: Run) {
        let worker = self.workers.get_mut(&slot);
        let claim = worker.and_then(|worker| worker.claims.get_mut(&(task, run)));
        if let Some(claim) = claim {
            claim.is_held_back = true;
        }
    }

    /// Gives the orders again that were held back while a worker was silent, if the same incarnation was heard: the
    /// next one settles them by its fence.
    pub(super) fn send_held_back(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let mut held = Vec::new();
        for (key, claim) in &mut worker.claims {
            let is_held_back = std::mem::take(&mut claim.is_held_back);
            if is_held_back && claim.phase == Phase::Starting && claim.fence == worker.fence {
                held.push(*key);
            }
        }
        let may_repeat = self.may_repeat(slot, now);
        for (task, run) in held {
            let is_excess = self.is_over_limit(task.step.job);
            match self.is_wanted(task) && may_repeat && !is_excess {
                true => self.send_start(slot, task, run, now),
                false => self.stop(slot, task, run, "unanswered", now),
            }
        }
    }

    /// Orders a start whose decision is on record.
    pub(super) fn send_start(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        let Some(order) = self.orders.get(&(slot, task, run)).cloned() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let Some(deadline) = worker.extend(&self.bounds, now) else {
            self.release(slot, task, run, now);
            return;
        };
        let to = worker.destination();
        if let Some(claim) = worker.claims.get_mut(&(task, run)) {
            claim.phase = Phase::Starting;
            claim.fence = to.fence;
        }
        self.outbox.push(Effect::Start(Box::new(Start {
            to,
            task,
            run,
            text: order.text,
            deadline,
            checkpoint: order.checkpoint,
            ticket: order.ticket.map(|ticket| ticket.text),
        })));
    }

    /// Orders the starts whose decisions are on record.
    ///
    /// A ticket may have run out while the record waited for the store; its worker would turn the order
    /// away, and the members of a gang that did start would wait for the others in vain. Nor is it known by then how much
    /// room a worker has that shrinks, one may have said that it leaves, and a data centre may be evacuated.
    pub(super) fn send_starts(&mut self, starts: Vec<(Slot, TaskId, Run)>, now: Timestamp) {
        let starts = self.hold_announced(starts);
        let late = starts.iter().filter_map(|start| {
            let (_, task, _) = start;
            Some((*task, self.late(start, now)?))
        });
        let late: BTreeMap<TaskId, &'static str> = late.collect();
        let broken: BTreeSet<StepId> = late
            .keys()
            .map(|task| task.step)
            .filter(|step| {
                let job = self.jobs.get(&step.job);
                job.and_then(|job| job.step(*step)).is_some_and(|s| s.gang)
            })
            .collect();
        for (slot, task, run) in starts {
            let why = late.get(&task).copied();
            if why.is_none() && !broken.contains(&task.step) {
                self.send_start(slot, task, run, now);
                continue;
            }
            self.take_back(slot, task, run, why.unwrap_or("gang-late"), now);
        }
    }

    /// Returns why an order should not leave any more, as one word.
    fn late(&self, start: &(Slot, TaskId, Run), now: Timestamp) -> Option<&'static str> {
        let worker = self.workers.get(&start.0)?;
        let order = self.orders.get(start);
        let ticket = order.and_then(|order| order.ticket.as_ref());
        if ticket.is_some_and(|ticket| !ticket.is_usable(worker, now)) {
            return Some("ticket-aged");
        }
        // Whoever answers there next may be another incarnation, with less room or of another kind.
        let is_uncertain = worker.silent.is_some() || worker.is_superseded;
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
        (worker.told < self.reports.from).then_some("room-unknown")
    }

    /// Keeps back the starts of jobs whose acceptance is not on record; returns the others that still wait.
    fn hold_announced(&mut self, starts: Vec<(Slot, TaskId, Run)>) -> Vec<(Slot, TaskId, Run)> {
        let waiting = starts.into_iter().filter(|(slot, task, run)| {
            let worker = self.workers.get(slot);
            let claim = worker.and_then(|worker| worker.claims.get(&(*task, *run)));
            claim.is_some_and(|claim| claim.phase == Phase::Recording)
        });
        let (held, ready): (Vec<_>, Vec<_>) =
            waiting.partition(|(_, task, _)| self.announced.contains_key(&task.step.job));
        for start in held {
            // The record of another change of the worker covers it again.
            if !self.held.contains(&start) {
                self.held.push(start);
            }
        }
        ready
    }

    fn confirm(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        let worker = self.workers.get_mut(&slot);
        let claim = worker.and_then(|worker| worker.claims.get_mut(&(task, run)));
        if let Some(claim) = claim {
            claim.confirm(now);
        }
    }

    /// Has a run end, or never begin.
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
        let Some(claim) = worker.claims.get_mut(&(task, run)) else {
            return;
        };
        if matches!(claim.phase, Phase::Stopping { .. }) {
            return;
        }
        if claim.phase == Phase::Recording {
            // Its order has not left and never will.
            self.release(slot, task, run, now);
            return;
        }
        claim.phase = Phase::Stopping { confirmed: None };
        let worker = worker.registration.id.clone();
        self.stops.set((slot, task, run), Some(now));
        self.note(Note::Stopping {
            task,
            run,
            worker,
            why,
        });
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, now: Timestamp) {
        for (slot, task, run) in self.stops.take_due(now) {
            let Some(worker) = self.workers.get(&slot) else {
                continue;
            };
            let to = worker.destination();
            self.outbox.push(Effect::Stop(Stop { to, task, run }));
        }
    }

    /// Takes the answer to an order to stop.
    pub fn stopped(
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
        let claim = self.workers.get_mut(&slot);
        let claim = claim.and_then(|worker| worker.claims.get_mut(&(task, run)));
        let Some(claim) = claim else {
            return;
        };
        let Phase::Stopping { confirmed } = &mut claim.phase else {
            return;
        };
        match answer {
            StopAnswer::Confirmed => {
                *confirmed = Some(now);
                self.stops.set((slot, task, run), None);
                if let Some(worker) = self.workers.get_mut(&slot)
                    && worker.peek.is_none()
                {
                    // Due a moment later, so that the call is certainly made after this answer.
                    worker.peek = Some(Contact::Due(now + PEEK_AFTER));
                    self.index(slot);
                }
            }
            StopAnswer::Fenced if !self.may_be_outdated(slot) => {
                self.outbox.push(Effect::Deposed);
            }
            StopAnswer::Silent | StopAnswer::Fenced => {
                self.stops.set((slot, task, run), Some(now + STOP_AGAIN));
            }
            StopAnswer::Gone => self.lose_worker(slot, "replaced", now),
        }
    }
}
