//! What callers and operators see.

use super::Engine;
use crate::{
    config::AdviceTerms,
    id::{
        JobId,
        QueueName,
        StepId, //
    },
    record::Outcome,
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
    /// Steps with tasks that wait for a start.
    pub open_steps: usize,
    /// Those of them that no known worker could run.
    pub steps_aside: usize,
    /// Runs that may use room.
    pub claims: usize,
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
            let is_cancelled = self.cancelled.contains(&id);
            return ended.or(is_cancelled.then_some(State::Cancelled));
        };
        Some(match job.kept_outcome {
            Some(outcome) => outcome.into(),
            None if job.is_cancelled => State::Cancelled,
            None if job.has_begun => State::Running,
            None => State::Queued,
        })
    }

    /// Returns how many jobs of a queue have begun nothing.
    pub fn pending(&self, queue: &QueueName) -> u32 {
        self.pending.get(queue).copied().unwrap_or(0)
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
            worker.heard.is_some() && worker.silent.is_none() && worker.unlisted.is_none()
        });
        let unheard = self.workers.values();
        let unheard = unheard.filter(|worker| worker.heard.is_none() && !worker.claims.is_empty());
        Counts {
            jobs: self.jobs.len() + self.ended.len(),
            open_steps: self.open.len() + self.aside.len(),
            steps_aside: self.aside.len(),
            claims: self
                .workers
                .values()
                .map(|worker| worker.claims.len())
                .sum(),
            workers_heard: heard.count(),
            workers_silent: silent,
            workers_unheard: unheard.count(),
        }
    }
}
