//! Accepted connections, counted against a limit and cut on demand.

use std::{
    future::{
        Future,
        pending, //
    },
    io::{
        self,
        IoSlice, //
    },
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll,
        ready, //
    },
    time::Duration,
};

use axum::{
    extract::connect_info::Connected,
    serve::{
        self,
        IncomingStream, //
    },
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    time::{
        Sleep,
        sleep,
        timeout, //
    },
};
use tokio_util::sync::{
    CancellationToken,
    WaitForCancellationFutureOwned, //
};

use super::patience::{
    Patience,
    Watch, //
};
use crate::crowd::{
    Crowd,
    Limit,
    Membership,
    Phase, //
};

/// How long to wait before accepting again after the system had no room for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long to wait for a connection to go before another one is told to go.
const EVICTION_PAUSE: Duration = Duration::from_millis(10);

/// The most empty lines, in bytes, that may come before a request; one is usual.
const EMPTY_LINES: usize = 64;
/// How long a connection that is being closed may go on sending, so that its caller gets to read the answer.
const LINGER: Duration = Duration::from_secs(5);
/// How much it may send meanwhile, in bytes; it is thrown away.
const LINGER_BYTES: usize = 16 << 20;
/// The size of the pieces in which it is thrown away, in bytes.
const LINGER_PIECE: usize = 4 << 10;

/// A listener that holds no more connections than its limit and can cut them all.
///
/// It doesn't account for what its connections hold. See also [`super::Server`].
#[derive(Debug)]
pub struct Listener {
    tcp: TcpListener,
    permits: Arc<Semaphore>,
    cut: CancellationToken,
    crowd: Crowd,
    number: u64,
    /// Whether a further connection takes the place of another one.
    is_evicting: bool,
}

impl Listener {
    /// Wraps a listening socket; cancelling `cut` resets every connection made through it.
    ///
    /// Connections beyond the limit wait: which of the others are being served is not known here.
    pub fn new(tcp: TcpListener, connections: usize, cut: CancellationToken) -> Self {
        Self {
            is_evicting: false,
            ..Self::within(tcp, connections, cut, Crowd::unbounded())
        }
    }

    /// Wraps a listening socket, with its connections in a crowd.
    pub(super) fn within(
        tcp: TcpListener,
        connections: usize,
        cut: CancellationToken,
        crowd: Crowd,
    ) -> Self {
        Self {
            tcp,
            permits: Arc::new(Semaphore::new(connections)),
            cut,
            number: crowd.listener(),
            crowd,
            is_evicting: true,
        }
    }

    /// Accepts a connection once it is within the limit, see [`Self::permit`].
    pub(super) async fn accept(&self) -> (Connection, SocketAddr) {
        loop {
            match self.tcp.accept().await {
                Ok((stream, peer)) => {
                    let permit = self.permit().await;
                    // Without it answers are only slower.
                    let _ = stream.set_nodelay(true);
                    let membership = self.crowd.join(self.number, self.cut.child_token());
                    return (Connection::new(stream, membership, permit), peer);
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Waits for a place, for which another connection may have to go.
    async fn permit(&self) -> OwnedSemaphorePermit {
        loop {
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                return permit;
            }
            if self.is_evicting {
                self.crowd.evict_stalled(self.number);
            }
            let permit = self.permits.clone().acquire_owned();
            match timeout(EVICTION_PAUSE, permit).await {
                Ok(Ok(permit)) => return permit,
                // The semaphore is never closed.
                Ok(Err(_)) => pending().await,
                // Those that were told to go are still there, or all are being served.
                Err(_) => {}
            }
        }
    }
}

impl serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        Self::accept(self).await
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }
}

/// Resets the connection of the request that it was extracted from.
///
/// Handlers extract it as `ConnectInfo<Cut>`.
#[derive(Clone, Debug)]
pub struct Cut(CancellationToken);

impl Cut {
    /// Resets the connection; nothing of an answer that was not yet sent will leave.
    pub fn cut(&self) {
        self.0.cancel();
    }
}

impl Connected<IncomingStream<'_, Listener>> for Cut {
    fn connect_info(stream: IncomingStream<'_, Listener>) -> Self {
        stream.io().cut()
    }
}

