//! When a caller that was refused should come back. Pure decisions.
//!
//! They answer two loads: an outage of the store for all nodes, in which every return within the outage is
//! wasted and callers return four times at most, and a machine that is cut off with a share of the callers on
//! it, whom any other machine could serve at once.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use fulmarpier_cell::id::JobId;
use fulmarpier_state::alias::HashSet;

/// The wait in an outage for all. Callers spread four returns over the 3 s that they have and take no longer
/// first wait than this; longer ones were tried, and served nobody more (0.398 against 0.399 of the worth, 2 s
/// and 3 s against 1 s, five plays each).
const OUTAGE: Duration = Duration::from_secs(1);
/// How many refused jobs are remembered: a node's share of the callers sends some 20 a second, and returns are
/// over after 3 s.
const REMEMBERED: usize = 1_024;

/// The jobs that a node has refused of late.
#[derive(Debug, Default)]
pub struct Refusals {
    jobs: HashSet<JobId>,
    order: VecDeque<JobId>,
}

impl Refusals {
    /// Notes that a job is refused, or that nobody can tell whether it was taken; returns how long its caller
    /// should wait.
    ///
    /// Where this node alone can't reach the store, the caller finds another at once. One that comes back
    /// here has no other node to go to: it waits like all.
    pub fn refuse(&mut self, job: JobId, is_alone: bool) -> Duration {
        let is_first = self.remember(job);
        match is_alone && is_first {
            true => Duration::ZERO,
            false => OUTAGE,
        }
    }

    /// Remembers a job; false where it was remembered before.
    fn remember(&mut self, job: JobId) -> bool {
        if !self.jobs.insert(job) {
            return false;
        }
        self.order.push_back(job);
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        true
    }

    /// Returns when to come back where nothing is known of the job or the outage.
    pub const fn usual() -> Duration {
        OUTAGE
    }
}
