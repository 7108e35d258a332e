//! What follows from the end of a start.

use std::time::Duration;

use super::{
    core::Engine,
    effect::{
        Effect,
        End,
        Outcome, //
    },
    job::Stage,
    task::{
        Halt,
        Phase,
        Task, //
    },
    timer::Timer,
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        TaskId, //
    },
};

/// A task is given up when so many workers in a row have gone down under its starts.
const MOST_CRASHES: u32 = 3;

impl Engine {
    /// Decides whether a task that has left its worker is done or waits again.
    pub(super) fn settle(
        &mut self,
        id: TaskId,
        task: &Task,
        end: End,
        age: Duration,
        now: Timestamp,
    ) {
        match end {
            End::Succeeded => self.succeed(id, task, age, now),
            End::Failed => {
                self.clear_crashes(id);
                self.fail(id, task, now);
            }
            End::Checkpointed | End::Stopped | End::Lapsed => {
                self.interrupt(id, task, end, age, now);
            }
        }
    }

    fn succeed(&mut self, id: TaskId, task: &Task, age: Duration, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        self.estimator.record_run(&job.key, age, job.spec.runtime);
        let verdict = self.book.completed(task.worker, id.job, now);
        self.follow(verdict, now);
        let stays = self.jobs.get(&id.job).is_some_and(|job| job.is_service());
        if stays && task.halt.is_none() {
            // A service runs until it is stopped, so its own end is a fault of it.
            self.retry(id, task, now);
        } else {
            self.finish(id, task, Outcome::Succeeded, now);
        }
    }

    fn fail(&mut self, id: TaskId, task: &Task, now: Timestamp) {
        let verdict = self.book.failed(task.worker, id.job, now);
        self.follow(verdict, now);
        if self.is_closing(id.job) {
            self.finish(id, task, Outcome::Failed, now);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        // First starts that fail on one worker say no more together than one of them.
        let known = task.attempt == Attempt(1) && job.avoid.contains(&task.worker);
        job.failures = job.failures.saturating_add(u32::from(!known));
        let spent = job.failures > self.policy.retry.budget(job.size) && !job.is_service();
        let hopeless = spent && job.counts.succeeded == 0;
        let again = !spent && job.restarts();
        self.avoid(id, task.worker);
        if again {
            self.retry(id, task, now);
            return;
        }
        if hopeless {
            self.doom(id.job, now);
        }
        self.finish(id, task, Outcome::Failed, now);
    }

    /// Gives up a job whose retries are spent before any of its tasks has succeeded.
    ///
    /// What waits is not started any more, since it would most likely fail as well.
    fn doom(&mut self, id: JobId, now: Timestamp) {
        self.close(id, Stage::Doomed, now);
        self.halt_tasks_of(id, Halt::Cancelled);
    }

    /// A task that was stopped before its end waits again where it may.
    fn interrupt(&mut self, id: TaskId, task: &Task, end: End, age: Duration, now: Timestamp) {
        self.book.stopped(task.worker, id.job);
        if self.is_closing(id.job) || task.halt == Some(Halt::Resized) {
            self.finish(id, task, Outcome::Cancelled, now);
            return;
        }
        if task.halt == Some(Halt::Preempted) && end != End::Checkpointed {
            let lost = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            self.counters.work_lost = self.counters.work_lost.saturating_add(lost);
        }
        let restarts = self.jobs.get(&id.job).is_some_and(|job| job.restarts());
        if !restarts {
            self.finish(id, task, Outcome::Unknown, now);
            return;
        }
        if end == End::Lapsed && self.crash(id, task) {
            self.give_up(id, task, now);
            return;
        }
        self.counters.retries += 1;
        self.wait_again(id, task, now);
        if end == End::Lapsed {
            self.regroup(id.job);
        }
    }

    /// Counts a worker that went down before it ever showed a task at work; returns whether the task is to be given up.
    ///
    /// A task that crashes each worker that starts it never comes to an end that is told. Started again for ever, it
    /// took one worker after the other down, with all that ran there.
    fn crash(&mut self, id: TaskId, task: &Task) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        if task.shown || task.phase != Phase::Running {
            return false;
        }
        let crashes = job.crashes.entry(id.index).or_default();
        *crashes += 1;
        *crashes >= MOST_CRASHES
    }

    fn clear_crashes(&mut self, id: TaskId) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.crashes.remove(&id.index);
        }
    }

    /// Ends a task that crashes its workers, and its job where none of its tasks has succeeded; a service's only waits longer
    /// each time.
    fn give_up(&mut self, id: TaskId, task: &Task, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        if job.is_service() {
            job.failures = job.failures.saturating_add(1);
            self.retry(id, task, now);
            return;
        }
        if job.is_gang() || job.counts.succeeded == 0 {
            self.doom(id.job, now);
        }
        self.finish(id, task, Outcome::Failed, now);
    }

    /// Starts a task again after a wait that grows with the failures of its job.
    fn retry(&mut self, id: TaskId, task: &Task, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let at = now + self.policy.retry.delay(job.failures);
        job.delayed.insert(id.index, (at, task.attempt));
        self.counters.retries += 1;
        self.set_timer(at, Timer::Retry(id));
        self.regroup(id.job);
    }

    /// Lets a task wait for its next start.
    pub(super) fn wait_again(&mut self, id: TaskId, task: &Task, now: Timestamp) {
        if self.is_closing(id.job) {
            self.finish(id, task, Outcome::Cancelled, now);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.again.push((id.index, task.attempt));
        self.enqueue(id.job, now);
    }

    /// Stops the other tasks of a gang that lacks one, so that all start again together.
    ///
    /// Where they may not be started again, the missing one follows on its own.
    pub(super) fn regroup(&mut self, id: JobId) {
        let job = self.jobs.get(&id);
        let stops = job.is_some_and(|job| job.is_gang() && job.restarts());
        if stops && !self.is_closing(id) {
            self.halt_tasks_of(id, Halt::Regrouped);
        }
    }

    /// Brings a task to its final state.
    fn finish(&mut self, id: TaskId, task: &Task, outcome: Outcome, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.counts.add(outcome, 1);
        self.outbox.push(Effect::TaskEnded {
            task: id,
            attempt: task.attempt,
            outcome,
        });
        self.enqueue(id.job, now);
        self.end_job_if_done(id.job, now);
    }

    pub(super) fn is_closing(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_none_or(|job| job.stage.is_closing())
    }

    /// Ends a job once all its tasks have reached their final state.
    pub(super) fn end_job_if_done(&mut self, id: JobId, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let busy = !job.active.is_empty() || job.waiting() > 0;
        if busy || matches!(job.stage, Stage::Ended(_)) {
            return;
        }
        let outcome = match job.stage {
            _ if job.counts.unknown > 0 => Outcome::Unknown,
            Stage::Doomed => Outcome::Failed,
            Stage::Closing if job.counts.cancelled > 0 => Outcome::Cancelled,
            _ => job.counts.outcome(),
        };
        job.stage = Stage::Ended(outcome);
        self.book.forget_job(id);
        self.dequeue(id);
        self.ended.push_back((now, id));
        self.outbox.push(Effect::JobEnded { job: id, outcome });
        self.forget_ended(now);
    }

    /// Forgets jobs that ended long ago, or many jobs ago.
    fn forget_ended(&mut self, now: Timestamp) {
        let retention = self.policy.retention;
        while let Some((at, id)) = self.ended.front().copied() {
            let old = now.since(at) > retention.span.get();
            if !old && self.ended.len() <= retention.jobs as usize {
                break;
            }
            self.ended.pop_front();
            self.jobs.remove(&id);
        }
    }
}
