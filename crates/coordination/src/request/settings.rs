//! The limits and spans of a ledger.

use std::time::Duration;

/// How requests are begun while the log is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// Every request waits for the log up to its deadline and is then refused as `not_run`.
    Wait,
    /// A key whose own time lies behind this owner's claim is begun without the log; a successor
    /// refuses as `unknown` what may have been begun so.
    #[default]
    Fresh,
}

/// The limits and spans of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The most requests remembered.
    pub count: usize,
    /// How long a settled key with a time of its own is remembered, from that time.
    pub age: Duration,
    /// How long a settled key without one is remembered, from its first use.
    pub opaque_age: Duration,
    /// How far a key's time may lie ahead of this node's clock to be begun without the log.
    pub skew: Duration,
    /// How far the clocks of two nodes may lie apart.
    pub drift: Duration,
    /// How long after its deadline a request without a report becomes `unknown`.
    pub grace: Duration,
    /// How long the log must have been down before requests are begun without it.
    ///
    /// It is longer than a takeover takes, so that an owner that dies while the log is up leaves
    /// nothing behind that its successor would have to refuse.
    pub blind_after: Duration,
    /// The most bytes of a kept answer.
    pub answer: usize,
    /// The most bytes of all kept answers.
    pub answers: usize,
    /// How requests are begun while the log is down.
    pub outage: Outage,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            count: 100_000,
            age: Duration::from_secs(6 * 3600),
            opaque_age: Duration::from_secs(24 * 3600),
            skew: Duration::from_secs(2),
            drift: Duration::from_secs(1),
            grace: Duration::from_secs(10),
            blind_after: Duration::from_secs(30),
            answer: 16 * 1024,
            answers: 32 * 1024 * 1024,
            outage: Outage::Fresh,
        }
    }
}

impl Settings {
    /// Sets how requests are begun while the log is down.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_coordination::request::{Outage, Settings};
    ///
    /// let settings = Settings::default().outage(Outage::Wait);
    /// assert_eq!(settings.outage, Outage::Wait);
    /// ```
    ///
    /// See also [`Self::count`].
    #[must_use]
    pub const fn outage(mut self, outage: Outage) -> Self {
        self.outage = outage;
        self
    }

    /// Sets the most requests remembered.
    ///
    /// See also [`Self::outage`].
    #[must_use]
    pub const fn count(mut self, count: usize) -> Self {
        self.count = count;
        self
    }

    /// Returns how far behind a claim a key's time must lie to be surely newer than the claim.
    pub fn margin(&self) -> Duration {
        self.skew + self.drift
    }
}
