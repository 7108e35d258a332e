//! Accepted connections, counted against a limit.

use std::{
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

use axum::serve;
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

/// How long to wait before accepting again after the system had no room for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A listener that accepts no more connections than it has permits for.
pub(super) struct Listener {
    pub(super) tcp: TcpListener,
    pub(super) permits: Arc<Semaphore>,
}

impl serve::Listener for Listener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        loop {
            let Ok(permit) = self.permits.clone().acquire_owned().await else {
                // The semaphore is never closed.
                std::future::pending::<()>().await;
                continue;
            };
            match self.tcp.accept().await {
                Ok((stream, peer)) => {
                    // Without it answers are only slower.
                    let _ = stream.set_nodelay(true);
                    return (
                        Connection {
                            stream,
                            _permit: permit,
                        },
                        peer,
                    );
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.tcp.local_addr()
    }
}

/// One accepted connection with its permit.
pub(super) struct Connection {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
