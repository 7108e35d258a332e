//! What happens when a time has come.

use std::time::Duration;

use super::{
    core::Engine,
    effect::Act,
    job::Stage, //
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        TaskId, //
    },
};

/// The least by which an expected end moves.
const SHORTEST_EXTENSION: Duration = Duration::from_secs(1);

/// What is due at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A failed task may start again.
    Retry(TaskId),
    /// A held job is tried again.
    Unhold(JobId),
    /// A reservation should be complete.
    Reservation(u64),
    /// A hold of another shard expires.
    Hold(u64),
    /// A task that was told to save its work has not ended.
    Overstay(TaskId, Attempt),
}

impl Engine {
    /// Sets a timer.
    pub(super) fn set_timer(&mut self, at: Timestamp, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Runs the timers that are due.
    pub(super) fn run_timers(&mut self, now: Timestamp) {
        while let Some((at, timer)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.run_timer(timer, now);
        }
        self.extend_overruns(now);
    }

    fn run_timer(&mut self, timer: Timer, now: Timestamp) {
        match timer {
            Timer::Retry(task) => self.end_backoff(task, now),
            Timer::Unhold(job) => self.end_hold_of_job(job, now),
            Timer::Reservation(id) => self.reservation_due(id, now),
            Timer::Hold(id) => self.expire_hold(id, now),
            Timer::Overstay(task, attempt) => self.overstayed(task, attempt),
        }
    }

    fn end_backoff(&mut self, task: TaskId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some((_, attempt)) = job.delayed.remove(&task.index) else {
            return;
        };
        job.again.push((task.index, attempt));
        self.enqueue(task.job, now);
    }

    pub(super) fn end_hold_of_job(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if matches!(job.stage, Stage::Held(_)) {
            job.stage = Stage::Open;
            self.enqueue(id, now);
        }
    }

    /// Stops a task that was told to save its work and did not end in time.
    fn overstayed(&mut self, task: TaskId, attempt: Attempt) {
        let Some(running) = self.task(task) else {
            return;
        };
        if running.attempt == attempt && running.halt.is_some() {
            let worker = running.worker;
            self.act(task, attempt, worker, Act::Stop);
        }
    }

    /// Moves the expected end of tasks that run longer than expected.
    ///
    /// The expected whole run doubles, so a task costs a logarithmic number of moves.
    fn extend_overruns(&mut self, now: Timestamp) {
        while let Some((end, task)) = self.ends.first().copied() {
            if end > now {
                break;
            }
            self.ends.pop_first();
            let Some(running) = self.task_mut(task) else {
                continue;
            };
            let age = now.since(running.begun);
            running.end = now + age.max(SHORTEST_EXTENSION);
            let end = running.end;
            self.ends.insert((end, task));
        }
    }
}
