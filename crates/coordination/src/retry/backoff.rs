//! Waiting between attempts.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    unit::Span, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

const BASE: Duration = Duration::from_millis(10);
const MOST: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 16;

/// Jittered exponential waits that end before the deadline.
///
/// A wait is drawn evenly from half of its bound up to the bound, and the bound doubles with each
/// attempt. The draw is seeded, so that it is the same on every run.
#[derive(Clone, Debug)]
pub struct Backoff {
    rng: SmallRng,
    base: Duration,
    most: Duration,
    tries: u32,
}

impl Backoff {
    /// Makes a backoff from 10 ms up to 1 s.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            base: BASE,
            most: MOST,
            tries: 0,
        }
    }

    /// Sets the bound of the first wait.
    ///
    /// See also [`Self::most`].
    #[must_use]
    pub const fn base(mut self, span: Duration) -> Self {
        self.base = span;
        self
    }

    /// Sets the bound of all waits.
    ///
    /// See also [`Self::base`].
    #[must_use]
    pub const fn most(mut self, span: Duration) -> Self {
        self.most = span;
        self
    }

    /// Returns how long to wait before the next attempt, or `None` where it could not finish in time.
    ///
    /// `ask_after` is what the last answer asked for, and `takes` how long an attempt usually takes.
    pub fn next(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        ask_after: Duration,
        takes: Duration,
    ) -> Option<Duration> {
        let wait = self.wait().max(ask_after);
        let end = now + wait + takes;
        (end < deadline).then_some(wait)
    }

    /// Forgets the attempts, after a success.
    pub const fn reset(&mut self) {
        self.tries = 0;
    }

    /// Returns how long to wait before the next attempt, whatever the deadline.
    ///
    /// See also [`Self::next`].
    pub fn wait(&mut self) -> Duration {
        let factor = 1_u32 << self.tries.min(MAX_DOUBLINGS);
        let bound = self.base.saturating_mul(factor).min(self.most);
        self.tries = self.tries.saturating_add(1);
        let micros = Span::from(bound).as_micros();
        Duration::from_micros(self.rng.random_range(micros / 2..=micros))
    }
}
