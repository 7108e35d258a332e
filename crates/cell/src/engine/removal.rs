//! Removal of jobs that are over: only their outcome stays, in memory and on record.

use std::time::Duration;

use fulmarpier_state::{
    alias::HashSet,
    clock::Timestamp, //
};

use super::{
    Engine,
    outcomes::Ending, //
};
use crate::{
    effect::{
        Effect,
        Removal, //
    },
    id::JobId,
    record::Cancellation, //
};

/// The interval between two removals of jobs that are over: each costs one append per partition.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(3);
/// The maximum number of removed jobs whose memory is freed in one call of [`Engine::advance`].
///
/// Freeing 1,400 jobs at once, with their tasks and tickets, delays other events by 5 ms on a whole core.
const MAX_JOBS_FREED_AT_ONCE: usize = 32;
/// How long a job stays in memory after its end: by then, most callers have queried it.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

impl Engine {
    /// Queues a job that is over for removal.
    pub(super) fn schedule_removal(&mut self, id: JobId, now: Timestamp) {
        self.ended_at.push((now, id));
    }

    /// Removes the specifications of jobs that are over, from memory and from the store.
    ///
    /// Their outcomes stay, many in a record. A takeover therefore reads the open jobs and some bytes of each job that
    /// is over, rather than all jobs ever submitted.
    ///
    /// A job that a worker may still run stays, since its sizes are needed to count the resources that it takes.
    pub(super) fn remove_ended(&mut self, now: Timestamp) {
        let left = self
            .pending_drops
            .len()
            .saturating_sub(MAX_JOBS_FREED_AT_ONCE);
        self.pending_drops.truncate(left);
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + REMOVAL_INTERVAL;
        let allocations = self.workers.values().flat_map(|worker| &worker.allocations);
        let allocated: HashSet<JobId> = allocations.map(|((task, _), _)| task.step.job).collect();
        let over = std::mem::take(&mut self.ended_at);
        for (since, id) in over {
            // The acceptance of an announced job is not on record yet, so there is nothing to remove.
            let is_due = now.since(since) >= REMOVAL_DELAY
                && !allocated.contains(&id)
                && !self.announced.contains_key(&id);
            if is_due && self.is_end_recorded(id) {
                self.forget(id);
            } else {
                self.ended_at.push((since, id));
            }
        }
        self.pack_outcomes();
        self.forget_crashes();
        let removals = std::mem::take(&mut self.pending_removals);
        if !removals.is_empty() {
            self.outbox.push(Effect::Remove(removals));
        }
    }

    /// Returns whether the end of a job is on record.
    fn is_end_recorded(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return true;
        };
        // A cancellation is recorded before the engine learns of it.
        job.recorded_outcome.is_some() || (job.is_cancelled && job.outcome.is_none())
    }

    /// Removes a job, and queues its acceptance for removal from the store.
    fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let workspace = job.workspace().cloned();
        if let Some(outcome) = job.recorded_outcome {
            let workspace = workspace.clone();
            self.outcomes.add(id, Ending { outcome, workspace });
        }
        let is_cancelled = job.is_cancelled;
        let partition = job.accepted.partition;
        self.pending_drops.push(job);
        let cancellation = is_cancelled.then(|| {
            let entry = self.cancelled.entry((id, workspace.clone()));
            entry.or_insert(Cancellation::UnknownJob)
        });
        let unknown =
            cancellation.filter(|cancellation| **cancellation == Cancellation::UnknownJob);
        self.pending_removals.push(Removal {
            job: id,
            workspace,
            partition,
            // Once the acceptance is removed, only this records that the job was submitted.
            cancellation: unknown.map(|cancellation| {
                *cancellation = Cancellation::KnownJob;
                *cancellation
            }),
        });
    }
}
