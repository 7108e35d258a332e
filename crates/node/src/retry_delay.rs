//! Decides how long a refused caller should wait before it retries. Does no I/O.
//!
//! There are two cases. In an outage of the store for all nodes, every retry during the outage fails, and callers retry
//! four times at most. If a single machine is disconnected, any other machine can serve its callers at once.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use fulmarpier_cell::id::JobId;
use fulmarpier_state::alias::HashSet;

/// The retry delay in an outage for all nodes.
///
/// Callers spread four retries over their 3 s deadline and accept no longer first delay than this. Longer delays don't
/// help: 2 s and 3 s reach 0.398 of the possible value and 1 s reaches 0.399, in five simulations each.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum number of remembered jobs. A node receives about 20 jobs per second, and their retries end after 3 s.
const MAX_REMEMBERED_JOBS: usize = 1_024;

/// The jobs that a node has refused recently.
#[derive(Debug, Default)]
pub struct RefusedJobs {
    jobs: HashSet<JobId>,
    order: VecDeque<JobId>,
}

impl RefusedJobs {
    /// Records that a job was refused or that its outcome is unknown; returns how long its caller should wait before it
    /// retries.
    ///
    /// If only this node can't reach the store, the caller can retry on another node at once. A caller that retries on
    /// this node has no other node to go to and waits as in an outage for all nodes.
    pub fn retry_delay(&mut self, job: JobId, is_isolated: bool) -> Duration {
        let is_first = self.remember(job);
        match is_isolated && is_first {
            true => Duration::ZERO,
            false => OUTAGE_RETRY_DELAY,
        }
    }

    /// Adds a job; returns `false` if it is present already.
    fn remember(&mut self, job: JobId) -> bool {
        if !self.jobs.insert(job) {
            return false;
        }
        self.order.push_back(job);
        if self.order.len() > MAX_REMEMBERED_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
        true
    }

    /// Returns the retry delay for requests whose job or outage isn't known.
    pub const fn default_delay() -> Duration {
        OUTAGE_RETRY_DELAY
    }
}
