//! The calling side: a handle for the process and the thread that holds the connections.

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

use fulmarpier_protocol::wire::{
    Answer,
    Call, //
};
use fulmarpier_state::alias::HashMap;
use tokio::{
    runtime::Builder,
    sync::{
        mpsc::{
            self,
            error::TrySendError, //
        },
        oneshot,
    },
    task::{
        LocalSet,
        spawn_local, //
    },
    time::Instant,
};

use super::{
    error::Error,
    peer::Peer,
    traffic::{
        Totals,
        Traffic, //
    },
};

/// The bounds of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most calls that wait for the client's thread.
    pub queue: usize,
    /// The most calls in progress with one peer.
    pub in_flight: usize,
    /// How long to wait for a connection.
    pub connect: Duration,
    /// How long to wait before the second try to connect; it doubles with each failure.
    pub backoff_first: Duration,
    /// The longest wait between two tries to connect.
    pub backoff_last: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            queue: 4096,
            in_flight: 1024,
            connect: Duration::from_millis(500),
            backoff_first: Duration::from_millis(20),
            backoff_last: Duration::from_secs(1),
        }
    }
}

/// A client of all peers; cheap to clone. The thread ends when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Client {
    orders: mpsc::Sender<Order>,
    traffic: Arc<Traffic>,
    pending: Arc<AtomicUsize>,
}

/// Counts one call for as long as it lives.
struct Pending<'a>(&'a AtomicUsize);

impl<'a> Pending<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One call on its way to the client's thread.
#[derive(Debug)]
struct Order {
    address: SocketAddr,
    call: Call,
    timeout: Duration,
    answer: oneshot::Sender<Result<Answer, Error>>,
}

impl Client {
    /// Starts the thread that holds the connections.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no thread.
    pub fn start(limits: Limits) -> io::Result<Self> {
        let (orders, incoming) = mpsc::channel(limits.queue);
        let traffic = Arc::new(Traffic::default());
        let shared = traffic.clone();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("rpc-client".to_owned())
            .spawn(move || {
                LocalSet::new().block_on(&runtime, run(incoming, limits, shared));
            })?;
        Ok(Self {
            orders,
            traffic,
            pending: Arc::default(),
        })
    }

    /// Makes one call, which runs at most once, and waits for the answer up to `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::not_run`] tells whether the failure proves that the call had no effect.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: Call,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let _pending = Pending::enter(&self.pending);
        let (answer, answered) = oneshot::channel();
        let order = Order {
            address,
            call,
            timeout,
            answer,
        };
        self.orders.try_send(order).map_err(|error| match error {
            TrySendError::Full(_) => Error::Overloaded,
            TrySendError::Closed(_) => Error::Closed,
        })?;
        answered.await.unwrap_or(Err(Error::Disconnected))
    }

    /// Returns how many calls wait for their answers.
    pub fn pending(&self) -> usize {
        self.pending.load(Ordering::Relaxed)
    }

    /// Returns what was counted so far.
    pub fn traffic(&self) -> Totals {
        self.traffic.totals()
    }
}

async fn run(mut orders: mpsc::Receiver<Order>, limits: Limits, traffic: Arc<Traffic>) {
    let mut peers: HashMap<SocketAddr, Rc<Peer>> = HashMap::default();
    while let Some(order) = orders.recv().await {
        let peer = peers
            .entry(order.address)
            .or_insert_with(|| Rc::new(Peer::new(order.address, limits, traffic.clone())))
            .clone();
        let deadline = Instant::now() + order.timeout;
        spawn_local(async move {
            let result = peer.call(order.call, deadline).await;
            // The caller may have given up.
            let _ = order.answer.send(result);
        });
    }
}
