//! What becomes of each task in a takeover.

use fulmarpier_state::id::{
    Attempt,
    JobId,
    TaskId,
    WorkerId, //
};

use crate::platform::worker::{
    End,
    Ended,
    Running, //
};

use super::{
    super::{
        Job,
        Step,
        TaskState, //
    },
    Machine,
    Recall,
    Seen,
    is_over, //
};

impl Machine {
    /// Returns whether a job is better taken in once no worker is silent.
    ///
    /// None of its tasks was started by the record, but each of them may run unrecorded; to withhold
    /// them one by one would reserve room for a long queue that most likely never started.
    pub(super) fn can_wait(&self, job: JobId) -> bool {
        let unrecorded = self.takeover.unrecorded && self.silent().next().is_some();
        let started = |held: &Job| !held.spec.idempotent || !held.tasks.is_empty();
        unrecorded && !self.jobs.get(&job).is_some_and(started)
    }

    /// Takes a job in, with what the record says of each task.
    pub(super) fn submit(&mut self, job: JobId) {
        let Some(held) = self.jobs.get(&job).cloned() else {
            return;
        };
        // The tasks of a job that is wholly delegated are other shards' to recover.
        let Some(spec) = held.own() else {
            return;
        };
        let tasks = spec.tasks;
        self.step(Step::Submit {
            job,
            spec,
            accepted: held.accepted,
        });
        for index in 0..tasks {
            let state = held.tasks.get(&index).copied();
            let task = TaskId::new(job, index);
            self.restore(task, held.spec.idempotent, state);
        }
        if held.cancelled {
            self.step(Step::Cancel { job });
        }
    }

    /// Takes in the jobs that had to wait for silent workers.
    pub(super) fn submit_deferred(&mut self) {
        for job in std::mem::take(&mut self.deferred) {
            self.submit(job);
        }
    }

    /// Decides on a task by its record, unless an inventory has shown something later.
    pub(super) fn restore(&mut self, task: TaskId, idempotent: bool, state: Option<TaskState>) {
        let attempt = state.map_or(Attempt(0), |state| state.attempt());
        let later = |seen: &Seen| seen.settles || seen.attempt >= attempt;
        if self.seen.get(&task).is_some_and(later) {
            return;
        }
        let roams = idempotent && self.takeover.unrecorded;
        match state {
            Some(state) if is_over(state) => self.step(Step::Restore { task, state }),
            Some(_) | None if roams => self.withhold(task, attempt),
            Some(TaskState::Starting { worker, .. }) => {
                self.bind(task, attempt, worker, idempotent);
            }
            Some(state) => self.step(Step::Restore { task, state }),
            None => {}
        }
    }

    /// Withholds a task that only `worker` may hold, or settles it if that worker is not silent.
    pub(super) fn bind(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        idempotent: bool,
    ) {
        if self.is_silent(worker) {
            self.recall(task, attempt, worker, true);
        } else if idempotent {
            self.step(Step::Waiting { task, attempt });
        } else {
            self.step(Step::Unknown {
                task,
                attempt,
                worker,
            });
        }
    }

    /// Withholds a task while any worker is silent.
    pub(super) fn withhold(&mut self, task: TaskId, attempt: Attempt) {
        let first = self.silent().next();
        if let Some(worker) = first {
            self.recall(task, attempt, worker, false);
        } else if attempt > Attempt(0) {
            self.step(Step::Waiting { task, attempt });
        }
    }

    pub(super) fn recall(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId, bound: bool) {
        let recall = Recall {
            attempt,
            worker,
            bound,
        };
        self.recalls.insert(task, recall);
        self.step(Step::Recall {
            task,
            attempt,
            worker,
        });
    }

    pub(super) fn release(&mut self, task: TaskId) {
        let Some(recall) = self.recalls.remove(&task) else {
            return;
        };
        self.step(Step::Release {
            task,
            attempt: recall.attempt,
            worker: recall.worker,
        });
    }

    /// Settles or moves the tasks that were withheld because of a worker that is silent no more.
    pub(super) fn move_recalls(&mut self, worker: WorkerId) {
        let moved: Vec<(TaskId, Recall)> = self
            .recalls
            .iter()
            .filter(|(_, recall)| recall.worker == worker)
            .map(|(task, recall)| (*task, *recall))
            .collect();
        for (task, recall) in moved {
            self.release(task);
            if recall.bound {
                self.bind(task, recall.attempt, worker, self.is_idempotent(task));
            } else {
                self.withhold(task, recall.attempt);
            }
        }
    }

    pub(super) fn adopt(&mut self, worker: WorkerId, running: Running) {
        let task = running.task;
        self.see(task, running.attempt, true);
        self.release(task);
        self.step(Step::Adopt { worker, running });
    }

    pub(super) fn end(&mut self, worker: WorkerId, ended: &Ended) {
        let task = ended.task;
        let attempt = ended.attempt;
        let succeeded = ended.end == End::Succeeded;
        self.see(task, attempt, succeeded);
        let later = |recall: &Recall| recall.bound && recall.attempt > attempt;
        let kept = self.recalls.get(&task).is_some_and(later);
        if succeeded || !kept {
            self.release(task);
        }
        self.step(Step::Ended {
            task,
            attempt,
            worker,
            end: ended.end,
            age: ended.age,
        });
        let settled = self.seen.get(&task).is_some_and(|seen| seen.settles);
        let roams = self.takeover.unrecorded && self.is_idempotent(task);
        if roams && !settled && self.silent().next().is_some() {
            self.withhold(task, attempt);
        }
    }

    /// Notes what an inventory showed, and takes in the task's job if that had to wait.
    pub(super) fn see(&mut self, task: TaskId, attempt: Attempt, settles: bool) {
        let seen = self.seen.entry(task).or_default();
        seen.attempt = seen.attempt.max(attempt);
        seen.settles |= settles;
        if self.deferred.remove(&task.job) {
            self.submit(task.job);
        }
    }

    pub(super) fn is_silent(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(|c| c.is_silent())
    }

    pub(super) fn is_idempotent(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|held| held.spec.idempotent)
    }
}
