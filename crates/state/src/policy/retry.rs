//! How often and how soon a failed task starts again.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::unit::Span;

const DOUBLINGS: u32 = 16;
const PER_MILLE: u64 = 1_000;

/// The retry rule of a job's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retry {
    /// Failures that any job may retry, however few its tasks are.
    pub floor: u32,
    /// Failures that a job may retry for each thousand of its tasks.
    pub per_mille: u32,
    /// The wait before the first retry; it doubles with each further one.
    pub backoff: Span,
    /// The longest wait before a retry.
    pub ceiling: Span,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            floor: 3,
            per_mille: 200,
            backoff: Span::from_millis(500),
            ceiling: Span::from_secs(60),
        }
    }
}

impl Retry {
    /// Returns how many failures a job of `tasks` tasks may retry in all.
    pub fn budget(&self, tasks: u32) -> u32 {
        let share = u64::from(tasks) * u64::from(self.per_mille) / PER_MILLE;
        u32::try_from(share).unwrap_or(u32::MAX).max(self.floor)
    }

    /// Returns the wait before the retry that follows `failures` failures in a row.
    pub fn delay(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(DOUBLINGS);
        let span = self.backoff.as_micros().saturating_mul(1 << doublings);
        Duration::from_micros(span.min(self.ceiling.as_micros()))
    }
}
