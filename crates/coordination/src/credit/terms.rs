//! The spans that gates and owners agree on.

use std::time::Duration;

const LEASE: Duration = Duration::from_secs(2);
const DRIFT: Duration = Duration::from_millis(100);
const SETTLE: Duration = Duration::from_millis(500);

/// The spans of a credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a gate may use a grant, from when it made the statement.
    pub lease: Duration,
    /// How much longer the owner waits, for clocks that run at different rates.
    pub drift: Duration,
    /// How long a request that left a gate may be on its way to the target.
    pub settle: Duration,
}

impl Default for Terms {
    /// Two seconds of lease, a tenth for drift and half a second on the way.
    fn default() -> Self {
        Self {
            lease: LEASE,
            drift: DRIFT,
            settle: SETTLE,
        }
    }
}

impl Terms {
    /// Returns how long the owner takes a lease to last, from when it answered.
    pub fn owner_lease(&self) -> Duration {
        self.lease + self.drift
    }
}
