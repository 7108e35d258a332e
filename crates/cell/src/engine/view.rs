//! Job states for callers, and counts for metrics.

use super::{
    Engine,
    job::Job, //
};
use crate::{
    config::AdviceTiming,
    id::{
        JobId,
        QueueName,
        StepId, //
    },
    record::{
        Cancellation,
        Outcome, //
    },
    speed::Class,
    workspace::{
        WorkspaceName,
        is_seen_by, //
    },
};

/// The state of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum State {
    /// None of its tasks has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done, and that is on record.
    Completed,
    /// A task or a gang has failed in all its attempts, and that is on record.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// Returns whether the job is over.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl From<Outcome> for State {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Completed => Self::Completed,
            Outcome::Failed => Self::Failed,
        }
    }
}

/// The numbers of an engine's jobs, steps, runs and workers, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Jobs, ended ones included.
    pub jobs: usize,
    /// Pending jobs, of which no task has started.
    pub pending_jobs: usize,
    /// Open steps with tasks that wait to be started.
    pub open_steps: usize,
    /// Open steps that no known worker could run.
    pub unschedulable_steps: usize,
    /// Runs that may use resources of a worker.
    pub allocations: usize,
    /// Runs that workers have listed in their last inventories.
    pub listed_runs: usize,
    /// Listed workers that answer.
    pub workers_heard: usize,
    /// Workers that don't answer.
    pub workers_silent: usize,
    /// Workers that may run tasks started by former owners and have not answered this owner yet.
    pub workers_not_yet_heard: usize,
    /// Workers in data centres that are evacuated.
    pub workers_evacuated: usize,
    /// Workers that are held for gangs.
    pub workers_held: usize,
    /// Listed workers of each class of speed, slowest first.
    pub workers_by_speed: [(Class, usize); Class::ALL.len()],
}

impl Engine {
    /// Returns the state of a job, or `None` if it is not known.
    pub fn state(&self, id: JobId) -> Option<State> {
        self.state_if(id, |_| true)
    }

    /// Returns the state of a job as callers of a workspace see it. They can't tell whether a job of another workspace
    /// exists.
    pub fn state_for(&self, id: JobId, viewer: Option<&WorkspaceName>) -> Option<State> {
        self.state_if(id, |holder| is_seen_by(viewer, holder))
    }

    /// Returns the state of a job if its workspace meets a condition.
    fn state_if(
        &self,
        id: JobId,
        is_seen: impl Fn(Option<&WorkspaceName>) -> bool,
    ) -> Option<State> {
        if self.announced.contains_key(&id) {
            return None;
        }
        let Some(job) = self.jobs.get(&id) else {
            let ended = self.outcomes.get(id);
            let ended = ended.filter(|ended| is_seen(ended.workspace.as_ref()));
            let mut cancelled = self.cancellations(id);
            let is_cancelled =
                cancelled.any(|(by, noted)| noted == Cancellation::KnownJob && is_seen(by));
            let ended = ended.map(|ended| State::from(ended.outcome));
            return ended.or(is_cancelled.then_some(State::Cancelled));
        };
        if !is_seen(job.workspace()) {
            return None;
        }
        Some(match job.recorded_outcome {
            Some(outcome) => outcome.into(),
            None if job.is_cancelled => State::Cancelled,
            None if job.has_begun => State::Running,
            None => State::Queued,
        })
    }

    /// Returns the cancellations of a job, with the workspaces of the callers who cancelled it.
    pub(super) fn cancellations(
        &self,
        id: JobId,
    ) -> impl Iterator<Item = (Option<&WorkspaceName>, Cancellation)> {
        let from = self.cancelled.range((id, None)..);
        let own = from.take_while(move |((job, _), _)| *job == id);
        own.map(|((_, by), noted)| (by.as_ref(), *noted))
    }

    /// Returns how many jobs of a queue are pending.
    pub fn pending(&self, queue: &QueueName) -> u32 {
        self.pending_if(queue, |_| true)
    }

    /// Returns how many pending jobs of a queue are visible to callers of a workspace.
    pub fn pending_for(&self, queue: &QueueName, viewer: Option<&WorkspaceName>) -> u32 {
        self.pending_if(queue, |holder| is_seen_by(viewer, holder))
    }

    fn pending_if(
        &self,
        queue: &QueueName,
        is_seen: impl Fn(Option<&WorkspaceName>) -> bool,
    ) -> u32 {
        let pending = self.pending_jobs();
        let pending =
            pending.filter(|job| job.accepted.queue.name == *queue && is_seen(job.workspace()));
        u32::try_from(pending.count()).unwrap_or(u32::MAX)
    }

    /// Returns the pending jobs: those that are on record, are not over, and of which no task was seen on a worker.
    ///
    /// They are counted on request. A separate counter would have to be decremented for exactly the jobs that it was
    /// incremented for, on every path by which a job is added, begins or ends.
    fn pending_jobs(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, _)| !self.announced.contains_key(id));
        jobs.map(|(_, job)| job)
            .filter(|job| !job.has_begun && !job.is_over())
    }

    /// Returns the steps that have tasks to start, with the indices of these tasks.
    pub fn waiting_tasks(&self) -> impl Iterator<Item = (StepId, Vec<u16>)> {
        let open = self.open_steps.ids().chain(&self.unschedulable);
        open.filter_map(|id| {
            let stage = self.jobs.get(&id.job)?.stage(*id)?;
            Some((*id, stage.waiting.iter().copied().collect()))
        })
    }

    /// Returns the cost of advice calls for a step and the validity of their tickets, if its queue needs advice.
    pub fn advice_timing(&self, step: StepId) -> Option<AdviceTiming> {
        let job = self.jobs.get(&step.job)?;
        self.queue_of(job).advice
    }

    /// Returns the counts for metrics.
    pub fn counts(&self) -> Counts {
        let workers = self.workers.values();
        let silent = workers
            .filter(|worker| worker.silent_since.is_some())
            .count();
        let heard = self.workers.values().filter(|worker| {
            worker.heard.is_some() && worker.silent_since.is_none() && worker.is_listed()
        });
        let not_yet_heard = self.workers.values();
        let not_yet_heard =
            not_yet_heard.filter(|worker| worker.heard.is_none() && !worker.allocations.is_empty());
        let evacuated = self.workers.values().filter(|worker| worker.is_evacuated);
        Counts {
            jobs: self.jobs.len() + self.outcomes.len(),
            pending_jobs: self.pending_jobs().count(),
            open_steps: self.open_steps.len() + self.unschedulable.len(),
            unschedulable_steps: self.unschedulable.len(),
            allocations: self
                .workers
                .values()
                .map(|worker| worker.allocations.len())
                .sum(),
            listed_runs: self.workers.values().map(|worker| worker.listed_runs).sum(),
            workers_heard: heard.count(),
            workers_silent: silent,
            workers_not_yet_heard: not_yet_heard.count(),
            workers_evacuated: evacuated.count(),
            workers_held: self.held_worker_count(),
            workers_by_speed: Class::ALL.map(|class| (class, self.count_workers(class))),
        }
    }

    /// Returns the number of listed workers of a class of speed.
    fn count_workers(&self, class: Class) -> usize {
        let listed = self.workers.values().filter(|worker| worker.is_listed());
        listed.filter(|worker| worker.speed_class == class).count()
    }
}
