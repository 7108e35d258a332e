//! Measures how this process gets processor time: how late timers fire, how fast the machine is, how long events wait in
//! the mailbox of the owner's actor, and for how long the process stood still or the machine was suspended.
//!
//! All but the wait of events is measured by the runtime that keeps the ownership of the cell, which the load of the node
//! doesn't delay: so a machine that has become slow differs from a node that has much to do.

use std::{
    hint::black_box,
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
    succession::{
        Lag,
        Pace, //
    },
    telemetry::millis,
    work, //
};

/// The shortest suspension that is detected. A shorter one can't be told from the time between the readings of two
/// clocks; everything that depends on leases tolerates more.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);
/// The interval at which the delay of timers is measured. Each measurement costs a wake-up.
const TIMER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// If no timer fires for this long, the process was not running. A claim expires after 0.7 s, so another node may own the
/// cell by then.
const STALL_THRESHOLD: Duration = Duration::from_millis(900);
/// The number of steps of the computation by which the speed of the machine is measured.
const PROBE_STEPS: u64 = 4_000;

/// When timers were last seen to fire, and when they last had not fired for long.
#[derive(Debug)]
struct Beat {
    last: Instant,
    /// When the process last ran again after it stood still, and for how long it had.
    stall: Option<(Instant, Duration)>,
}

/// The lags of this process; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct LagMonitor {
    timers: Arc<Mutex<Lag>>,
    probes: Arc<Mutex<Lag>>,
    mailbox: Arc<Mutex<Lag>>,
    beat: Arc<Mutex<Beat>>,
}

impl Default for LagMonitor {
    fn default() -> Self {
        let beat = Beat {
            last: Instant::now(),
            stall: None,
        };
        Self {
            timers: Arc::default(),
            probes: Arc::default(),
            mailbox: Arc::default(),
            beat: Arc::new(Mutex::new(beat)),
        }
    }
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

    /// Returns how promptly and how fast this node works, apart from its load.
    pub(crate) fn pace(&self) -> Pace {
        Pace {
            lag: self.timer_lag(),
            probe: Self::with_lag(&self.probes, |probes| probes.smallest()),
        }
    }

    /// Notes that a timer has fired `late`; returns whether the process stood still before.
    fn note_beat(&self, late: Duration) -> bool {
        Self::with_lag(&self.timers, |lag| lag.record(late));
        let now = Instant::now();
        let mut beat = self.beat.lock().unwrap_or_else(PoisonError::into_inner);
        let stood_still = now.saturating_duration_since(beat.last);
        beat.last = now;
        let is_stall = stood_still >= STALL_THRESHOLD;
        if is_stall {
            beat.stall = Some((now, stood_still));
        }
        is_stall
    }

    /// Returns for how long the process has stood still at some time after `since`; `None` if it has not.
    pub(crate) fn stall_since(&self, since: Instant) -> Option<Duration> {
        let beat = self.beat.lock().unwrap_or_else(PoisonError::into_inner);
        let silent = beat.last.max(since).elapsed();
        let stall = beat.stall.filter(|(at, _)| *at >= since);
        let noted = stall.map(|(_, length)| length);
        noted.or((silent >= STALL_THRESHOLD).then_some(silent))
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

/// Measures the delay of timers and the speed of the machine, and detects standstills and suspensions, for as long as the
/// process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut suspended = shared.platform.total_suspension();
    loop {
        let due = Instant::now() + TIMER_CHECK_INTERVAL;
        sleep_until(due).await;
        if shared.lag.note_beat(due.elapsed()) && shared.ownership.borrow().is_some() {
            shared.stalled.notify_one();
        }
        let probe = probe_speed(&shared).await;
        LagMonitor::with_lag(&shared.lag.probes, |probes| probes.record(probe));
        if let Some(suspension) = take_suspension(&shared.platform, &mut suspended) {
            handle_resume(&shared, suspension);
        }
    }
}

/// Returns how long a fixed computation takes.
async fn probe_speed<P: Platform>(shared: &Shared<P>) -> Duration {
    let began = Instant::now();
    shared.platform.work(work::Kind::Membership, 1).await;
    let value = (0..PROBE_STEPS).fold(1_u64, |value, step| {
        black_box(value.wrapping_mul(PROBE_STEPS | 1).wrapping_add(step))
    });
    black_box(value);
    began.elapsed()
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
