//! Opening and closing the listeners of one worker's targets.

use std::{
    io,
    net::{
        IpAddr,
        SocketAddr,
        TcpListener as StdListener, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU16,
            Ordering, //
        },
    },
    time::Duration,
};

use axum::Router;
use fulmarpier_coordination::platform::target::Id;
use fulmarpier_state::id::WorkerId;
use fulmarpier_transport::{
    clock::Clock,
    http::{
        Cut,
        Listener, //
    },
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};
use tokio_util::sync::CancellationToken;

use super::server::answer;
use crate::{
    fault::Faults,
    record::Record, //
};

/// What all targets of one worker share.
#[derive(Clone, Debug)]
pub struct Host {
    /// The worker.
    pub worker: WorkerId,
    /// Where the targets listen.
    pub ip: IpAddr,
    /// The most connections to one target.
    pub connections: usize,
    /// How long a request takes that does not say.
    pub work: Duration,
    /// The clock of the record.
    pub clock: Clock,
    /// The record.
    pub record: Record,
    /// The faults.
    pub faults: Faults,
    /// Whether the worker is paused.
    pub paused: watch::Receiver<bool>,
}

impl Host {
    /// Opens a target; port zero lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails where the port is taken.
    pub fn open(&self, id: Id, slots: u16, port: u16) -> io::Result<Target> {
        let listener = StdListener::bind((self.ip, port))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id,
            slots,
            busy: AtomicU16::new(0),
            leaving: AtomicBool::new(false),
            host: self.clone(),
        });
        let end = CancellationToken::new();
        let router = Router::new().fallback(answer).with_state(shared.clone());
        let service = router.into_make_service_with_connect_info::<Cut>();
        let listener = Listener::new(listener, self.connections, end.clone());
        let serving = axum::serve(listener, service);
        tokio::spawn(end.clone().run_until_cancelled_owned(serving.into_future()));
        Ok(Target {
            address,
            shared,
            end,
        })
    }
}

/// What the handlers of one target share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) id: Id,
    pub(super) host: Host,
    slots: u16,
    busy: AtomicU16,
    leaving: AtomicBool,
}

impl Shared {
    /// Takes a slot, where one is free and the target stays.
    pub(super) fn take(self: &Arc<Self>) -> Option<Slot> {
        if self.leaving.load(Ordering::Acquire) {
            return None;
        }
        let free = |busy: u16| (busy < self.slots).then_some(busy + 1);
        self.busy
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, free)
            .ok()?;
        Some(Slot(self.clone()))
    }

    /// Waits while the worker is paused.
    pub(super) async fn awake(&self) {
        let mut paused = self.host.paused.clone();
        // The worker is gone only when the target is.
        let _ = paused.wait_for(|paused| !paused).await;
    }
}

/// One taken slot, free again when dropped.
pub(super) struct Slot(Arc<Shared>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An open target; dropping it resets its connections.
#[derive(Debug)]
pub struct Target {
    address: SocketAddr,
    shared: Arc<Shared>,
    end: CancellationToken,
}

impl Target {
    /// Returns where the target listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many slots are taken.
    pub fn busy(&self) -> u16 {
        self.shared.busy.load(Ordering::Acquire)
    }

    /// Turns requests away from now on.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Release);
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.end.cancel();
    }
}
