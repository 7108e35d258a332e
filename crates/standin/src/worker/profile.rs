//! How tasks behave, the same for all workers.

use std::time::Duration;

/// How tasks behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Profile {
    /// What tasks are seen to use of their size, in thousandths.
    pub usage: u16,
    /// How far usage reports lag.
    pub usage_lag: Duration,
    /// How long a task without a run time runs.
    pub runtime: Duration,
}