/// One accepted connection with its permit.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    membership: Membership,
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
    watch: Option<Watch>,
    leading: Leading,
    linger: Option<Linger>,
    _permit: OwnedSemaphorePermit,
}

/// The empty lines before a request.
#[derive(Debug, Default)]
struct Leading {
    /// How many requests came before.
    requests: u64,
    bytes: usize,
    /// Whether the head of the request has begun.
    is_over: bool,
}

/// What is left of the time and the bytes of a connection that is being closed.
#[derive(Debug)]
struct Linger {
    until: Pin<Box<Sleep>>,
    bytes: usize,
}

impl Connection {
    fn new(stream: TcpStream, membership: Membership, permit: OwnedSemaphorePermit) -> Self {
        let ended = membership.member().end().clone().cancelled_owned();
        Self {
            stream,
            membership,
            ended: Box::pin(ended),
            watch: None,
            leading: Leading::default(),
            linger: None,
            _permit: permit,
        }
    }

    /// Bounds how long the caller may take no byte of an answer.
    pub(super) fn patience(mut self, patience: Patience) -> Self {
        self.watch = Some(Watch::new(patience));
        self
    }

    /// Returns its place in the crowd.
    pub(super) const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns what resets it.
    pub(super) fn cut(&self) -> Cut {
        Cut(self.membership.member().end().clone())
    }

    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.ended.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }

    /// Fails once too many empty lines came before a request.
    ///
    /// The HTTP library keeps them until the request is there, and looks at all of them again for each that comes.
    fn check_empty_lines(&mut self, bytes: &[u8]) -> io::Result<()> {
        let member = self.membership.member();
        // Without patience nobody notes when a request begins.
        if self.watch.is_none() || member.phase() != Phase::Waiting {
            return Ok(());
        }
        if self.leading.requests != member.requests() {
            self.leading = Leading {
                requests: member.requests(),
                ..Leading::default()
            };
        }
        let leading = &mut self.leading;
        let line_ends = bytes
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'));
        let count = line_ends.count();
        if !leading.is_over {
            leading.bytes += count;
            leading.is_over = count < bytes.len();
        }
        if leading.bytes > EMPTY_LINES {
            member.acted(Limit::EmptyLines);
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Fails a write that made no progress for too long.
    fn progress<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        match &mut self.watch {
            Some(watch) => watch.check_stall(cx, written),
            None => written,
        }
    }

    /// Returns whether anything came while the connection was being closed.
    fn has_discarded(&self) -> bool {
        self.linger
            .as_ref()
            .is_some_and(|linger| linger.bytes < LINGER_BYTES)
    }

    /// Throws away what comes until the caller closes, or sent too much or for too long.
    ///
    /// A connection that is closed while its caller still sends is reset, and the answer is lost with it (RFC 9112,
    /// section 9.6).
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            until: Box::pin(sleep(LINGER)),
            bytes: LINGER_BYTES,
        });
        let mut piece = [0; LINGER_PIECE];
        loop {
            if linger.until.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut buf = ReadBuf::new(&mut piece);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf));
            let count = buf.filled().len();
            if read.is_err() || count == 0 || count > linger.bytes {
                return Poll::Ready(());
            }
            linger.bytes -= count;
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.check_empty_lines(&buf.filled()[before..])?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.progress(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.progress(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check(cx)?;
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            let member = self.membership.member();
            let is_partial = member.phase() == Phase::Closing;
            member.enter(Phase::Closing);
            // A caller that has nothing on its way may leave when it likes.
            if self.poll_linger(cx).is_pending() && !is_partial && !self.has_discarded() {
                return Poll::Ready(Ok(()));
            }
        }
        self.poll_linger(cx).map(Ok)
    }
}
