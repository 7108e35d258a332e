//! What workers report.

use std::time::Duration;

use super::{
    core::Engine,
    effect::{
        Act,
        Cause,
        Effect,
        End, //
    },
    task::Phase,
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        TaskId,
        WorkerId, //
    },
    reputation::Verdict,
    resource::Resources,
};

/// How many workers a job avoids at most, the latest first.
const MOST_AVOIDED: usize = 4;

impl Engine {
    /// Notes that a worker has taken a start.
    ///
    /// A start that is not on record is told to stop, since nobody waits for it.
    pub fn started(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        now: Timestamp,
    ) -> Vec<Effect> {
        let Some(task) = self.task_mut(id) else {
            self.act(id, attempt, worker, Act::Stop);
            return self.drain();
        };
        if !task.is(attempt, worker) {
            self.act(id, attempt, worker, Act::Stop);
            return self.drain();
        }
        if task.phase != Phase::Running {
            task.phase = Phase::Running;
            self.note_victim(id);
            let verdict = self.book.started_ok(worker, id.job, now);
            self.follow(verdict, now);
        }
        self.drain()
    }

    /// Notes that the answer to a start is lost: it may have arrived.
    ///
    /// Its capacity stays reserved until [`Self::started`], [`Self::not_run`], [`Self::ended`] or
    /// [`Self::worker_lost`] settles it.
    pub fn suspect(&mut self, id: TaskId, attempt: Attempt, worker: WorkerId) -> Vec<Effect> {
        if let Some(task) = self.task_mut(id)
            && task.is(attempt, worker)
            && task.phase == Phase::Starting
        {
            task.phase = Phase::Suspect;
        }
        self.drain()
    }

    /// Notes that a start certainly did not run; the task waits again.
    pub fn not_run(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        cause: Cause,
        now: Timestamp,
    ) -> Vec<Effect> {
        let current = self.task(id).is_some_and(|task| task.is(attempt, worker));
        if !current {
            self.drop_ghost(id, attempt);
            return self.drain();
        }
        let Some(task) = self.vacate(id) else {
            return self.drain();
        };
        if cause.blames_worker() {
            let verdict = self.book.refused(worker, id.job, now);
            self.follow(verdict, now);
            self.avoid(id, worker);
        }
        self.wait_again(id, &task, now);
        self.regroup(id.job);
        self.drain()
    }

    /// Notes that a start has ended after it ran for `age`.
    pub fn ended(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        end: End,
        age: Duration,
        now: Timestamp,
    ) -> Vec<Effect> {
        let current = self.task(id).is_some_and(|task| task.is(attempt, worker));
        if !current {
            self.drop_ghost(id, attempt);
            return self.drain();
        }
        if let Some(task) = self.vacate(id) {
            self.settle(id, &task, end, age, now);
        }
        self.drain()
    }

    /// Notes what a task was seen to use, and that its worker has not gone down under its start.
    pub fn usage(&mut self, id: TaskId, used: Resources, _now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        self.estimator.record_usage(&job.key, used);
        if let Some(task) = job.active.get_mut(&id.index) {
            task.shown = true;
            job.crashes.remove(&id.index);
        }
    }

    /// Carries out what the book concludes.
    pub(super) fn follow(&mut self, verdict: Verdict, now: Timestamp) {
        match verdict {
            Verdict::None => {}
            Verdict::Quarantine(worker) => {
                self.reopen(worker);
                self.drop_reservations_on(worker, now);
                self.outbox.push(Effect::Quarantined { worker });
            }
            Verdict::Release(worker) => {
                self.reopen(worker);
                self.freed(worker);
                self.outbox.push(Effect::Released { worker });
            }
            Verdict::Hold(job) => self.hold_job(job, now),
        }
    }

    /// Keeps a task's next start away from a worker.
    pub(super) fn avoid(&mut self, id: TaskId, worker: WorkerId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if !job.avoid.contains(&worker) {
            job.avoid.truncate(MOST_AVOIDED - 1);
            job.avoid.insert(0, worker);
        }
    }
}
