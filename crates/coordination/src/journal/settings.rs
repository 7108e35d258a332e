//! The limits and spans of a journal.

use std::time::Duration;

use crate::retry::Backoff;

/// The smallest span after which a failed call is tried again.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// The largest span after which a failed call is tried again.
const RETRY_MAX: Duration = Duration::from_secs(2);
const MIB: usize = 1024 * 1024;
const KIB: usize = 1024;

/// The limits and spans of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an urgent record waits for company.
    pub group: Duration,
    /// How long a record that nobody waits for may stay in memory.
    pub lazy: Duration,
    /// The shortest span between two appends; the owner of many shards makes it longer.
    pub pace: Duration,
    /// The most bytes of one append.
    pub append: usize,
    /// The most bytes of one record.
    pub record: usize,
    /// The most bytes that wait in memory while the log is down.
    pub pending: usize,
    /// Whether this owner may begin requests without the log in an outage, so that a successor has
    /// to reckon with it; the same as `request::Settings::outage` being `Fresh`.
    pub blind: bool,
    /// After how long without any record the writer says that it is alive.
    pub heartbeat: Duration,
    /// How long the log keeps a record.
    pub retention: Duration,
    /// A snapshot is due after this many bytes behind the last one.
    pub snapshot_bytes: usize,
    /// A snapshot is due after this many records behind the last one.
    pub snapshot_records: u64,
    /// The smallest span before a retry.
    pub retry_min: Duration,
    /// The largest span before a retry.
    pub retry_max: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            group: Duration::from_millis(15),
            lazy: Duration::from_millis(100),
            pace: Duration::from_millis(25),
            append: MIB,
            record: 256 * KIB,
            pending: 16 * MIB,
            blind: true,
            heartbeat: Duration::from_secs(10),
            retention: Duration::from_secs(24 * 3600),
            snapshot_bytes: 32 * MIB,
            snapshot_records: 500_000,
            retry_min: RETRY_MIN,
            retry_max: RETRY_MAX,
        }
    }
}

impl Settings {
    /// Sets how long an urgent record waits for company.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use fulmarpier_coordination::journal::Settings;
    ///
    /// let settings = Settings::default().group(Duration::from_millis(5));
    /// assert_eq!(settings.group, Duration::from_millis(5));
    /// ```
    ///
    /// See also [`Self::pace`].
    #[must_use]
    pub const fn group(mut self, span: Duration) -> Self {
        self.group = span;
        self
    }

    /// Sets the shortest span between two appends.
    ///
    /// See also [`Self::group`].
    #[must_use]
    pub const fn pace(mut self, span: Duration) -> Self {
        self.pace = span;
        self
    }

    /// Sets how long the log keeps a record.
    ///
    /// See also [`Self::snapshot_age`].
    #[must_use]
    pub const fn retention(mut self, span: Duration) -> Self {
        self.retention = span;
        self
    }

    /// Returns the waits between tries; `seed` spreads those of several nodes.
    pub(super) fn backoff(&self, seed: u64) -> Backoff {
        Backoff::new(seed).base(self.retry_min).most(self.retry_max)
    }

    /// Returns the age of the oldest needed record at which a snapshot is due.
    ///
    /// A quarter of the retention leaves a twelfth to write the snapshot in before the oldest
    /// needed record is a third of the retention old.
    pub fn snapshot_age(&self) -> Duration {
        self.retention / 4
    }
}
