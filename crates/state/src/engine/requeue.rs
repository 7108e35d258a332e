//! A job's way into the queue and out of it.

use std::time::Duration;

use super::{
    core::Engine,
    job::Job, //
};
use crate::{
    clock::Timestamp,
    id::JobId,
    queue::Entry, //
};

/// A job without a deadline should wait for at most this many times its run time.
const STRETCH: u32 = 4;
/// A late job competes as if it had at least this long.
const LEAST_PATIENCE: Duration = Duration::from_secs(1);

impl Engine {
    /// Puts a job into the queue if it has tasks that could start.
    pub(super) fn enqueue(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.ready() == 0 || !is_whole(job) {
            return;
        }
        if !self.index.fits_empty(&job.spec.size) {
            self.unplaceable.insert(id);
            return;
        }
        let entry = Entry {
            job: id,
            class: job.spec.priority,
            team: job.slot,
            size: job.spec.size,
            gang: job.is_gang(),
            latest: self.latest_start(job, now),
            bound: job.spec.deadline.is_some_and(|deadline| deadline > now),
            arrival: job.submitted,
        };
        self.ledger.set_waits(entry.team, true);
        self.queue.insert(entry);
    }

    /// Takes a job out of the queue.
    pub(super) fn dequeue(&mut self, id: JobId) {
        self.unplaceable.remove(&id);
        let Some(entry) = self.queue.remove(id) else {
            return;
        };
        if self.queue.team(entry.team) == 0 {
            self.ledger.set_waits(entry.team, false);
        }
    }

    /// Takes a job out of the queue once none of its tasks could start.
    pub(super) fn dequeue_if_idle(&mut self, id: JobId) {
        let idle = self.jobs.get(&id).is_none_or(|job| job.ready() == 0);
        if idle {
            self.dequeue(id);
        }
    }

    /// Returns the time by which a job should start.
    ///
    /// Without a deadline it is a multiple of the expected run time after the arrival, so that a
    /// short job does not wait as long as a long one may. A job that can't meet its deadline any
    /// more queues as if it had none, so that it takes no place of one that still can.
    fn latest_start(&self, job: &Job, now: Timestamp) -> Timestamp {
        let patience = self.policy.patience.get().max(LEAST_PATIENCE);
        let runtime = self.estimator.runtime(&job.key, job.spec.runtime);
        let stretch = (runtime.p50 * STRETCH).clamp(LEAST_PATIENCE, patience);
        let usual = job.submitted + stretch;
        match job.spec.deadline {
            None => usual,
            Some(deadline) if deadline <= now => now + patience,
            Some(deadline) => deadline.saturating_sub(runtime.p90).min(usual),
        }
    }
}

/// Returns whether all tasks of a gang that start together are there; other jobs always do.
///
/// Tasks of a gang that may not be started again can't wait for the others.
pub(super) fn is_whole(job: &Job) -> bool {
    let together = job.active.is_empty() && job.delayed.is_empty() && job.claimed == 0;
    !job.is_gang() || !job.restarts() || together
}
