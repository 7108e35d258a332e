//! The spans of a recovery.

use std::time::Duration;

/// The spans of a recovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long to wait for inventories before placing starts without those that are missing.
    pub patience: Duration,
    /// How long to wait before a silent worker is asked again.
    pub retry: Duration,
    /// The longest lease that any owner hands out.
    pub lease: Duration,
    /// How far a worker's clock may run slow over one lease, with the time its own stop takes.
    pub drift: Duration,
    /// How long a message may be under way; a later one is dropped by the transport.
    pub delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(1),
            retry: Duration::from_secs(1),
            lease: Duration::from_secs(10),
            drift: Duration::from_secs(1),
            delay: Duration::from_secs(2),
        }
    }
}

impl Settings {
    /// Returns how long after the last renewal was sent no task of a worker can run any more.
    ///
    /// The renewal arrives at most `delay` later, and from then on the lease counts down.
    pub fn lapse(&self) -> Duration {
        self.delay + self.lease + self.drift
    }
}
