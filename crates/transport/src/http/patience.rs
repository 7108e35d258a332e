//! How long a connection may do nothing, or as good as nothing.

use std::{
    future::Future,
    io,
    pin::Pin,
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
    /// How long the body of a request may take to arrive whole, however it trickles in.
    pub body: Duration,
    /// How long the caller may take no byte of an answer.
    pub stall: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            idle: Duration::from_secs(60),
            body: Duration::from_secs(30),
            stall: Duration::from_secs(30),
        }
    }
}

/// Watches one connection for a caller that takes no answer.
#[derive(Debug)]
pub(super) struct Watch {
    patience: Patience,
    stall: Option<Pin<Box<Sleep>>>,
}

impl Watch {
    pub(super) const fn new(patience: Patience) -> Self {
        Self {
            patience,
            stall: None,
        }
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
