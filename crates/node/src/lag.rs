//! Measures how late this process gets processor time: how late timers fire, how long events wait in the mailbox of the
//! owner's actor, and for how long the machine was suspended.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    platform::Platform,
    shared::Shared,
    succession::Lag,
    telemetry::millis, //
};

/// The shortest suspension that is detected. A shorter one can't be told from the time between the readings of two
/// clocks; everything that depends on leases tolerates more.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// The interval at which the delay of timers is measured. Each measurement costs a wake-up.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The lags of this process; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct LagMonitor {
    timers: Arc<Mutex<Lag>>,
    mailbox: Arc<Mutex<Lag>>,
}

impl LagMonitor {
    fn with_lag<T>(lag: &Mutex<Lag>, f: impl FnOnce(&mut Lag) -> T) -> T {
        f(&mut lag.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records for how long an event waited for the owner's actor.
    pub(crate) fn record_event_wait(&self, waited: Duration) {
        Self::with_lag(&self.mailbox, |lag| lag.record(waited));
    }

    /// Discards the recorded waits of events. Called when another ownership begins.
    pub(crate) fn reset_event_waits(&self) {
        Self::with_lag(&self.mailbox, |lag| *lag = Lag::default());
    }

    /// Returns the median delay with which timers fire.
    pub(crate) fn timer_lag(&self) -> Duration {
        Self::with_lag(&self.timers, |lag| lag.median())
    }

    /// Returns the median wait of events for the owner's actor, or that of timers if it is longer.
    pub(crate) fn owner_lag(&self) -> Duration {
        let events = Self::with_lag(&self.mailbox, |lag| lag.median());
        events.max(self.timer_lag())
    }

    /// Returns the longest wait of an event since the last call.
    pub(crate) fn take_longest_wait(&self) -> Duration {
        Self::with_lag(&self.mailbox, Lag::take_largest)
    }
}

/// Returns for how long the machine was suspended since the last call with the same `total`, which this updates; `None`
/// if it was not suspended.
pub(crate) fn take_suspension<P: Platform>(platform: &P, total: &mut Duration) -> Option<Duration> {
    let now = platform.total_suspension();
    let suspension = now.saturating_sub(*total);
    *total = now.max(*total);
    (suspension >= MIN_SUSPENSION).then_some(suspension)
}

/// Measures the delay of timers and detects suspensions, for as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut suspended = shared.platform.total_suspension();
    loop {
        let due = Instant::now() + TIMER_CHECK_INTERVAL;
        sleep_until(due).await;
        let late = due.elapsed();
        LagMonitor::with_lag(&shared.lag.timers, |lag| lag.record(late));
        if let Some(suspension) = take_suspension(&shared.platform, &mut suspended) {
            handle_resume(&shared, suspension);
        }
    }
}

/// Handles the end of a suspension: what was read before it counts as older by its length, and an owner is notified.
fn handle_resume<P: Platform>(shared: &Shared<P>, suspension: Duration) {
    slog::warn!(shared.log, "woke"; "slept_ms" => millis(suspension));
    if shared.ownership.borrow().is_some() {
        shared.stalled.notify_one();
    }
    // If the clock can't represent a time that long ago, the time of reading stays as it is.
    let make_older = |at: &mut Instant| *at = at.checked_sub(suspension).unwrap_or(*at);
    shared.config_confirmed_at.send_modify(make_older);
    shared.evacuation.send_modify(|snapshot| {
        if let Some(snapshot) = snapshot {
            make_older(&mut snapshot.confirmed_at);
        }
    });
}
