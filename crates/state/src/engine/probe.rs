//! Single tasks on quarantined workers, to see whether they work again.

use super::core::Engine;
use crate::{
    clock::Timestamp,
    id::WorkerId,
    job::Priority,
    queue::Entry,
    reputation::Verdict, //
};

/// How many waiting jobs are looked at for a probe.
const DEPTH: usize = 32;

impl Engine {
    /// Releases quarantined workers that have proved well, and starts one idempotent task on each
    /// whose probe is due.
    pub(super) fn probe(&mut self, now: Timestamp) {
        if self.book.next_probe().is_none_or(|at| at > now) {
            return;
        }
        for worker in self.book.release_proven(now) {
            self.follow(Verdict::Release(worker), now);
        }
        let due = |worker: &WorkerId| self.book.may_probe(*worker, now);
        let workers: Vec<WorkerId> = self.book.quarantined().filter(due).collect();
        for worker in workers {
            self.probe_one(worker, now);
        }
    }

    fn probe_one(&mut self, worker: WorkerId, now: Timestamp) {
        let reachable = self
            .hosts
            .get(&worker)
            .is_some_and(|host| host.condition.is_open() && !host.overfull);
        let Some(free) = self.index.free(worker).filter(|_| reachable) else {
            return;
        };
        let sample = self.queue.sample(DEPTH);
        let fits = |entry: &&Entry| entry.size.fits(&free) && self.may_probe_with(entry);
        let Some(entry) = sample.iter().find(fits) else {
            return;
        };
        if self.index.reserve(worker, entry.size).is_ok() {
            self.book.probed(worker, now);
            self.begin(entry.job, worker, None, now);
            self.dequeue_if_idle(entry.job);
        }
    }

    /// Returns whether a job may risk a task on a worker that failed others.
    fn may_probe_with(&self, entry: &Entry) -> bool {
        let idempotent = self
            .jobs
            .get(&entry.job)
            .is_some_and(|job| job.spec.idempotent && job.ready() > 0);
        let patient = entry.class < Priority::Urgent;
        idempotent && patient && self.ledger.admits(entry.team, entry.size)
    }
}
