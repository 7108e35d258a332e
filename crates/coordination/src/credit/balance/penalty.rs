//! Avoiding targets that failed lately.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

const FIRST: Duration = Duration::from_millis(250);
const MOST: Duration = Duration::from_secs(16);
const MAX_DOUBLINGS: u32 = 6;

/// A span for which a target is avoided; it doubles with each failure in a row.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Penalty {
    failures: u32,
    until: Timestamp,
}

impl Penalty {
    /// Returns whether the target should be avoided while others are there.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Notes a failure.
    pub(super) fn fail(&mut self, now: Timestamp) {
        let span = FIRST * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.until = now + span.min(MOST);
    }

    /// Notes a whole answer.
    pub(super) const fn succeed(&mut self) {
        self.failures = 0;
        self.until = Timestamp::ZERO;
    }
}
