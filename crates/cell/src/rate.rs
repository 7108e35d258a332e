//! The rate of jobs that a workspace can rely on: as many per second as its weight.

use std::{
    num::NonZeroU32,
    time::Duration, //
};

use fulmarpier_state::clock::Timestamp;

/// The time for which an unused rate is kept: a workspace may submit the jobs of so many seconds at once.
pub const WINDOW: Duration = Duration::from_secs(5);

/// A token bucket that counts the jobs of a workspace.
///
/// It stores the time at which it will be full rather than a number of tokens, so it is exact, and a change of the rate
/// needs no conversion: a token is as much time as the rate leaves between two jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// When it is full if no more tokens are taken.
    full_at: Timestamp,
    /// The latest time of receipt so far. Jobs become known out of order, and an earlier time must not make the bucket
    /// look emptier than it is.
    latest: Timestamp,
}

impl Bucket {
    /// Takes a token for a job, and returns whether there was one; if not, the job lies beyond the rate.
    pub fn take(&mut self, rate: NonZeroU32, received: Timestamp) -> bool {
        self.latest = self.latest.max(received);
        let full_at = self.full_at.max(self.latest) + interval(rate);
        let is_within = full_at <= self.latest + WINDOW;
        if is_within {
            self.full_at = full_at;
        }
        is_within
    }

    /// Returns the token of a job that turned out not to be accepted.
    pub fn give_back(&mut self, rate: NonZeroU32) {
        self.full_at = self.full_at.saturating_sub(interval(rate));
    }
}

/// Returns the time between two jobs at a rate.
fn interval(rate: NonZeroU32) -> Duration {
    Duration::from_secs(1) / rate.get()
}
