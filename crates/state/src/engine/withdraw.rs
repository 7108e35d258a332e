//! Jobs that leave for another shard before they start.

use super::{
    core::Engine,
    job::Stage, //
};
use crate::{
    clock::Timestamp,
    id::JobId, //
};

impl Engine {
    /// Returns whether nothing of a job runs, may run or has ended.
    ///
    /// See also [`Self::withdraw`].
    pub fn may_withdraw(&self, id: JobId) -> bool {
        let unstarted = self.jobs.get(&id).is_some_and(|job| {
            let open = matches!(job.stage, Stage::Open | Stage::Held(_));
            open && job.active.is_empty() && job.counts.total() == 0
        });
        let ghost = self.ghosts.keys().any(|(task, _)| task.job == id);
        unstarted && !ghost
    }

    /// Lists the jobs that were submitted before `since` and could be withdrawn, the oldest first.
    ///
    /// The cost depends on the jobs that wait and not on those that run.
    ///
    /// See also [`Self::withdraw`].
    pub fn unstarted(&self, since: Timestamp) -> Vec<JobId> {
        let reserved = self.reservations.values().map(|held| held.job);
        let waiting = self.queue.jobs().chain(self.unplaceable.iter().copied());
        let mut jobs: Vec<(Timestamp, JobId)> = waiting
            .chain(reserved)
            .filter_map(|id| Some((self.jobs.get(&id)?.submitted, id)))
            .filter(|(submitted, id)| *submitted < since && self.may_withdraw(*id))
            .collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs.into_iter().map(|(_, id)| id).collect()
    }

    /// Takes out a job of which nothing runs, may run or has ended; returns whether it did.
    ///
    /// Nothing of it starts here afterwards, unless it is submitted again.
    ///
    /// See also [`Self::may_withdraw`] and [`Self::submit`].
    pub fn withdraw(&mut self, id: JobId, now: Timestamp) -> bool {
        if !self.may_withdraw(id) {
            return false;
        }
        self.drop_reservations_of(id, now);
        self.dequeue(id);
        self.book.forget_job(id);
        self.jobs.remove(&id);
        true
    }
}
