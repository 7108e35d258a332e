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
    /// Takes out a job of which nothing runs, may run or has ended; returns whether it did.
    ///
    /// Nothing of it starts here afterwards, unless it is submitted again.
    ///
    /// See also [`Self::submit`].
    pub fn withdraw(&mut self, id: JobId, now: Timestamp) -> bool {
        let unstarted = self.jobs.get(&id).is_some_and(|job| {
            let open = matches!(job.stage, Stage::Open | Stage::Held(_));
            open && job.active.is_empty() && job.counts.total() == 0
        });
        let ghost = self.ghosts.keys().any(|(task, _)| task.job == id);
        if !unstarted || ghost {
            return false;
        }
        self.drop_reservations_of(id, now);
        self.dequeue(id);
        self.book.forget_job(id);
        self.jobs.remove(&id);
        true
    }
}
