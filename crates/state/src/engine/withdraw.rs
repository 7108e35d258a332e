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
