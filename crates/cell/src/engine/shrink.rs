//! Workers whose capacity has decreased.
//!
//! A worker's capacity may shrink and grow while it runs, and only its own reports show that. Starts that were decided
//! before such a report arrived must not overcommit the worker.

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
        Phase,
        Worker, //
    },
};

/// How long the capacity in a worker's report is trusted. Workers report every 1.5 s, and starts that exceed a
/// decreased capacity are tolerated for 3 s more; the difference to this value is for the transit of an order.
const REPORT_VALIDITY: Duration = Duration::from_secs(4);
/// A record that takes longer has waited for an unavailable store. Other records take 10 to 20 ms, and some 0.4 s while
/// the store is slow.
const SLOW_RECORD_THRESHOLD: Duration = Duration::from_millis(500);
/// The time after an outage of the store within which every worker that is up has reported again.
const REPORT_RECOVERY_TIME: Duration = Duration::from_secs(2);

/// From which time on worker reports are recent enough to trust their capacity.
///
/// While the store is unavailable, no worker can report a decreased capacity, so old reports are distrusted right after
/// an outage. At other times they are trusted until the capacity of any worker decreases for the first time: the list
/// of workers alone may be unavailable, and where capacities never decrease, distrust would block all starts
/// needlessly.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportValidity {
    /// Older reports are not trusted.
    pub(super) valid_from: Timestamp,
    has_shrunk: bool,
    distrusted_until: Timestamp,
}

impl ReportValidity {
    /// Notes how long a record took to be written.
    pub(super) fn note_record(&mut self, took: Duration, now: Timestamp) {
        if took > SLOW_RECORD_THRESHOLD {
            self.distrusted_until = now + REPORT_RECOVERY_TIME;
        }
        self.update(now);
    }

    /// Updates the time from which reports are trusted.
    pub(super) fn update(&mut self, now: Timestamp) {
        self.valid_from = match self.has_shrunk || now < self.distrusted_until {
            true => now.saturating_sub(REPORT_VALIDITY),
            false => Timestamp::ZERO,
        };
    }
}

impl Engine {
    /// Revokes starts that exceed the decreased capacity of a worker, if their orders are unsent or unanswered.
    ///
    /// Tasks that run there already go on until they end by themselves.
    pub(super) fn revoke_excess_starts(&mut self, slot: Slot, now: Timestamp) {
        self.report_validity.has_shrunk = true;
        self.log_worker(slot, "shrunk", now);
        for (task, run) in self.unsent(slot) {
            if !self
                .workers
                .get(&slot)
                .is_some_and(Worker::is_overcommitted)
            {
                return;
            }
            self.revoke(slot, task, run, "shrunk", now);
        }
        // An unanswered order may still be carried out, so the run has to be stopped.
        let is_unanswered = |allocation: &Allocation| {
            allocation.phase == Phase::Starting && allocation.unanswered_starts > 0
        };
        for (task, run) in self.runs_on(slot, is_unanswered) {
            if self
                .workers
                .get(&slot)
                .is_some_and(Worker::is_overcommitted)
            {
                self.stop(slot, task, run, "shrunk", now);
            }
        }
    }

    /// Revokes all runs of a worker whose start orders have not been sent.
    pub(super) fn revoke_unsent(&mut self, slot: Slot, why: &'static str, now: Timestamp) {
        for (task, run) in self.unsent(slot) {
            self.revoke(slot, task, run, why, now);
        }
    }

    /// Revokes a run whose start order has not been sent and never will be.
    pub(super) fn revoke(
        &mut self,
        slot: Slot,
        task: TaskId,
        run: Run,
        why: &'static str,
        now: Timestamp,
    ) {
        self.log_not_started(slot, task, run, why, now);
        self.release(slot, task, run, now);
    }

    /// Returns the runs of a worker whose start orders have not been sent, the latest first.
    fn unsent(&self, slot: Slot) -> Vec<(TaskId, Run)> {
        let allocations = self.workers.get(&slot).map(|worker| &worker.allocations);
        let allocations = allocations.into_iter().flatten();
        let unsent = allocations.filter(|(_, allocation)| allocation.phase == Phase::Recording);
        let mut unsent: Vec<_> = unsent
            .map(|(key, allocation)| (allocation.since, *key))
            .collect();
        unsent.sort_by_key(|(since, key)| (std::cmp::Reverse(*since), *key));
        unsent.into_iter().map(|(_, key)| key).collect()
    }

    /// Logs that a run is not started.
    pub(super) fn log_not_started(
        &mut self,
        slot: Slot,
        task: TaskId,
        run: Run,
        why: &'static str,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let allocation = worker.allocations.get(&(task, run));
        let record = LogRecord::NotStarted {
            task,
            run,
            worker: worker.registration.id.clone(),
            why,
            age: allocation.map(|allocation| now.since(allocation.since)),
        };
        self.log(record);
    }
}
