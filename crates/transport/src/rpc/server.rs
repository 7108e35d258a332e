//! The answering side: a listener on a thread of its own.

use std::{
    io,
    net::{
        SocketAddr,
        TcpListener as StdListener, //
    },
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration, //
};

use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side, //
};
use fulmarpier_protocol::wire::sched_capnp::sched;
use fulmarpier_state::unit::Bytes;
use futures::future::join;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    pin,
    runtime::Builder,
    sync::{
        Semaphore,
        mpsc,
        oneshot, //
    },
    task::LocalSet,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};

use super::{
    connections::{
        Connections,
        MIN_IDLE, //
    },
    link::network,
    service::{
        Incoming,
        Open,
        Service, //
    },
    traffic::{
        Totals,
        Traffic, //
    },
};
use crate::{
    crowd::{
        Crowd,
        Membership, //
    },
    http::Drained,
};

/// How long the last answers of a connection may take to be written out.
const FLUSH: Duration = Duration::from_secs(2);
/// How long to wait before accepting again after the system had no room for a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The memory for messages that arrive, where nothing else is said.
const DEFAULT_MEMORY: Bytes = Bytes::from_mib(64);

/// The bounds of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most calls that wait to be taken; further ones are told that it is overloaded.
    pub queue: usize,
    /// The most connections open at once; a further one takes the place of that which was idle for longest.
    pub connections: usize,
    /// Bounds what is held for messages that are not whole yet.
    pub crowd: Crowd,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 4096,
            connections: 1024,
            crowd: Crowd::new(DEFAULT_MEMORY),
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    traffic: Arc<Traffic>,
    port: StdListener,
    closing: oneshot::Sender<Duration>,
    closed: oneshot::Receiver<Drained>,
}

/// A server that has finished, and its port, which stays open until this is dropped.
///
/// To peers a refused connection proves that no process listens here and nothing acts for it any
/// more. So the port must outlive whatever still acts in this process.
#[must_use = "the port closes when this is dropped"]
#[derive(Debug)]
pub struct Closed {
    /// How the server ended.
    pub drained: Drained,
    _port: StdListener,
}

impl Server {
    /// Listens on an address, port zero for any, and hands out the calls that arrive.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be listened on or the system gives no thread.
    pub fn start(
        address: SocketAddr,
        limits: Limits,
    ) -> io::Result<(Self, mpsc::Receiver<Incoming>)> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let port = listener.try_clone()?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (calls, incoming) = mpsc::channel(limits.queue);
        let (closing, close) = oneshot::channel();
        let (report, closed) = oneshot::channel();
        let traffic = Arc::new(Traffic::default());
        let shared = traffic.clone();
        thread::Builder::new()
            .name("rpc-server".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, async move {
                    let acceptor = Acceptor::new(calls, limits, shared);
                    let drained = acceptor.run(listener, close).await;
                    // Nobody may be waiting for the report.
                    let _ = report.send(drained);
                });
            })?;
        let server = Self {
            address,
            traffic,
            port,
            closing,
            closed,
        };
        Ok((server, incoming))
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what was counted so far.
    pub fn traffic(&self) -> Totals {
        self.traffic.totals()
    }

    /// Takes no more calls and finishes those in progress within `drain`.
    ///
    /// See also [`Closed`], which keeps the port.
    pub async fn close(self, drain: Duration) -> Closed {
        // A server whose thread has ended has nothing left to finish.
        let _ = self.closing.send(drain);
        Closed {
            drained: self.closed.await.unwrap_or(Drained::Whole),
            _port: self.port,
        }
    }
}

/// What all connections of one server share, on the server's thread.
struct Acceptor {
    calls: mpsc::Sender<Incoming>,
    permits: Arc<Semaphore>,
    connections: Rc<Connections>,
    open: Rc<Open>,
    traffic: Arc<Traffic>,
    crowd: Crowd,
    /// The number of the listener in the crowd.
    listener: u64,
    tasks: TaskTracker,
    end: CancellationToken,
}

impl Acceptor {
    fn new(calls: mpsc::Sender<Incoming>, limits: Limits, traffic: Arc<Traffic>) -> Self {
        Self {
            calls,
            permits: Arc::new(Semaphore::new(limits.connections)),
            connections: Rc::default(),
            open: Rc::default(),
            traffic,
            listener: limits.crowd.listener(),
            crowd: limits.crowd,
            tasks: TaskTracker::new(),
            end: CancellationToken::new(),
        }
    }

    /// Accepts connections until told to close, then finishes the calls in progress.
    async fn run(self, listener: StdListener, mut close: oneshot::Receiver<Duration>) -> Drained {
        let Ok(listener) = TcpListener::from_std(listener) else {
            return Drained::Whole;
        };
        let drain = tokio::select! {
            // Dropping the server closes it at once.
            drain = &mut close => drain.unwrap_or_default(),
            () = self.accept_all(&listener) => Duration::ZERO,
        };
        self.open.close();
        // New calls are told that they were not run; the port stays open for that.
        let idle = tokio::select! {
            idle = timeout(drain, self.open.idle()) => idle,
            () = self.accept_all(&listener) => Ok(()),
        };
        let connections = self.open.count();
        self.end.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        match idle {
            Ok(()) => Drained::Whole,
            Err(_) => Drained::Cut { connections },
        }
    }

    /// Accepts connections for ever.
    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            self.accept(listener).await;
        }
    }

    /// Evicts a connection if there are as many as allowed.
    ///
    /// Peers keep their connections, so without that the last ones to come would never be answered.
    async fn make_room(&self) {
        while self.permits.available_permits() == 0 && !self.connections.evict_least_recently_used()
        {
            sleep(MIN_IDLE).await;
        }
    }

    async fn accept(&self, listener: &TcpListener) {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            return;
        };
        self.make_room().await;
        let Ok(permit) = self.permits.clone().acquire_owned().await else {
            // The semaphore is never closed.
            return;
        };
        let connection = self.connections.add();
        let service = Service {
            from,
            calls: self.calls.clone(),
            open: self.open.clone(),
            usage: connection.usage(),
        };
        let traffic = self.traffic.clone();
        let end = self.end.clone();
        let membership = self.crowd.join(self.listener, CancellationToken::new());
        self.tasks.spawn_local(async move {
            serve(stream, service, traffic, membership, end).await;
            drop(connection);
            drop(permit);
        });
    }
}

/// Serves one connection until the peer leaves, the connection is evicted or the server ends.
async fn serve(
    stream: TcpStream,
    service: Service,
    traffic: Arc<Traffic>,
    membership: Membership,
    end: CancellationToken,
) {
    let eviction = service.usage.eviction();
    let evicted = eviction.clone();
    let network = network(
        stream,
        Side::Server,
        traffic,
        Arc::default(),
        eviction,
        membership,
    );
    let client: sched::Client = capnp_rpc::new_client(service);
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    let disconnector = system.get_disconnector();
    pin!(system);
    tokio::select! {
        // A peer that left or sent nonsense ends only its own connection.
        _ = &mut system => {}
        () = evicted.cancelled() => {
            // The system ends by itself once it has told the peer why.
            let _ = timeout(FLUSH, system).await;
        }
        () = end.cancelled() => {
            // What can't be written out in time is lost with the connection.
            let _ = timeout(FLUSH, join(disconnector, system)).await;
        }
    }
}
