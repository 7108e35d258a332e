//! Points in time as the state layers see them.

use std::{
    fmt,
    ops::Add,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// A point in time, in microseconds since the Unix epoch.
///
/// A process anchors the value to the wall clock once, when it starts, and then advances it with
/// the runtime's monotonic clock, so it never goes backwards inside one process. Only differences
/// taken on one node are used for safety; values from another node serve deadlines and reports.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The earliest representable time.
    pub const ZERO: Self = Self(0);
    /// The latest representable time, used for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Makes a timestamp from microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a timestamp from milliseconds since the Unix epoch, saturating at [`Self::MAX`].
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from `self` until `later`, or zero if it has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }

    /// Returns `self` moved back by `span`, saturating at [`Self::ZERO`].
    pub fn saturating_sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    /// Moves the time forward, saturating at [`Timestamp::MAX`].
    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
