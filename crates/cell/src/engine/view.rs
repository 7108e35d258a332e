//! What callers and operators see.

use super::{
    Engine,
    job::Job, //
};
use crate::{
    config::AdviceTerms,
    id::{
        JobId,
        QueueName,
        StepId, //
    },
    record::{
        Cancellation,
        Outcome, //
    },
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
    /// A task or a gang has used its tries, and that is on record.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// Returns whether the job has come to its end.
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

/// What an engine holds, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs, ended ones included.
    pub jobs: usize,
    /// Jobs that have begun nothing.
    pub waiting: usize,
    /// Steps with tasks that wait for a start.
    pub open_steps: usize,
    /// Those of them that no known worker could run.
    pub steps_aside: usize,
    /// Runs that may use room.
    pub claims: usize,
    /// Runs that workers listed when they were last heard.
    pub listed: usize,
    /// Workers that take tasks, or would if they had room.
    pub workers_heard: usize,
    /// Workers that don't answer.
    pub workers_silent: usize,
    /// Workers that may run tasks of former owners and were not heard of yet.
    pub workers_unheard: usize,
    /// Workers in data centres that are evacuated.
    pub workers_evacuated: usize,
}

impl Engine {
    /// Returns the state of a job, or `None` where it is not known.
    pub fn state(&self, id: JobId) -> Option<State> {
        self.state_if(id, |_| true)
    }

    /// Returns the state of a job as callers of a workspace see it: they don't learn whether another one's exists.
    pub fn state_for(&self, id: JobId, viewer: Option<&WorkspaceName>) -> Option<State> {
        self.state_if(id, |holder| is_seen_by(viewer, holder))
    }

    /// Returns the state of a job where it belongs to a workspace that meets a condition.
    fn state_if(
        &self,
        id: JobId,
        is_seen: impl Fn(Option<&WorkspaceName>) -> bool,
    ) -> Option<State> {
        if self.announced.contains_key(&id) {
            return None;
        }
        let Some(job) = self.jobs.get(&id) else {
            let ended = self.ended.get(&id);
            let ended = ended.filter(|ended| is_seen(ended.workspace.as_ref()));
            let mut cancelled = self.cancellations(id);
            let is_cancelled =
                cancelled.any(|(by, noted)| noted == Cancellation::Seen && is_seen(by));
            let ended = ended.map(|ended| State::from(ended.outcome));
            return ended.or(is_cancelled.then_some(State::Cancelled));
        };
        if !is_seen(job.workspace()) {
            return None;
        }
        Some(match job.kept_outcome {
            Some(outcome) => outcome.into(),
            None if job.is_cancelled => State::Cancelled,
            None if job.has_begun => State::Running,
            None => State::Queued,
        })
    }

    /// Returns the cancellations of a job, by the workspaces of who cancelled.
    pub(super) fn cancellations(
        &self,
        id: JobId,
    ) -> impl Iterator<Item = (Option<&WorkspaceName>, Cancellation)> {
        let from = self.cancelled.range((id, None)..);
        let own = from.take_while(move |((job, _), _)| *job == id);
        own.map(|((_, by), noted)| (by.as_ref(), *noted))
    }

    /// Returns how many jobs of a queue wait.
    pub fn pending(&self, queue: &QueueName) -> u32 {
        self.pending_if(queue, |_| true)
    }

    /// Returns how many jobs of a queue wait that callers of a workspace see.
    pub fn pending_for(&self, queue: &QueueName, viewer: Option<&WorkspaceName>) -> u32 {
        self.pending_if(queue, |holder| is_seen_by(viewer, holder))
    }

    fn pending_if(
        &self,
        queue: &QueueName,
        is_seen: impl Fn(Option<&WorkspaceName>) -> bool,
    ) -> u32 {
        let waiting = self.waiting();
        let waiting =
            waiting.filter(|job| job.accepted.queue.name == *queue && is_seen(job.workspace()));
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Returns the jobs that wait: they are on record, are not over, and nothing of them was seen on a worker.
    ///
    /// They are counted when somebody asks. A count that was kept beside the jobs would have to be taken down for
    /// just those that it was put up for, on each of the ways in which a job comes in, begins or is over.
    fn waiting(&self) -> impl Iterator<Item = &Job> {
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(id, _)| !self.announced.contains_key(id));
        jobs.map(|(_, job)| job)
            .filter(|job| !job.has_begun && !job.is_over())
    }

    /// Returns what asking about a step takes, where its queue asks.
    pub fn advice_terms(&self, step: StepId) -> Option<AdviceTerms> {
        let job = self.jobs.get(&step.job)?;
        self.queue_of(job).advice
    }

    /// Returns the counts for metrics.
    pub fn counts(&self) -> Counts {
        let workers = self.workers.values();
        let silent = workers.filter(|worker| worker.silent.is_some()).count();
        let heard = self.workers.values().filter(|worker| {
            worker.heard.is_some() && worker.silent.is_none() && worker.is_listed()
        });
        let unheard = self.workers.values();
        let unheard = unheard.filter(|worker| worker.heard.is_none() && !worker.claims.is_empty());
        let evacuated = self.workers.values().filter(|worker| worker.is_evacuated);
        Counts {
            jobs: self.jobs.len() + self.ended.len(),
            waiting: self.waiting().count(),
            open_steps: self.agenda.len() + self.aside.len(),
            steps_aside: self.aside.len(),
            claims: self
                .workers
                .values()
                .map(|worker| worker.claims.len())
                .sum(),
            listed: self.workers.values().map(|worker| worker.listed).sum(),
            workers_heard: heard.count(),
            workers_silent: silent,
            workers_unheard: unheard.count(),
            workers_evacuated: evacuated.count(),
        }
    }
}
