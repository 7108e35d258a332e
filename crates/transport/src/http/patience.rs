//! How long a connection may do nothing.

use std::{
    future::Future,
    io,
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};

/// The bounds on a connection that does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// How long a connection may be without a request; the head of a request must arrive whole in
    /// this time.
    pub idle: Duration,
    /// How long the caller may take no byte of an answer.
    pub stall: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(60),
            stall: Duration::from_secs(30),
        }
    }
}

/// The requests in progress on one connection.
#[derive(Clone, Debug)]
pub(super) struct Activity(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    active: usize,
    /// Since when there is no request.
    since: Instant,
}

impl Activity {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            active: 0,
            since: Instant::now(),
        })))
    }

    /// Counts a request until the guard is dropped.
    pub(super) fn enter(&self) -> Entry {
        self.with(|state| state.active += 1);
        Entry(self.clone())
    }

    /// Returns since when there is no request, where there is none.
    fn idle_since(&self) -> Option<Instant> {
        self.with(|state| (state.active == 0).then_some(state.since))
    }

    fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts one request for as long as it lives.
#[derive(Debug)]
pub(super) struct Entry(Activity);

impl Drop for Entry {
    fn drop(&mut self) {
        self.0.with(|state| {
            state.active -= 1;
            state.since = Instant::now();
        });
    }
}

/// Watches one connection for doing nothing.
#[derive(Debug)]
pub(super) struct Watch {
    patience: Patience,
    activity: Activity,
    idle: Pin<Box<Sleep>>,
    stall: Option<Pin<Box<Sleep>>>,
}

impl Watch {
    pub(super) fn new(patience: Patience, activity: Activity) -> Self {
        Self {
            patience,
            activity,
            idle: Box::pin(sleep_until(Instant::now() + patience.idle)),
            stall: None,
        }
    }

    /// Fails once the connection was without a request for too long.
    pub(super) fn check_idle(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while self.idle.as_mut().poll(cx).is_ready() {
            let since = self.activity.idle_since().unwrap_or_else(Instant::now);
            let until = since + self.patience.idle;
            if until <= Instant::now() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.idle.as_mut().reset(until);
        }
        Ok(())
    }

    /// Fails once no byte could be written for too long; `written` is the outcome of a try.
    pub(super) fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let until = self.patience.stall;
        let stall = self
            .stall
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + until)));
        match stall.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}
