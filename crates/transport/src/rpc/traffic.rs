//! Counting the bytes of calls, so that the cost of control can be measured.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    task::{
        Context,
        Poll,
        ready, //
    },
};

use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

/// Running totals; bytes are those of TCP payload.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// What was counted up to one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Calls begun.
    pub calls: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    pub(super) fn call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn totals(&self) -> Totals {
        Totals {
            calls: self.calls.load(Ordering::Relaxed),
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}

/// One half of a stream whose bytes are counted, in all and for its link, and whose failures all count as a lost
/// connection.
pub(super) struct Counted<T> {
    inner: T,
    all: Arc<Traffic>,
    link: Arc<Traffic>,
}

impl<T> Counted<T> {
    pub(super) fn new(inner: T, all: Arc<Traffic>, link: Arc<Traffic>) -> Self {
        Self { inner, all, link }
    }
}

/// Turns any failure of a connection into its loss. The RPC system would report a time-out as "overloaded", which
/// proves that a call was not run.
fn lost(error: io::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, error)
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf)).map_err(lost)?;
        let read = (buf.filled().len() - before) as u64;
        self.all.received.fetch_add(read, Ordering::Relaxed);
        self.link.received.fetch_add(read, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf)).map_err(lost)?;
        self.all.sent.fetch_add(written as u64, Ordering::Relaxed);
        self.link.sent.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx).map_err(lost)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx).map_err(lost)
    }
}
