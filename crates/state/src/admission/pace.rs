//! How fast waiting jobs are served.

use std::time::Duration;

use crate::clock::Timestamp;

const SMOOTHING: u64 = 16;
const SHORTEST: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_secs(60);

/// A smoothed time between two starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    last: Option<Timestamp>,
    interval: u64,
}

impl Pace {
    /// Notes a start.
    pub fn note(&mut self, now: Timestamp) {
        if let Some(last) = self.last {
            let interval = u64::try_from(now.since(last).as_micros()).unwrap_or(u64::MAX);
            let kept = self.interval - self.interval / SMOOTHING;
            self.interval = kept.saturating_add(interval / SMOOTHING);
        }
        self.last = Some(now);
    }

    /// Returns when it is of use to ask again where `count` jobs are in the way.
    pub fn wait_for(&self, count: u32) -> Duration {
        let micros = self.interval.saturating_mul(u64::from(count));
        Duration::from_micros(micros).clamp(SHORTEST, LONGEST)
    }
}
