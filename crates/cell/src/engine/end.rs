//! Ends of runs: how they affect attempts, checkpoints, gangs and jobs.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::LogRecord,
    event::{
        Ended,
        ExitReason, //
    },
    id::{
        Run,
        TaskId, //
    },
    record::Outcome,
};

/// The number of consecutive failures after which a worker is suspected of failing everything that it starts.
const MIN_FAILURES_FOR_QUARANTINE: u32 = 3;
/// How long a suspected worker gets no new tasks; after that, a single further failure quarantines it again.
const FAILURE_QUARANTINE: Duration = Duration::from_secs(3);

impl Engine {
    /// Handles an end that a worker lists for the first time.
    pub(super) fn handle_end(&mut self, slot: Slot, ended: Ended, now: Timestamp) {
        let Ended {
            task,
            run,
            reason: exit_reason,
            ..
        } = ended;
        if let Some(worker) = self.workers.get(&slot) {
            let worker = worker.registration.id.clone();
            self.log(LogRecord::Ended {
                task,
                run,
                worker,
                reason: exit_reason,
            });
        }
        self.mark_begun(task.step.job);
        self.save_checkpoint(task, ended.checkpoint.as_ref());
        match exit_reason {
            ExitReason::Done => self.handle_success(slot, task, run, now),
            ExitReason::Failed => {
                self.clear_crashes(task);
                self.handle_failure(slot, task, run, now);
            }
            ExitReason::LeaseExpired => self.clear_crashes(task),
            ExitReason::GangTimeout => {
                self.clear_crashes(task);
                self.log_gang(task.step, run, "alone", now);
            }
            ExitReason::Stopped | ExitReason::GangBroken => {}
        }
        self.release(slot, task, run, now);
        if exit_reason != ExitReason::Done {
            self.stop_gang(task, run, now);
        }
    }

    /// Stores the newest checkpoint of a task; a checkpoint of one gang member is valid for the whole gang.
    pub(super) fn save_checkpoint(&mut self, task: TaskId, checkpoint: Option<&Arc<str>>) {
        let Some(checkpoint) = checkpoint else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let is_gang = job.step(task.step).is_some_and(|step| step.gang);
        let Some(stage) = job.stage_mut(task.step) else {
            return;
        };
        if is_gang {
            for member in &mut stage.tasks {
                member.checkpoint = Some(checkpoint.clone());
            }
        } else if let Some(state) = stage.task_mut(task.index) {
            state.checkpoint = Some(checkpoint.clone());
        }
    }

    /// Handles the success of a run: its task, or its whole gang, is done.
    fn handle_success(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.failures = 0;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(step) = job.step(task.step) else {
            return;
        };
        let (is_gang, is_long_running) = (step.gang, step.long_running);
        if job.is_over() || is_long_running {
            return;
        }
        let Some(stage) = job.stage_mut(task.step) else {
            return;
        };
        let indices: Vec<u16> = match is_gang {
            true => (0u16..).zip(&stage.tasks).map(|(index, _)| index).collect(),
            false => vec![task.index],
        };
        let mut others = Vec::new();
        for index in indices {
            let Some(state) = stage.task_mut(index) else {
                continue;
            };
            // Members of the same gang run end by themselves; other runs of a done task are stopped.
            let other = state.active_run.filter(|(_, active)| *active != run);
            others.extend(other.map(|(slot, run)| (slot, index, run)));
            if !std::mem::replace(&mut state.is_done, true) {
                stage.done += 1;
                stage.waiting.remove(&index);
            }
        }
        if stage.waiting.is_empty() {
            self.open_steps.remove(task.step);
        }
        if job.is_done() {
            job.outcome = Some(Outcome::Completed);
        }
        self.record_queue.add_job(task.step.job);
        for (slot, index, run) in others {
            self.stop(slot, task.step.task(index), run, "done-elsewhere", now);
        }
    }

    /// Handles the failure of a run: counts it against the worker and the attempts of the task.
    fn handle_failure(&mut self, slot: Slot, task: TaskId, run: Run, now: Timestamp) {
        if self.is_failure_excluded(slot, task, run) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.failures += 1;
            if worker.failures >= MIN_FAILURES_FOR_QUARANTINE {
                worker.backoff_until = now + FAILURE_QUARANTINE;
            }
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.is_over() {
            return;
        }
        let accepted = &job.accepted.queue;
        let queue = self.config.queues.get(&accepted.name);
        let max_attempts = queue.unwrap_or(accepted).max_attempts;
        let Some(step) = job.step(task.step) else {
            return;
        };
        let (is_gang, is_long_running) = (step.gang, step.long_running);
        let Some(stage) = job.stage_mut(task.step) else {
            return;
        };
        // The first member of a gang counts the attempts of the whole gang.
        let counted = if is_gang { 0 } else { task.index };
        let Some(state) = stage.task_mut(counted) else {
            return;
        };
        state.avoided_worker = Some(slot);
        // Each member of a gang reports the same failure, and a new owner may get a report of one that is already
        // recorded.
        if is_long_running || state.failures.contains(&run) {
            return;
        }
        state.failures.push(run);
        let failures = u32::try_from(state.failures.len()).unwrap_or(u32::MAX);
        let is_exhausted = failures >= max_attempts.max(1);
        self.record_queue.add_job(task.step.job);
        if is_exhausted {
            job.outcome = Some(Outcome::Failed);
            self.stop_job(task.step.job, "job-failed", now);
        }
    }

    /// Returns whether a failure that a worker reports comes too late to count: the worker had been removed, and the
    /// task may have been restarted on the strength of that.
    fn is_failure_excluded(&self, slot: Slot, task: TaskId, run: Run) -> bool {
        let reporter = self.workers.get(&slot).zip(self.task(task));
        reporter.is_some_and(|(worker, state)| {
            state.is_failure_excluded(&worker.registration.id, worker.incarnation, run)
        })
    }

    /// Stops the other members of a gang after one has ended without success.
    fn stop_gang(&mut self, task: TaskId, run: Run, now: Timestamp) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        if !job.step(task.step).is_some_and(|step| step.gang) {
            return;
        }
        let Some(stage) = job.stage(task.step) else {
            return;
        };
        let members = (0u16..).zip(&stage.tasks);
        let members: Vec<(u16, Slot)> = members
            .filter_map(|(index, member)| {
                let (slot, active) = member.active_run?;
                (active == run && !member.is_done).then_some((index, slot))
            })
            .collect();
        for (index, slot) in members {
            self.stop(slot, task.step.task(index), run, "gang-broken", now);
        }
    }
}
