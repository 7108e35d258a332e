//! Cancellation.

use super::{
    core::Engine,
    effect::{
        Act,
        Effect,
        Outcome, //
    },
    job::Stage,
    task::Halt, //
};
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        TaskId, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
};

impl Engine {
    /// Cancels a job: what waits never starts, what runs is stopped.
    ///
    /// The cost depends on the tasks that run and not on those that wait. A job that is being
    /// cancelled already, or has ended, is left as it is.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownJob`] where the job is not known.
    pub fn cancel(&mut self, id: JobId, now: Timestamp) -> Result<Vec<Effect>, Refusal> {
        let Some(job) = self.jobs.get(&id) else {
            let detail = format!("there is no job {id}");
            return Err(Refusal::new(Reason::UnknownJob, detail));
        };
        if job.stage.is_closing() {
            return Ok(self.drain());
        }
        self.close(id, Stage::Closing, now);
        self.halt_tasks_of(id, Halt::Cancelled);
        self.end_job_if_done(id, now);
        Ok(self.drain())
    }

    /// Starts nothing more of a job; what waits counts as cancelled.
    pub(super) fn close(&mut self, id: JobId, stage: Stage, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let waiting = job.waiting();
        job.stage = stage;
        job.counts.add(Outcome::Cancelled, waiting);
        job.next = job.size;
        job.again.clear();
        job.delayed.clear();
        self.dequeue(id);
        self.drop_reservations_of(id, now);
    }

    /// Tells all running tasks of a job to stop.
    pub(super) fn halt_tasks_of(&mut self, id: JobId, halt: Halt) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let tasks: Vec<TaskId> = job.active.keys().map(|i| TaskId::new(id, *i)).collect();
        for task in tasks {
            self.halt(task, halt, Act::Stop);
        }
    }

    /// Tells one task to stop.
    pub(super) fn halt(&mut self, id: TaskId, halt: Halt, act: Act) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.halt = Some(halt);
        let (attempt, worker) = (task.attempt, task.worker);
        self.forget_victim(id);
        self.act(id, attempt, worker, act);
    }
}
