//! Announced jobs: their acceptance is being recorded in the store, and meanwhile everything but the orders is
//! prepared.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    job::Job, //
};
use crate::{
    id::{
        JobId,
        Run,
        TaskId, //
    },
    record::{
        Accepted,
        Progress, //
    },
};

/// How long an announced job waits for its acceptance to be recorded before it is withdrawn: callers wait 3 s.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

impl Engine {
    /// Adds a job whose acceptance is being recorded; returns false if the job is known already.
    ///
    /// The engine asks for advice on its steps, places them and records the starts at once. The orders leave when
    /// [`Self::submit`] confirms that the acceptance is recorded, and never otherwise, so that the answer
    /// "not run" to a caller is always true. This hides the latency of a slow store: at 0.35 s a call, acceptance and
    /// start take 1.1 s one after the other, and 0.6 s this way.
    pub fn announce(&mut self, accepted: Accepted, now: Timestamp) -> bool {
        let id = accepted.job;
        if self.jobs.contains_key(&id) || self.outcomes.contains(id) {
            return false;
        }
        self.announced.insert(id, now + ANNOUNCEMENT_TIMEOUT);
        self.add_job(Job::new(accepted, &Progress::default()), now);
        self.count_job(id, now);
        true
    }

    /// Removes an announced job whose acceptance is not recorded, as far as is known.
    pub fn withdraw(&mut self, id: JobId, now: Timestamp) {
        if self.announced.remove(&id).is_none() {
            return;
        }
        for (slot, task, run) in self.take_held_starts(id) {
            self.release(slot, task, run, now);
        }
        for (slot, task, run) in self.runs_of(id) {
            // None of the orders has left, so the runs can be released without a stop.
            self.release(slot, task, run, now);
        }
        if let Some(job) = self.jobs.remove(&id) {
            self.uncount_job(&job);
        }
        self.open_steps.remove_job(id);
        self.unschedulable.retain(|step| step.job != id);
    }

    /// Withdraws the announced jobs whose acceptance was not confirmed in time.
    pub(super) fn expire_announced(&mut self, now: Timestamp) {
        let overdue = self.announced.iter().filter(|(_, until)| **until <= now);
        let overdue: Vec<JobId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.withdraw(id, now);
        }
    }

    /// Notes that the acceptance of an announced job is recorded, and sends the orders that waited for it.
    ///
    /// Returns false if the job was not announced.
    pub(super) fn confirm_announced(&mut self, id: JobId, now: Timestamp) -> bool {
        if self.announced.remove(&id).is_none() {
            return false;
        }
        let held = self.take_held_starts(id);
        self.send_starts(held, now);
        true
    }

    /// Assigns the runs that were found before their job was known to the tasks of the job.
    ///
    /// These tasks don't start again until the runs are gone.
    ///
    /// The orders of these runs never left, but the runs are on record, and a task must not have two runs there: the
    /// next owner could not tell which of them may be under way.
    pub(super) fn assign_unknown_runs(&mut self, id: JobId) {
        for (slot, task, run) in self.unknown_runs.remove(&id).unwrap_or_default() {
            let stage = self.jobs.get_mut(&id);
            let Some(stage) = stage.and_then(|job| job.stage_mut(task.step)) else {
                continue;
            };
            if let Some(state) = stage.task_mut(task.index)
                && !state.is_done
            {
                state.note_run(slot, run);
                stage.waiting.remove(&task.index);
            }
        }
    }

    /// Notes that a run of an unknown job is gone.
    pub(super) fn remove_unknown_run(&mut self, slot: Slot, task: TaskId, run: Run) {
        let Some(unknown_runs) = self.unknown_runs.get_mut(&task.step.job) else {
            return;
        };
        unknown_runs.retain(|unknown_run| *unknown_run != (slot, task, run));
        if unknown_runs.is_empty() {
            self.unknown_runs.remove(&task.step.job);
        }
    }

    /// Removes and returns the starts of a job that wait for its acceptance.
    fn take_held_starts(&mut self, id: JobId) -> Vec<(Slot, TaskId, Run)> {
        let (held, others) = std::mem::take(&mut self.held_starts)
            .into_iter()
            .partition(|(_, task, _)| task.step.job == id);
        self.held_starts = others;
        held
    }

    /// Returns all runs of a job that workers may have.
    fn runs_of(&self, id: JobId) -> Vec<(Slot, TaskId, Run)> {
        let workers = self.workers.iter();
        let runs = workers.flat_map(|(slot, worker)| {
            let keys = worker.allocations.keys();
            let runs = keys.filter(|(task, _)| task.step.job == id);
            runs.map(move |(task, run)| (*slot, *task, *run))
        });
        runs.collect()
    }
}
