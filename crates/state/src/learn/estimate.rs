//! What is expected of a run.

use std::time::Duration;

/// The run time to expect, as quantiles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Half of the runs end within this time.
    pub p50: Duration,
    /// Nine of ten runs end within this time.
    pub p90: Duration,
    /// How many runs the estimate rests on; zero means that it is the declaration or a default.
    pub samples: u32,
}
