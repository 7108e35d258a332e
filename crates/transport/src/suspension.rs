//! How long the machine was suspended.
//!
//! The monotonic clock, and with it the runtime's, stands still meanwhile; the boot-time clock goes on. Leases that others
//! count go on as well, so what rests on them must not be judged by the runtime's clock alone.

use std::time::Duration;

use rustix::time::{
    ClockId,
    clock_gettime, //
};

/// Compares the two clocks from the moment on at which it was made.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// How far the boot-time clock was ahead then, at most.
    ahead: Duration,
}

impl Meter {
    /// Begins to measure.
    pub fn start() -> Self {
        let monotonic = read(ClockId::Monotonic);
        let ahead = read(ClockId::Boottime).saturating_sub(monotonic);
        Self { ahead }
    }

    /// Returns for how long the machine was suspended since the meter was made; never more than it was.
    ///
    /// A process that isn't run between the readings of both clocks gets less, not more.
    pub fn total(&self) -> Duration {
        let boot = read(ClockId::Boottime);
        let ahead = boot.saturating_sub(read(ClockId::Monotonic));
        ahead.saturating_sub(self.ahead)
    }
}

fn read(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
