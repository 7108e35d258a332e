//! Jobs whose acceptance is on its way to the store: all is prepared but the orders.

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

/// An announced job is given up when nothing was heard of its acceptance for this long: callers wait 3 s.
const GIVEN_UP: Duration = Duration::from_secs(3);

impl Engine {
    /// Takes a job whose acceptance is on its way; false where it is known already.
    ///
    /// Its steps are asked about, placed and put on record at once. The orders leave when [`Self::submit`]
    /// says that the acceptance is on record, and never if it doesn't: a caller that is told "not run" is
    /// told the truth. It answers a slow store, where acceptance and start took 1.1 s one after the other at
    /// 0.35 s a call, and take 0.6 s so.
    pub fn announce(&mut self, accepted: Accepted, now: Timestamp) -> bool {
        let id = accepted.job;
        if self.jobs.contains_key(&id) || self.ended.contains_key(&id) {
            return false;
        }
        self.announced.insert(id, now + GIVEN_UP);
        self.insert(Job::new(accepted, &Progress::default()), now);
        true
    }

    /// Gives up a job that was announced and is not on record, as far as anybody can tell.
    pub fn withdraw(&mut self, id: JobId, now: Timestamp) {
        if self.announced.remove(&id).is_none() {
            return;
        }
        for (slot, task, run) in self.take_held(id) {
            self.release(slot, task, run, now);
        }
        for (slot, task, run) in self.runs_of(id) {
            // None of its orders has left.
            self.release(slot, task, run, now);
        }
        self.jobs.remove(&id);
        self.agenda.remove_job(id);
        self.aside.retain(|step| step.job != id);
    }

    /// Gives up the announced jobs of which nothing was heard.
    pub(super) fn expire_announced(&mut self, now: Timestamp) {
        let overdue = self.announced.iter().filter(|(_, until)| **until <= now);
        let overdue: Vec<JobId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.withdraw(id, now);
        }
    }

    /// Notes that an announced job is on record, and orders what waited for that.
    pub(super) fn confirm_announced(&mut self, id: JobId, now: Timestamp) -> bool {
        if self.announced.remove(&id).is_none() {
            return false;
        }
        let held = self.take_held(id);
        self.send_starts(held, now);
        true
    }

    /// Has the tasks of a job wait for runs of it that were found before it was known.
    ///
    /// Their orders have never left, but they stand on record, and a task must not stand there twice: the next
    /// owner could not tell which run is the one that may be under way.
    pub(super) fn claim_strangers(&mut self, id: JobId) {
        for (slot, task, run) in self.strangers.remove(&id).unwrap_or_default() {
            let stage = self.jobs.get_mut(&id);
            let Some(stage) = stage.and_then(|job| job.stage_mut(task.step)) else {
                continue;
            };
            if let Some(own) = stage.task_mut(task.index)
                && !own.is_done
            {
                own.note_run(slot, run);
                stage.waiting.remove(&task.index);
            }
        }
    }

    /// Notes that a run of a job that is not known is gone.
    pub(super) fn forget_stranger(&mut self, slot: Slot, task: TaskId, run: Run) {
        let Some(strangers) = self.strangers.get_mut(&task.step.job) else {
            return;
        };
        strangers.retain(|stranger| *stranger != (slot, task, run));
        if strangers.is_empty() {
            self.strangers.remove(&task.step.job);
        }
    }

    fn take_held(&mut self, id: JobId) -> Vec<(Slot, TaskId, Run)> {
        let (held, kept) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|(_, task, _)| task.step.job == id);
        self.held = kept;
        held
    }

    fn runs_of(&self, id: JobId) -> Vec<(Slot, TaskId, Run)> {
        let workers = self.workers.iter();
        let runs = workers.flat_map(|(slot, worker)| {
            let keys = worker.claims.keys();
            let own = keys.filter(|(task, _)| task.step.job == id);
            own.map(move |(task, run)| (*slot, *task, *run))
        });
        runs.collect()
    }
}
