//! Closing an idle connection so that the peer knows that none of its calls was run and lost.
//!
//! The reading side of the connection fails with a reason, which the RPC system sends to the peer before it
//! disconnects. A connection that ends in any other way carries no such reason.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
};

use capnp::ErrorKind;
use tokio::io::{
    AsyncRead,
    ReadBuf, //
};
use tokio_util::sync::{
    CancellationToken,
    WaitForCancellationFutureOwned, //
};

/// The reason as it travels between processes. Peers without it report a lost connection.
const REASON: &str = "connection evicted while idle; the call was not run";

/// Returns the answer to a call that arrives on an evicted connection.
pub(super) fn refusal() -> capnp::Error {
    capnp::Error::disconnected(REASON.to_owned())
}

/// Returns whether a call failed because the peer has evicted the connection. The call was not run.
pub(super) fn is_evicted(error: &capnp::Error) -> bool {
    error.kind == ErrorKind::Disconnected && error.extra.ends_with(REASON)
}

/// A reader that fails once its connection is evicted.
pub(super) struct Evictable<T> {
    inner: T,
    evicted: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<T> Evictable<T> {
    pub(super) fn new(inner: T, eviction: CancellationToken) -> Self {
        Self {
            inner,
            evicted: Box::pin(eviction.cancelled_owned()),
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Evictable<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.evicted.as_mut().poll(cx).is_ready() {
            let error = io::Error::new(io::ErrorKind::ConnectionAborted, REASON);
            return Poll::Ready(Err(error));
        }
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}
