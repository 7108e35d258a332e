//! Lost workers, and the runs that were on them.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    stage::LostRun, //
};
use crate::{
    effect::{
        Effect,
        LogRecord,
        Loss,
        Refusal, //
    },
    id::{
        Run,
        TaskId,
        WorkerId, //
    },
    worker::{
        Allocation,
        Phase,
        Worker, //
    },
};

/// How long a worker whose leases have expired may take to come back and report ends of runs. Network outages of
/// workers last some seconds longer than their leases.
const LATE_RETURN_PERIOD: Duration = Duration::from_secs(12);

impl Worker {
    /// Returns whether no failure of a run on a worker whose leases have certainly expired can be reported any more.
    ///
    /// This holds for a worker that the store is known not to list. It rests on:
    ///
    /// - the expiry of all leases, by which the worker has ended its runs and refuses orders that arrive later; an end
    ///   that it lists after that does not count, by the platform's rules;
    /// - the rule that a worker whose entry is still missing 2 s after the store's return is gone, which the node waits
    ///   for before it reports an entry as missing;
    /// - the incarnation, by which a report of the removed one is recognized and not counted if it returns after all;
    /// - the removal of the worker, since the answer to a call made before it is not taken in any more.
    ///
    /// It does not hold for a worker that is listed, that has an unusable entry, or that only a former owner's record
    /// names: these may be cut off and return.
    const fn is_failure_report_excluded(&self) -> bool {
        self.is_known_unlisted && self.incarnation.is_some()
    }
}

