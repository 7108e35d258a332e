//! How late this process gets its processor: timers that fire late, and events that wait in the mailbox.

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
    shared::Shared,
    succession::Lag, //
};

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

/// Looks at the timers for as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    loop {
        let due = Instant::now() + LOOK;
        sleep_until(due).await;
        let late = due.elapsed();
        Pulse::with(&shared.pulse.timers, |lag| lag.note(late));
    }
}
