//! Serving with a graceful end.

use std::{
    future::{
        Future,
        IntoFuture, //
    },
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use axum::{
    Router,
    extract::{
        Request,
        State, //
    },
    http::{
        HeaderValue,
        header, //
    },
    middleware::{
        self,
        Next, //
    },
    response::Response,
};
use tokio::{
    net::TcpListener,
    sync::oneshot,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use super::{
    connection::{
        Cut,
        Listener,
        hold, //
    },
    patience::Patience,
};

/// The bounds of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections open at once; further ones wait to be accepted.
    pub connections: usize,
    /// How long to go on accepting after the stop, telling every caller to close its connection.
    ///
    /// In this time callers and balancers move away, so that no request is on its way when the
    /// connections close.
    pub linger: Duration,
    /// How long requests in progress may take to finish after the linger.
    pub drain: Duration,
    /// How long a connection may do nothing.
    pub patience: Patience,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            linger: Duration::from_secs(2),
            drain: Duration::from_secs(30),
            patience: Patience::default(),
        }
    }
}

/// How a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drained {
    /// Every request in progress was finished.
    Whole,
    /// The drain time passed first.
    Cut {
        /// How many connections were still open.
        connections: usize,
    },
}

/// The ways in which a server can fail.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't listen on {address}")]
    Bind {
        /// The address as given.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The server failed while it ran.
    #[error("the server failed")]
    Serve(#[from] io::Error),
}

/// A bound server that does not serve yet.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
    address: SocketAddr,
    limits: Limits,
}

impl Server {
    /// Listens on an address; port zero lets the system choose.
    ///
    /// See also [`Self::serve`].
    ///
    /// # Errors
    ///
    /// Fails where the address can't be listened on.
    pub async fn bind(address: SocketAddr, limits: Limits) -> Result<Self, Error> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Bind { address, source })?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            limits,
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `stop` is done, then finishes what is in progress.
    ///
    /// See also [`Limits`] for the two bounds of the end.
    ///
    /// # Errors
    ///
    /// Fails where the listener fails.
    pub async fn serve(
        self,
        router: Router,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Result<Drained, Error> {
        let Limits {
            connections,
            linger,
            drain,
            patience,
        } = self.limits;
        let cut = CancellationToken::new();
        let listener = Listener::new(self.listener, connections, cut.clone()).patience(patience);
        let permits = listener.permits();
        let leaving = Arc::new(AtomicBool::new(false));
        let router = router
            .layer(middleware::from_fn_with_state(leaving.clone(), announce))
            .layer(middleware::from_fn(hold));
        let (closing, closed) = oneshot::channel();
        let serving = axum::serve(
            listener,
            router.into_make_service_with_connect_info::<Cut>(),
        )
        .with_graceful_shutdown(async move {
            stop.await;
            leaving.store(true, Ordering::Relaxed);
            sleep(linger).await;
            // The receiver is gone only when the server is.
            let _ = closing.send(());
        });
        let mut serving = Box::pin(serving.into_future());
        tokio::select! {
            ended = &mut serving => ended?,
            _ = closed => match timeout(drain, &mut serving).await {
                Ok(ended) => ended?,
                Err(_) => {
                    let connections = connections - permits.available_permits();
                    cut.cancel();
                    return Ok(Drained::Cut { connections });
                }
            },
        }
        Ok(Drained::Whole)
    }
}

/// Tells callers to close their connection once the server is leaving.
async fn announce(
    State(leaving): State<Arc<AtomicBool>>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    if leaving.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
