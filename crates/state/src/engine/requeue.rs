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
            arrival: job.submitted,
        };
        self.queue.insert(entry);
    }

    /// Takes a job out of the queue.
    pub(super) fn dequeue(&mut self, id: JobId) {
        self.queue.remove(id);
        self.unplaceable.remove(&id);
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
    /// A job that can't meet its deadline any more queues as if it had none, so that it does not
    /// take the place of one that still can.
    fn latest_start(&self, job: &Job, now: Timestamp) -> Timestamp {
        let patience = self.policy.patience.get().max(LEAST_PATIENCE);
        let usual = job.submitted + patience;
        let Some(deadline) = job.spec.deadline else {
            return usual;
        };
        if deadline <= now {
            return now + patience;
        }
        let runtime = self.estimator.runtime(&job.key, job.spec.runtime);
        deadline.saturating_sub(runtime.p90).min(usual)
    }
}

/// Returns whether a gang has all its tasks together; other jobs always do.
fn is_whole(job: &Job) -> bool {
    !job.is_gang() || (job.active.is_empty() && job.delayed.is_empty() && job.claimed == 0)
}
