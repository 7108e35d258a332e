//! Jittered exponential backoff of calls to the log.

use std::time::Duration;

use super::Settings;

/// The span before the next retry, doubled with each failure in a row.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    failures: u32,
    state: u64,
}

impl Backoff {
    /// Makes a backoff whose jitter follows from `seed`.
    pub(super) const fn new(seed: u64) -> Self {
        Self {
            failures: 0,
            state: seed,
        }
    }

    /// Forgets the failures, after a success.
    pub(super) const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the span to wait: between half and all of the doubled span.
    pub(super) fn next(&mut self, settings: &Settings) -> Duration {
        let doubled = settings
            .retry_min
            .saturating_mul(1 << self.failures.min(16))
            .min(settings.retry_max);
        self.failures = self.failures.saturating_add(1);
        let half = doubled / 2;
        let micros = u64::try_from(half.as_micros()).unwrap_or(u64::MAX);
        half + Duration::from_micros(self.draw() % micros.max(1))
    }

    /// Draws the next number of the splitmix64 sequence.
    fn draw(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
