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
        Poll, //
    },
    time::Duration,
};

use axum::{
    body::Body,
    extract::{
        ConnectInfo,
        Request,
        connect_info::Connected, //
    },
    middleware::Next,
    response::Response,
    serve::{
        self,
        IncomingStream, //
    },
};
use http_body_util::BodyExt;
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
    time::sleep,
};
use tokio_util::sync::{
    CancellationToken,
    WaitForCancellationFutureOwned, //
};

use super::patience::{
    Activity,
    Patience,
    Watch, //
};

/// How long to wait before accepting again after the system had no room for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listener that holds no more connections than its limit and can cut them all.
#[derive(Debug)]
pub struct Listener {
    tcp: TcpListener,
    permits: Arc<Semaphore>,
    cut: CancellationToken,
    patience: Option<Patience>,
}

impl Listener {
    /// Wraps a listening socket; cancelling `cut` resets every connection made through it.
    pub fn new(tcp: TcpListener, connections: usize, cut: CancellationToken) -> Self {
        Self {
            tcp,
            permits: Arc::new(Semaphore::new(connections)),
            cut,
            patience: None,
        }
    }

    /// Bounds how long a connection may do nothing; the requests must pass [`hold`].
    pub(super) const fn patience(mut self, patience: Patience) -> Self {
        self.patience = Some(patience);
        self
    }

    /// Returns the count of connections that may still be accepted.
    pub(super) fn permits(&self) -> Arc<Semaphore> {
        self.permits.clone()
    }
}

impl serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else {
                // The semaphore is never closed.
                pending::<()>().await;
                continue;
            };
            match self.tcp.accept().await {
                Ok((stream, peer)) => {
                    // Without it answers are only slower.
                    let _ = stream.set_nodelay(true);
                    let cut = self.cut.child_token();
                    let connection = Connection::new(stream, cut, self.patience, permit);
                    return (connection, peer);
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }
}

/// Resets the connection of the request that it was extracted from.
///
/// Handlers extract it as `ConnectInfo<Cut>`.
#[derive(Clone, Debug)]
pub struct Cut {
    token: CancellationToken,
    activity: Activity,
}

impl Cut {
    /// Resets the connection; nothing of an answer that was not yet sent will leave.
    pub fn cut(&self) {
        self.token.cancel();
    }
}

impl Connected<IncomingStream<'_, Listener>> for Cut {
    fn connect_info(stream: IncomingStream<'_, Listener>) -> Self {
        let connection = stream.io();
        Self {
            token: connection.cut.clone(),
            activity: connection.activity.clone(),
        }
    }
}

/// Counts a request as in progress until the last of its answer is handed to the connection.
pub(super) async fn hold(
    ConnectInfo(cut): ConnectInfo<Cut>,
    request: Request,
    next: Next,
) -> Response {
    let entry = cut.activity.enter();
    let response = next.run(request).await;
    // The body owns the entry; the length of the body stays known this way.
    response.map(|body| {
        Body::new(body.map_err(move |error| {
            let _held = &entry;
            error
        }))
    })
}

/// One accepted connection with its permit.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    cut: CancellationToken,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
    activity: Activity,
    watch: Option<Watch>,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    fn new(
        stream: TcpStream,
        cut: CancellationToken,
        patience: Option<Patience>,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        let activity = Activity::new();
        let watch = patience.map(|patience| Watch::new(patience, activity.clone()));
        Self {
            stream,
            cancelled: Box::pin(cut.clone().cancelled_owned()),
            cut,
            activity,
            watch,
            _permit: permit,
        }
    }

    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.cancelled.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
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
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        if let Some(watch) = &mut self.watch {
            watch.check_idle(cx)?;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
