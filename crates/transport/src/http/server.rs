//! Serving with a graceful end.

use std::{
    convert::Infallible,
    future::Future,
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
    body::{
        Body,
        HttpBody, //
    },
    extract::{
        ConnectInfo,
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
use fulmarpier_state::unit::Bytes;
use http_body_util::BodyExt;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use tokio::{
    net::TcpListener,
    pin,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};
use tower::ServiceExt;

use super::{
    body::{
        Caller,
        Metered, //
    },
    connection::{
        Connection,
        Cut,
        Listener, //
    },
    patience::Patience,
};
use crate::crowd::{
    Crowd,
    Member, //
};

/// The largest head of a request, in bytes; the least that the HTTP library allows as its limit.
const MAX_HEAD: usize = 8 << 10;
/// The largest answer, in bytes, that counts as a part of what a connection takes by itself.
const SMALL_ANSWER: u64 = 2 << 10;
/// The memory for what clients send, where nothing else is said.
const DEFAULT_MEMORY: Bytes = Bytes::from_mib(64);

/// The bounds of one server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most connections open at once. A further one takes the place of that which came no further for longest, or
    /// waits where all are being served.
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
    /// Bounds what is held for all callers; servers may share it.
    pub crowd: Crowd,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 1_000,
            linger: Duration::from_secs(2),
            drain: Duration::from_secs(30),
            patience: Patience::default(),
            crowd: Crowd::new(DEFAULT_MEMORY),
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
    /// The system doesn't say where the server listens.
    #[error("the server has no address")]
    Address(#[from] io::Error),
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
    pub async fn serve(
        self,
        router: Router,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> Drained {
        let Limits { linger, drain, .. } = self.limits;
        let cut = CancellationToken::new();
        let leaving = Arc::new(AtomicBool::new(false));
        let router = router.layer(middleware::from_fn_with_state(leaving.clone(), announce));
        let connections = Connections {
            http: self.protocol(),
            router,
            patience: self.limits.patience,
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        let crowd = self.limits.crowd;
        let listener = Listener::within(self.listener, self.limits.connections, cut.clone(), crowd);
        let stopped = async {
            stop.await;
            leaving.store(true, Ordering::Relaxed);
            sleep(linger).await;
        };
        tokio::select! {
            () = stopped => {}
            () = connections.serve_all(&listener) => {}
        }
        drop(listener);
        connections.closing.cancel();
        connections.tasks.close();
        match timeout(drain, connections.tasks.wait()).await {
            Ok(()) => Drained::Whole,
            Err(_) => {
                let connections = connections.tasks.len();
                cut.cancel();
                Drained::Cut { connections }
            }
        }
    }

    /// Returns the protocol with the limits that the HTTP library has itself: the size of a head, the number of its
    /// headers, and the time in which it must come.
    fn protocol(&self) -> http1::Builder {
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(self.limits.patience.idle)
            .max_buf_size(MAX_HEAD);
        http
    }
}

/// What serves the connections of one server.
struct Connections {
    http: http1::Builder,
    router: Router,
    patience: Patience,
    /// Cancelled when connections have to end after their present request.
    closing: CancellationToken,
    tasks: TaskTracker,
}

impl Connections {
    /// Accepts and serves connections for ever.
    async fn serve_all(&self, listener: &Listener) {
        loop {
            let (connection, _) = listener.accept().await;
            self.serve(connection.patience(self.patience));
        }
    }

    fn serve(&self, connection: Connection) {
        let handler = Handler {
            router: self.router.clone(),
            cut: connection.cut(),
            member: connection.membership().member().clone(),
            patience: self.patience.body,
        };
        let service = service_fn(move |request| handler.clone().handle(request));
        let serving = self
            .http
            .serve_connection(TokioIo::new(connection), service);
        let closing = self.closing.clone();
        self.tasks.spawn(async move {
            pin!(serving);
            // A caller that left or sent nonsense ends only its own connection.
            tokio::select! {
                _ = &mut serving => return,
                () = closing.cancelled() => serving.as_mut().graceful_shutdown(),
            }
            let _ = serving.await;
        });
    }
}

/// What handles the requests of one connection.
#[derive(Clone)]
struct Handler {
    router: Router,
    cut: Cut,
    member: Arc<Member>,
    patience: Duration,
}

impl Handler {
    async fn handle(self, request: hyper::Request<Incoming>) -> Result<Response, Infallible> {
        let entry = Entry::new(self.member.clone());
        let cut = self.cut.clone();
        let mut request = request.map(|body| match body.is_end_stream() {
            true => Body::empty(),
            false => Body::new(Metered::new(
                Body::new(body),
                self.member.clone(),
                self.patience,
            )),
        });
        let extensions = request.extensions_mut();
        extensions.insert(ConnectInfo(self.cut));
        extensions.insert(Caller::new(self.member.clone()));
        let response = self.router.oneshot(request).await?;
        // What the request made the process hold is gone; the answer stays until the next request.
        self.member.release(0);
        // A streamed body tells no length here, and is not held.
        let length = response.body().size_hint().exact().unwrap_or_default();
        if length > SMALL_ANSWER && !self.member.hold(length) {
            // The request may have run: no other answer would be true.
            cut.cut();
        }
        // The body owns the entry; the length of the body stays known this way.
        Ok(response.map(|body| {
            Body::new(body.map_err(move |error| {
                let _held = &entry;
                error
            }))
        }))
    }
}

/// Counts a request as in progress until the last of its answer is handed to the connection.
struct Entry(Arc<Member>);

impl Entry {
    fn new(member: Arc<Member>) -> Self {
        member.begin();
        Self(member)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.0.leave();
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
