//! The process's clock: the runtime's monotonic clock, anchored once to the wall clock.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use fulmarpier_state::clock::Timestamp;
use tokio::time::Instant;

/// Reads the runtime's clock as a [`Timestamp`]; it follows the runtime's pause and advance in tests.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    origin: Timestamp,
}

impl Clock {
    /// Anchors a clock to the wall clock at this moment.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_transport::clock::Clock;
    ///
    /// let clock = Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    ///
    /// See also [`Self::at`].
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self::at(Timestamp::ZERO + wall)
    }

    /// Anchors a clock so that it reads `origin` at this moment, for tests.
    ///
    /// See also [`Self::start`].
    pub fn at(origin: Timestamp) -> Self {
        Self {
            anchor: Instant::now(),
            origin,
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.origin + self.anchor.elapsed()
    }

    /// Returns the runtime's instant at which this clock reads `time`, for sleeping until then.
    ///
    /// A time before the anchor gives the anchor; one too far off gives a day from now.
    pub fn instant(&self, time: Timestamp) -> Instant {
        const FAR: Duration = Duration::from_secs(86_400);
        let span = time.since(self.origin);
        self.anchor
            .checked_add(span)
            .unwrap_or_else(|| Instant::now() + FAR)
    }
}
