//! Workers whose leases have lapsed, and jobs that fail everywhere.

use super::{
    core::Engine,
    effect::{
        Effect,
        End, //
    },
    job::Stage,
    timer::Timer,
};
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        TaskId,
        WorkerId, //
    },
    worker::Condition,
};

impl Engine {
    /// Notes that all leases of a worker have certainly lapsed, so that nothing runs there.
    ///
    /// Idempotent tasks wait for their next start; others end as unknown and never start again.
    pub fn worker_lost(&mut self, worker: WorkerId, now: Timestamp) -> Vec<Effect> {
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.condition = Condition::Lost;
        }
        self.reopen(worker);
        self.drop_reservations_on(worker, now);
        self.lose_tasks_of(worker, now);
        self.drain()
    }

    /// Ends all starts on a worker as lapsed.
    pub(super) fn lose_tasks_of(&mut self, worker: WorkerId, now: Timestamp) {
        let tasks: Vec<TaskId> = self.tasks_on(worker).collect();
        for id in tasks {
            if let Some(task) = self.vacate(id) {
                let age = now.since(task.begun);
                self.settle(id, &task, End::Lapsed, age, now);
            }
        }
        for (task, attempt) in self.ghosts_on(worker) {
            self.drop_ghost(task, attempt);
        }
    }

    /// Starts no more tasks of a job that fails on several workers, for a while.
    ///
    /// A held job is tried again after the longest backoff, so that its retry budget brings it to
    /// a truthful end.
    pub(super) fn hold_job(&mut self, id: JobId, now: Timestamp) {
        let until = now + self.policy.retry.ceiling.get();
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.stage != Stage::Open {
            return;
        }
        job.stage = Stage::Held(until);
        self.drop_reservations_of(id, now);
        self.dequeue(id);
        self.set_timer(until, Timer::Unhold(id));
        self.outbox.push(Effect::Held { job: id });
    }

    /// Lets a held job go on at once, as an operator may.
    pub fn release_job(&mut self, id: JobId, now: Timestamp) -> Vec<Effect> {
        self.book.forget_job(id);
        self.end_hold_of_job(id, now);
        self.drain()
    }
}
