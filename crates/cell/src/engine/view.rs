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
}

impl Engine {
    /// Returns the state of a job, or `None` where it is not known.
    pub fn state(&self, id: JobId) -> Option<State> {
        if self.announced.contains_key(&id) {
            return None;
        }
        let Some(job) = self.jobs.get(&id) else {
            let ended = self.ended.get(&id).copied().map(State::from);
            let is_cancelled = self.cancelled.get(&id) == Some(&Cancellation::Seen);
            return ended.or(is_cancelled.then_some(State::Cancelled));
        };
        Some(match job.kept_outcome {
            Some(outcome) => outcome.into(),
            None if job.is_cancelled => State::Cancelled,
            None if job.has_begun => State::Running,
            None => State::Queued,
        })
    }

    /// Returns how many jobs of a queue wait.
    pub fn pending(&self, queue: &QueueName) -> u32 {
        let waiting = self.waiting();
        let waiting = waiting.filter(|job| job.accepted.queue.name == *queue);
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
        }
    }
}
