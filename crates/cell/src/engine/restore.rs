//! Restores the stored state at a takeover, in pieces of a bounded size.

use std::vec::IntoIter;

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::{
    Engine,
    StoredState,
    outcomes::Ending, //
};
use crate::{
    bounds::Bounds,
    id::{
        Epoch,
        JobId,
        WorkerId, //
    },
    record::{
        Accepted,
        Ended,
        Progress,
        WorkerRuns, //
    },
};

/// An engine whose stored state is being restored.
///
/// However it is divided, the result is that of [`Engine::new`].
#[derive(Debug)]
pub struct Restoration {
    engine: Engine,
    now: Timestamp,
    ended: IntoIter<Ended>,
    accepted: IntoIter<Accepted>,
    /// The progress of jobs that are not restored yet.
    progress: HashMap<JobId, Progress>,
    /// The progress of jobs without an acceptance, once all accepted jobs are restored.
    others: Option<<HashMap<JobId, Progress> as IntoIterator>::IntoIter>,
    workers: IntoIter<(WorkerId, WorkerRuns)>,
}

impl Restoration {
    /// Begins to restore the state that a new owner has read.
    pub fn new(epoch: Epoch, bounds: Bounds, stored: StoredState, now: Timestamp) -> Self {
        let mut engine = Engine::empty(epoch, bounds, now);
        for cancelled in &stored.cancelled {
            engine.note_cancelled(cancelled);
        }
        Self {
            engine,
            now,
            ended: stored.ended.into_iter(),
            accepted: stored.accepted.into_iter(),
            progress: stored.progress.into_iter().collect(),
            others: None,
            workers: stored.workers.into_iter(),
        }
    }

    /// Restores up to `count` records more; returns false if none of those that can be restored one by one is left.
    pub fn advance(&mut self, count: usize) -> bool {
        (0..count).all(|_| self.restore_next())
    }

    /// Restores one record. Outcomes come first: they tell which of the accepted jobs must not run.
    fn restore_next(&mut self) -> bool {
        if let Some(ended) = self.ended.next() {
            self.engine.outcomes.add_packed(ended);
            return true;
        }
        if let Some(accepted) = self.accepted.next() {
            self.engine
                .restore_job(accepted, &mut self.progress, self.now);
            return true;
        }
        if self.others.is_none() {
            self.engine.count_restored_jobs(self.now);
            self.others = Some(std::mem::take(&mut self.progress).into_iter());
        }
        if let Some((job, progress)) = self.others.as_mut().and_then(Iterator::next) {
            self.restore_outcome(job, progress);
            return true;
        }
        let Some((worker, usage)) = self.workers.next() else {
            return false;
        };
        self.engine.track_former_worker(worker, usage, self.now);
        true
    }

    /// Restores the outcome of a job of which only this is left.
    fn restore_outcome(&mut self, job: JobId, progress: Progress) {
        let engine = &mut self.engine;
        if engine.jobs.contains_key(&job) {
            return;
        }
        if engine.outcomes.contains(job) {
            // The former owner stopped before it removed the progress.
            engine.outcomes.add_unremoved(job);
            return;
        }
        if let Some(outcome) = progress.outcome {
            let workspace = progress.workspace;
            engine.outcomes.add(job, Ending { outcome, workspace });
        }
    }

    /// Restores what is left and returns the engine.
    pub fn finish(mut self) -> Engine {
        while self.restore_next() {}
        self.engine
    }
}
