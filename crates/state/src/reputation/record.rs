//! The last outcomes on one worker.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use crate::{
    clock::Timestamp,
    id::JobId, //
};

use super::evidence::{
    REFUSAL,
    REPEAT,
    Rate,
    SUCCESS,
    is_stale, //
};

/// How many outcomes are remembered for each worker.
const MOST_OUTCOMES: usize = 16;

/// The last outcomes on one worker, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    outcomes: VecDeque<Outcome>,
    /// When the last quarantine ended, and how long the wait for probes had grown.
    pub(super) released: Option<(Timestamp, Duration)>,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    job: JobId,
    at: Timestamp,
    kind: Kind,
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// The task ran to a good end.
    Succeeded,
    /// The task failed.
    Failed,
    /// The worker did not take the start.
    Refused,
}

impl Record {
    /// Adds an outcome; the oldest goes where there are too many.
    pub(super) fn add(&mut self, job: JobId, kind: Kind, at: Timestamp) {
        if self.outcomes.len() == MOST_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(Outcome { job, at, kind });
    }

    /// Forgets all outcomes.
    pub(super) fn clear(&mut self) {
        self.outcomes.clear();
    }

    /// Returns the jobs that failed here, each once.
    pub(super) fn failed_jobs(&self) -> Vec<JobId> {
        let failed = self.outcomes.iter().filter(|o| o.kind == Kind::Failed);
        let mut jobs: Vec<JobId> = failed.map(|outcome| outcome.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Returns the evidence against the worker, given how often each job fails elsewhere.
    ///
    /// It is a cumulative sum that never falls below zero (Page, "Continuous inspection schemes",
    /// 1954), so that a worker which has just turned bad is found as soon as a new one.
    pub(super) fn evidence(&self, now: Timestamp, elsewhere: impl Fn(JobId) -> Rate) -> f64 {
        let mut sum: f64 = 0.0;
        for (at, outcome) in self.outcomes.iter().enumerate() {
            if is_stale(outcome.at, now) {
                continue;
            }
            let added = match outcome.kind {
                Kind::Succeeded => SUCCESS,
                Kind::Refused => REFUSAL,
                Kind::Failed => self.repeat_factor(at) * elsewhere(outcome.job).evidence(),
            };
            sum = (sum + added).max(0.0);
        }
        sum
    }

    /// Returns how often other jobs than this one fail here.
    pub(super) fn rate_without(&self, job: JobId, now: Timestamp) -> Rate {
        let others = self
            .outcomes
            .iter()
            .filter(|o| o.job != job && !is_stale(o.at, now));
        let mut rate = Rate::of_worker();
        for outcome in others {
            rate.add(if outcome.kind == Kind::Failed {
                1.0
            } else {
                0.0
            });
        }
        rate
    }

    /// Returns how much a failure counts, given those of the same job before it.
    fn repeat_factor(&self, at: usize) -> f64 {
        let job = self.outcomes[at].job;
        let before = self.outcomes.iter().take(at);
        let is_alike = |o: &Outcome| o.job == job && o.kind == Kind::Failed;
        if before.into_iter().any(is_alike) {
            REPEAT
        } else {
            1.0
        }
    }
}
