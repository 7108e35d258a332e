//! How late this process gets its processor: timers that fire late, events that wait in the mailbox, and a machine that is
//! suspended.

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
    port::Platform,
    report::millis,
    shared::Shared,
    succession::Lag, //
};

/// A shorter suspension is not told from clocks that are read apart; what rests on leases allows for more.
const LEAST_SLEPT: Duration = Duration::from_millis(100);
/// How often the timers are looked at; each look costs a wake-up.
const LOOK: Duration = Duration::from_millis(100);

/// The lags of one process; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pulse {
    timers: Arc<Mutex<Lag>>,
    mailbox: Arc<Mutex<Lag>>,
}

impl Pulse {
    fn with<T>(lag: &Mutex<Lag>, f: impl FnOnce(&mut Lag) -> T) -> T {
        f(&mut lag.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes how long an event waited for the owner's actor.
    pub(crate) fn note_event(&self, waited: Duration) {
        Self::with(&self.mailbox, |lag| lag.note(waited));
    }

    /// Forgets how long events have waited: another ownership begins.
    pub(crate) fn forget_events(&self) {
        Self::with(&self.mailbox, |lag| *lag = Lag::default());
    }

    /// Returns how late the timers are.
    pub(crate) fn timers(&self) -> Duration {
        Self::with(&self.timers, |lag| lag.get())
    }

    /// Returns how late the events of the owner's actor are, or the timers where those are later.
    pub(crate) fn owner(&self) -> Duration {
        let events = Self::with(&self.mailbox, |lag| lag.get());
        events.max(self.timers())
    }

    /// Returns the longest wait of an event since this was last asked.
    pub(crate) fn take_worst(&self) -> Duration {
        Self::with(&self.mailbox, Lag::take_worst)
    }
}

/// Returns how long the machine was suspended since this was last asked with the same total, if it was.
pub(crate) fn slept<P: Platform>(platform: &P, total: &mut Duration) -> Option<Duration> {
    let now = platform.suspended();
    let slept = now.saturating_sub(*total);
    *total = now.max(*total);
    (slept >= LEAST_SLEPT).then_some(slept)
}

/// Looks at the timers for as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut suspended = shared.platform.suspended();
    loop {
        let due = Instant::now() + LOOK;
        sleep_until(due).await;
        let late = due.elapsed();
        Pulse::with(&shared.pulse.timers, |lag| lag.note(late));
        if let Some(slept) = slept(&shared.platform, &mut suspended) {
            wake(&shared, slept);
        }
    }
}

/// Has nothing be asserted of what was read before the machine was suspended.
fn wake<P: Platform>(shared: &Shared<P>, slept: Duration) {
    slog::warn!(shared.log, "woke"; "slept_ms" => millis(slept));
    if shared.acting.borrow().is_some() {
        shared.stalled.notify_one();
    }
    // Where the clock doesn't reach back so far, what was read is as old as the clock.
    let age = |at: &mut Instant| *at = at.checked_sub(slept).unwrap_or(*at);
    shared.config_read.send_modify(age);
    shared.evacuation.send_modify(|reading| {
        if let Some(reading) = reading {
            age(&mut reading.at);
        }
    });
}