impl Engine {
    /// Frees the resources of a run that is certainly gone, and lets its task be restarted.
    pub(super) fn release(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        self.needs_pass = true;
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.note_end(task, run, now);
            let charge = worker
                .release(task, run)
                .and_then(|allocation| allocation.charge);
            if let Some(charge) = charge {
                self.quotas.credit(charge.account, charge.size);
            }
            // A record that lists the run at another worker must not be written before one that removes it here.
            self.record_queue.add_worker(slot);
        }
        self.orders.remove(&(slot, task, run));
        self.stops.set((slot, task, run), None);
        self.update_indexes(slot);
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            self.remove_unknown_run(slot, task, run);
            return;
        };
        let is_over = job.is_over();
        let account = job.account;
        let Some(stage) = job.stage_mut(task.step) else {
            self.remove_unknown_run(slot, task, run);
            return;
        };
        let Some(state) = stage.task_mut(task.index) else {
            return;
        };
        if !state.end_run(slot, run) || state.is_done || is_over {
            return;
        }
        stage.waiting.insert(task.index);
        stage.opened_at.get_or_insert(now);
        self.open_steps.insert(task.step, account);
        self.note_missing(task.step, now);
    }

    /// Removes an incarnation that is gone, with all its runs.
    pub(super) fn remove_lost_worker(&mut self, slot: Slot, why: &'static str, now: Timestamp) {
        self.log_worker(slot, why, now);
        self.log_losses(slot, why, now);
        self.count_crashes(slot, now);
        self.release_all(slot, now);
        // The worker may come back under the same id while orders to the former incarnation are still in flight.
        self.fence = self.fence.next();
        self.open_steps.forget_node_waits();
        if let Some(worker) = self.workers.remove(&slot) {
            self.slots.remove(&worker.registration.id);
            self.record_queue.remove_worker(worker.registration.id);
        }
        self.update_indexes(slot);
    }

    /// Ends the ownership because a worker has refused a call for its fence.
    pub(super) fn end_fenced(&mut self, id: &WorkerId, call: &'static str, now: Timestamp) {
        let slot = self.slots.get(id);
        let heard = slot.and_then(|slot| self.workers.get(slot)?.heard);
        let refusal = Refusal {
            worker: id.clone(),
            call,
            heard: heard.map(|heard| now.since(heard)),
        };
        self.outbox
            .push(Effect::OwnershipLost(Loss::Fenced(refusal)));
    }

    /// Logs that a worker which has never answered this owner is considered lost.
    fn log_unheard(&mut self, slot: Slot, why: &'static str, now: Timestamp) {
        let worker = self.workers.get(&slot);
        let Some(worker) = worker.filter(|worker| worker.heard.is_none()) else {
            return;
        };
        let record = LogRecord::Unheard {
            worker: worker.registration.id.clone(),
            why,
            runs: self.ordered_runs(slot).len(),
            owned: now.since(self.began),
            lease: worker.leases_end().unwrap_or(now).since(self.began),
        };
        self.log(record);
    }

    /// Logs the runs that are lost with a worker.
    pub(super) fn log_losses(&mut self, slot: Slot, why: &'static str, now: Timestamp) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let silent_since = worker.silent_since.unwrap_or(now);
        let sent = worker.allocations.iter();
        let sent = sent.filter(|(_, allocation)| allocation.phase != Phase::Recording);
        let others = sent.clone().count().saturating_sub(1);
        let records: Vec<LogRecord> = sent
            .map(|((task, run), allocation)| LogRecord::Lost {
                task: *task,
                run: *run,
                worker: worker.registration.id.clone(),
                why,
                run_age: silent_since.since(allocation.since),
                other_runs: others,
            })
            .collect();
        records.into_iter().for_each(|record| self.log(record));
    }

    /// Returns the runs of a worker whose resource allocations meet a condition.
    pub(super) fn runs_on(
        &self,
        slot: Slot,
        condition: impl Fn(&Allocation) -> bool,
    ) -> Vec<(TaskId, Run)> {
        let allocations = self.workers.get(&slot).map(|worker| &worker.allocations);
        let allocations = allocations.into_iter().flatten();
        let runs = allocations.filter(|(_, allocation)| condition(allocation));
        runs.map(|(key, _)| *key).collect()
    }

    /// Returns the runs that a worker may have begun. Orders of the others wait for their records and are not sent.
    fn ordered_runs(&self, slot: Slot) -> Vec<(TaskId, Run)> {
        self.runs_on(slot, |allocation| allocation.phase != Phase::Recording)
    }

    /// Adds the runs that a lost worker may have begun to their tasks.
    ///
    /// Until `may_fail_until` they may turn out to have failed there; `None` if that can't be reported any more.
    fn note_lost_runs(&mut self, slot: Slot, may_fail_until: Option<Timestamp>) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let (id, incarnation) = (worker.registration.id.clone(), worker.incarnation);
        for (task, run) in self.ordered_runs(slot) {
            if let Some(state) = self.task_mut(task) {
                state.lost_runs.push(LostRun {
                    run,
                    worker: id.clone(),
                    incarnation,
                    may_fail_until,
                });
            }
        }
    }

    /// Settles the runs that were lost when the leases of a worker had expired while it was listed: the worker is gone,
    /// so it can't report any more that they failed.
    fn settle_lapsed_runs(&mut self, slot: Slot) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let id = worker.registration.id.clone();
        for (task, run) in std::mem::take(&mut worker.lapsed_runs) {
            if let Some(state) = self.task_mut(task) {
                state.settle_lost_run(&id, run);
            }
        }
    }

    /// Releases all runs of a worker.
    fn release_all(&mut self, slot: Slot, now: Timestamp) {
        for (task, run) in self.runs_on(slot, |_| true) {
            self.release(slot, task, run, now);
        }
    }

    /// Declares the runs lost on workers whose leases have certainly expired, and forgets workers that have been
    /// unlisted for a while and run nothing.
    pub(super) fn expire_workers(&mut self, now: Timestamp) {
        for slot in self.expiries.take_due(now) {
            self.expire_worker(slot, now);
            self.update_indexes(slot);
        }
    }

    fn expire_worker(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let is_listed = worker.is_listed();
        if !worker.has_expired(now) {
            if worker.is_forgettable(now) {
                self.log_unheard(slot, "gone", now);
                self.remove_lost_worker(slot, "gone", now);
            }
            return;
        }
        match is_listed {
            true => self.lapse(slot, now),
            false => self.give_up(slot, now),
        }
    }

    /// Releases the runs of a silent worker that is listed, so that it may return.
    fn lapse(&mut self, slot: Slot, now: Timestamp) {
        self.note_lost_runs(slot, Some(now + LATE_RETURN_PERIOD));
        let lapsed = self.ordered_runs(slot);
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.lapsed_runs.extend(lapsed);
        }
        self.log_unheard(slot, "lapsed", now);
        self.log_worker(slot, "lapsed", now);
        self.log_losses(slot, "lapsed", now);
        self.add_doubted_crashes(slot, now);
        self.release_all(slot, now);
    }

    /// Removes a silent worker that is not listed, or not with a usable entry.
    fn give_up(&mut self, slot: Slot, now: Timestamp) {
        let worker = self.workers.get(&slot);
        let is_excluded = worker.is_some_and(Worker::is_failure_report_excluded);
        if is_excluded {
            self.settle_lapsed_runs(slot);
        }
        let until = (!is_excluded).then_some(now + LATE_RETURN_PERIOD);
        self.note_lost_runs(slot, until);
        self.log_unheard(slot, "gone", now);
        self.remove_lost_worker(slot, "gone", now);
    }
}
