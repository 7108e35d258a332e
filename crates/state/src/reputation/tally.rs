//! What became of one job's tasks, worker by worker.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    id::WorkerId, //
};

use super::evidence::{
    PROOF,
    Rate,
    is_stale, //
};

/// How many workers are remembered for each job; the least recent goes first.
const MOST_VOTES: usize = 32;

/// What became of one job's tasks, as one vote for each worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    votes: Vec<Vote>,
    /// How many tasks have failed whose start is known, and how long they ran in all.
    failures: u32,
    ran: Duration,
}

/// What became of a job's tasks on one worker.
///
/// Each outcome halves the count of the opposite ones, so that the recent outcomes prevail.
#[derive(Clone, Copy, Debug)]
pub(super) struct Vote {
    pub(super) worker: WorkerId,
    pub(super) failed: u32,
    succeeded: u32,
    running: u32,
    started: Timestamp,
    at: Timestamp,
}

impl Vote {
    const fn new(worker: WorkerId, now: Timestamp) -> Self {
        Self {
            worker,
            failed: 0,
            succeeded: 0,
            running: 0,
            started: now,
            at: now,
        }
    }
}

impl Tally {
    /// Notes that a task runs on the worker.
    pub(super) fn start(&mut self, worker: WorkerId, now: Timestamp) {
        let vote = self.vote(worker, now);
        vote.running = vote.running.saturating_add(1);
        vote.started = now;
    }

    /// Notes that a task no longer runs on the worker, for no reason of its own.
    pub(super) fn stop(&mut self, worker: WorkerId) {
        let mut votes = self.votes.iter_mut();
        if let Some(vote) = votes.find(|vote| vote.worker == worker) {
            vote.running = vote.running.saturating_sub(1);
        }
    }

    /// Notes that a task has succeeded on the worker.
    pub(super) fn succeed(&mut self, worker: WorkerId, now: Timestamp) {
        let vote = self.vote(worker, now);
        vote.running = vote.running.saturating_sub(1);
        vote.succeeded = vote.succeeded.saturating_add(1);
        vote.failed /= 2;
    }

    /// Notes that a task has failed on the worker.
    pub(super) fn fail(&mut self, worker: WorkerId, now: Timestamp) {
        let vote = self.vote(worker, now);
        let ran = (vote.running > 0).then(|| now.since(vote.started));
        vote.running = vote.running.saturating_sub(1);
        vote.failed = vote.failed.saturating_add(1);
        vote.succeeded /= 2;
        if let Some(ran) = ran {
            self.failures = self.failures.saturating_add(1);
            self.ran = self.ran.saturating_add(ran);
        }
    }

    /// Adds how often the job fails on other workers than this one, as far as they are trusted.
    pub(super) fn add_elsewhere(
        &self,
        rate: &mut Rate,
        worker: WorkerId,
        now: Timestamp,
        is_trusted: impl Fn(WorkerId) -> bool,
    ) {
        let counts = |vote: &Vote| vote.worker != worker && is_trusted(vote.worker);
        for (_, share) in self.shares(now).filter(|(vote, _)| counts(vote)) {
            rate.add(share);
        }
    }

    /// Returns each vote with the share of its tasks that failed.
    ///
    /// Tasks that run count as good once they have clearly outlived those that failed.
    pub(super) fn shares(&self, now: Timestamp) -> impl Iterator<Item = (&Vote, f64)> {
        let usual = self.ran.checked_div(self.failures);
        let lasting_age = usual.map_or(PROOF, |usual| usual.saturating_mul(5) / 4);
        let fresh = self
            .votes
            .iter()
            .filter(move |vote| !is_stale(vote.at, now) || vote.running > 0);
        fresh.filter_map(move |vote| {
            let outlives = now.since(vote.started) > lasting_age;
            let lasting = if outlives { vote.running } else { 0 };
            let good = vote.succeeded.saturating_add(lasting);
            let all = good.saturating_add(vote.failed);
            (all > 0).then(|| (vote, f64::from(vote.failed) / f64::from(all)))
        })
    }

    fn vote(&mut self, worker: WorkerId, now: Timestamp) -> &mut Vote {
        let known = self.votes.iter().position(|vote| vote.worker == worker);
        let at = match known {
            Some(at) => at,
            None => self.add_vote(worker, now),
        };
        let vote = &mut self.votes[at];
        vote.at = now;
        vote
    }

    /// Adds a vote, in place of the least recent one where there are too many.
    fn add_vote(&mut self, worker: WorkerId, now: Timestamp) -> usize {
        let vote = Vote::new(worker, now);
        if self.votes.len() < MOST_VOTES {
            self.votes.push(vote);
            return self.votes.len() - 1;
        }
        let ages = self
            .votes
            .iter()
            .enumerate()
            .map(|(at, vote)| (vote.at, at));
        let oldest = ages.min().map_or(0, |(_, at)| at);
        self.votes[oldest] = vote;
        oldest
    }
}
