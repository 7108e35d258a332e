//! Lost workers, and the runs that were on them.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::LogRecord,
    id::{
        Run,
        TaskId, //
    },
    worker::{
        Allocation,
        Phase, //
    },
};

/// How long a worker whose leases have expired may take to come back and report ends of runs. Network outages of
/// workers last some seconds longer than their leases.
const LATE_RETURN_PERIOD: Duration = Duration::from_secs(12);

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
    }

    /// Removes an incarnation that is gone, with all its runs.
    pub(super) fn remove_lost_worker(&mut self, slot: Slot, why: &'static str, now: Timestamp) {
        self.log_worker(slot, why, now);
        self.log_losses(slot, why, now);
        self.count_crashes(slot, now);
        self.release_all(slot, now);
        // The worker may come back under the same id while orders to the former incarnation are still in flight.
        self.fence = self.fence.next();
        if let Some(worker) = self.workers.remove(&slot) {
            self.slots.remove(&worker.registration.id);
            self.record_queue.remove_worker(worker.registration.id);
        }
        self.update_indexes(slot);
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

    /// Notes that the runs of a worker that is declared lost may have failed there.
    fn note_possible_failures(&mut self, slot: Slot, now: Timestamp) {
        for (task, run) in self.runs_on(slot, |_| true) {
            let stage = self.jobs.get_mut(&task.step.job);
            let stage = stage.and_then(|job| job.stage_mut(task.step));
            if let Some(state) = stage.and_then(|stage| stage.task_mut(task.index)) {
                state.lost_runs.push((run, now + LATE_RETURN_PERIOD));
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
                self.remove_lost_worker(slot, "gone", now);
            }
            return;
        }
        self.note_possible_failures(slot, now);
        if is_listed {
            self.log_worker(slot, "lapsed", now);
            self.log_losses(slot, "lapsed", now);
            self.add_doubted_crashes(slot, now);
            self.release_all(slot, now);
        } else {
            self.remove_lost_worker(slot, "gone", now);
        }
    }
}
