//! Starts and stops a node and serves the requests of its peers.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
};

use fulmarpier_cell::{
    bounds::Bounds,
    id::NodeName,
    ownership::Ballot, //
};
use fulmarpier_state::unit::{
    Bandwidth,
    Bytes,
    Millicores, //
};
use fulmarpier_transport::{
    clock::Clock,
    crowd::Crowd,
    rpc, //
};
use slog::{
    Discard,
    Logger, //
};
use tokio::{
    runtime::Handle,
    sync::{
        Notify,
        mpsc,
        watch, //
    },
    time::{
        Instant,
        MissedTickBehavior,
        interval,
        sleep, //
    },
};

use crate::{
    assignment::Peer,
    client_limits,
    config_exchange,
    dispatch::Dispatcher,
    frontend::Frontend,
    health::StoreHealth,
    intake::Intake,
    lag::{
        self,
        LagMonitor, //
    },
    member,
    message::{
        self,
        Reply,
        Request, //
    },
    network::{
        self,
        Endpoint,
        Network, //
    },
    operator,
    owner::{
        self,
        Event, //
    },
    platform::{
        Platform,
        StoreLimits, //
    },
    revocation::RevocationLimit,
    shared::Shared,
    succession::{
        self,
        Hello, //
    },
    telemetry::{
        Meter,
        millis, //
    },
    watch as store_watch,
    work, //
};

/// How long a peer may send no hello before it is dropped and gets no more requests for advice.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The interval between checks for peers that are gone; new peers are noticed at once.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// The minimum time between two updates of the engine's list of peers: all peers send hellos to a new owner within a
/// second.
const MIN_PEER_UPDATE_INTERVAL: Duration = Duration::from_millis(25);
/// One in this many of a node's file descriptors is for connections of its peers.
const PEER_DESCRIPTOR_DIVISOR: u32 = 4;
/// One in this many bytes of a node's memory is for messages of its peers that are not whole yet.
const PEER_MEMORY_DIVISOR: u64 = 8;
/// The interval between reports of suppressed log lines.
const SUPPRESSED_LINES_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between reports of where the processor time goes.
const WORK_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// An error that prevents a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for peer connections can't be listened on.
    #[error("can't listen on {address} for peer connections")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread can't be spawned.
    #[error("can't spawn a thread")]
    Thread(#[source] io::Error),
}

/// The identity and the resources of a node.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name, which stays the same across restarts.
    pub name: NodeName,
    /// The address for peer connections.
    pub address: SocketAddr,
    /// The incarnation, which tells this run of the process from earlier ones.
    pub incarnation: u64,
    /// The processor time that the node may use.
    pub processor: Millicores,
    /// The bandwidth of the node's network link.
    pub link: Bandwidth,
    /// The maximum number of open files and connections.
    pub descriptors: u32,
    /// The memory of its machine.
    pub memory: Bytes,
}

/// The components and settings that a node is built from.
#[derive(Debug)]
pub struct Parts<P> {
    /// The identity and resources of the node.
    pub identity: Identity,
    /// The bounds that the platform guarantees for its workers.
    pub bounds: Bounds,
    /// How long nodes may accept keys while they can't read the configuration.
    pub revocation_limit: RevocationLimit,
    /// The platform interface.
    pub platform: P,
    /// How much the platform's store takes at once.
    pub store_limits: StoreLimits,
    /// The logger.
    pub log: Logger,
    /// The metrics recorder.
    pub meter: Meter,
    /// The runtime that keeps the ownership of the cell. If it is not the one that starts the node, the load of the node
    /// doesn't delay what the ownership depends on.
    pub membership: Handle,
}

/// A running node.
pub struct Node<P: Platform> {
    shared: Arc<Shared<P>>,
    frontend: Frontend<P>,
    server: Box<dyn network::Server>,
}

impl<P: Platform> Node<P> {
    /// Starts a node; it claims the cell when no other node owns it.
    ///
    /// # Errors
    ///
    /// Fails if the address for peer connections can't be listened on or a thread can't be spawned.
    pub fn start(parts: Parts<P>) -> Result<Self, Error> {
        Self::start_on(&network::Tcp, parts)
    }

    /// Starts a node on a network, see [`Self::start`].
    ///
    /// # Errors
    ///
    /// Fails if the network can't be connected to.
    pub fn start_on(network: &impl Network, parts: Parts<P>) -> Result<Self, Error> {
        let Identity {
            name,
            address,
            incarnation,
            processor,
            link,
            descriptors,
            memory,
        } = parts.identity;
        let peers = Crowd::new(Bytes(memory.get() / PEER_MEMORY_DIVISOR));
        let Endpoint {
            client,
            server,
            calls,
        } = network.connect(address, peer_limits(descriptors, peers.clone()))?;
        let clock = Clock::start();
        let ballot = Ballot::new(clock.now() + parts.platform.total_suspension());
        let shared = Arc::new(Shared {
            name,
            address: server.address(),
            incarnation,
            strength: succession::strength(processor, link),
            descriptors,
            started_at: Instant::now(),
            bounds: parts.bounds,
            revocation_limit: parts.revocation_limit,
            membership_platform: parts.platform.with_own_connections(),
            runtime: Handle::current(),
            platform: parts.platform,
            store_limits: parts.store_limits,
            rpc: client,
            clock,
            log: parts.log.clone(),
            meter: parts.meter,
            work: work::Meter::default(),
            config: watch::Sender::new(None),
            config_record: watch::Sender::new(None),
            config_confirmed_at: watch::Sender::new(Instant::now()),
            operator: operator::ReadState::default(),
            evacuation: watch::Sender::new(None),
            claim: watch::Sender::new(None),
            ownership: watch::Sender::new(None),
            known_peers: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            owner_lost: Notify::new(),
            stalled: Notify::new(),
            received_hellos: Mutex::default(),
            lag: LagMonitor::default(),
            store: StoreHealth::new(parts.log),
            // The other one logs the changes.
            membership_store: StoreHealth::new(Logger::root(Discard, slog::o!())),
            probe_cache: member::ProbeCache::default(),
            strongest_owner: AtomicU32::new(0),
            is_isolated: AtomicBool::new(false),
            ballot: ballot.into(),
        });
        let intake = Intake::start(&shared);
        tokio::spawn(store_watch::follow_operator(shared.clone()));
        tokio::spawn(config_exchange::poll_owner(shared.clone()));
        parts.membership.spawn(member::run(shared.clone()));
        tokio::spawn(log_suppressed_lines(shared.clone()));
        tokio::spawn(report_work(shared.clone()));
        tokio::spawn(client_limits::report(
            "peers",
            peers,
            shared.log.clone(),
            shared.meter.clone(),
        ));
        parts.membership.spawn(lag::run(shared.clone()));
        let peer_service = PeerService::new(shared.clone());
        tokio::spawn(peer_service.clone().track_peers());
        let (others, other_calls) = mpsc::channel(calls.max_capacity());
        tokio::spawn(peer_service.clone().run(other_calls));
        let membership = peer_service.run_membership(calls, others);
        parts.membership.spawn(membership);
        let frontend = Frontend::new(shared.clone(), intake);
        Ok(Self {
            shared,
            frontend,
            server,
        })
    }

    /// Returns the handle that serves callers.
    pub fn frontend(&self) -> Frontend<P> {
        self.frontend.clone()
    }

    /// Makes the node give up its ownership and claim no more; it still serves callers.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        self.shared.ownership.send_modify(|_| {});
        self.shared.owner_lost.notify_waiters();
    }

    /// Waits until the node has given up its ownership, for `timeout` at most.
    pub async fn wait_for_release(&self, timeout: Duration) {
        let mut ownership = self.shared.ownership.subscribe();
        let released = ownership.wait_for(Option::is_none);
        // After the timeout, the process ends anyway.
        let _ = tokio::time::timeout(timeout, released).await;
    }

    /// Returns the number of nodes that have recently sent hellos to this node as the owner.
    pub async fn peer_count(&self) -> usize {
        self.shared.hellos().len()
    }

    /// Returns the number of requests to other nodes that wait for a reply.
    pub fn pending_requests(&self) -> usize {
        self.shared.rpc.pending()
    }

    /// Stops serving peers; requests in progress get up to `drain` to finish.
    pub async fn stop(self, drain: Duration) {
        self.server.close(drain).await;
    }
}

/// Returns the limits of the peer server. All nodes of a cell keep a connection to its owner.
fn peer_limits(descriptors: u32, crowd: Crowd) -> rpc::ServerLimits {
    rpc::ServerLimits {
        connections: usize::try_from(descriptors / PEER_DESCRIPTOR_DIVISOR)
            .unwrap_or(usize::MAX)
            .max(1),
        crowd,
        ..rpc::ServerLimits::default()
    }
}

/// Logs the number of suppressed log lines of each kind and reason, for as long as the process runs.
async fn log_suppressed_lines<P: Platform>(shared: Arc<Shared<P>>) {
    let mut ticks = interval(SUPPRESSED_LINES_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for ((kind, reason), count) in shared.meter.take_suppressed_lines() {
            slog::warn!(shared.log, "lines-left-out"; "kind" => kind, "why" => reason, "count" => count);
        }
    }
}

/// Counts where the processor time of this node goes, for as long as the process runs, and logs it while the node owns
/// the cell.
async fn report_work<P: Platform>(shared: Arc<Shared<P>>) {
    let runtime = Handle::current().metrics();
    let busy_time = || runtime.worker_total_busy_duration(0);
    let (mut before, mut busy_before) = (shared.work.usage(), busy_time());
    loop {
        let began = Instant::now();
        sleep(WORK_REPORT_INTERVAL).await;
        let (usage, busy) = (shared.work.usage(), busy_time());
        let spent = usage.since(&before);
        shared.meter.work(&spent);
        let epoch = shared
            .ownership
            .borrow()
            .as_ref()
            .map(|own| own.claim.epoch);
        if let Some(epoch) = epoch {
            slog::info!(shared.log, "work"; "epoch" => %epoch, "period_ms" => millis(began.elapsed()),
                "busy_ms" => millis(busy.saturating_sub(busy_before)),
                "passes" => spent.pieces(work::Kind::Pass), "reports" => spent.pieces(work::Kind::Report),
                spent);
        }
        (before, busy_before) = (usage, busy);
    }
}

/// Serves the requests of peers.
struct PeerService<P: Platform> {
    shared: Arc<Shared<P>>,
    dispatcher: Dispatcher<P>,
    /// Notified when a peer is new or has changed.
    peer_change: Arc<Notify>,
}

impl<P: Platform> Clone for PeerService<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            dispatcher: self.dispatcher.clone(),
            peer_change: self.peer_change.clone(),
        }
    }
}

impl<P: Platform> PeerService<P> {
    fn new(shared: Arc<Shared<P>>) -> Self {
        Self {
            dispatcher: Dispatcher::start(shared.clone()),
            shared,
            peer_change: Arc::default(),
        }
    }

    /// Serves the requests that concern the ownership of the cell as they arrive, and passes the others on.
    async fn run_membership(
        self,
        mut calls: mpsc::Receiver<rpc::Incoming>,
        others: mpsc::Sender<rpc::Incoming>,
    ) {
        let (membership, queue) = mpsc::channel(calls.max_capacity());
        tokio::spawn(self.run(queue));
        while let Some(incoming) = calls.recv().await {
            let queue = match message::concerns_membership(&incoming.call) {
                true => &membership,
                false => &others,
            };
            // A caller whose call is dropped is told that it has failed.
            let _ = queue.try_send(incoming);
        }
    }

    async fn run(self, mut calls: mpsc::Receiver<rpc::Incoming>) {
        while let Some(incoming) = calls.recv().await {
            let peer_service = self.clone();
            tokio::spawn(async move {
                let Some(request) = message::decode_request(&incoming.call) else {
                    return;
                };
                let (work, kind) = (peer_service.shared.work.clone(), request.kind_of_work());
                peer_service.shared.platform.work(kind, 1).await;
                let reply = work.track(kind, peer_service.reply(request)).await;
                if let Some(answer) = message::encode_reply(&reply) {
                    // The caller may have given up.
                    let _ = incoming.answer.send(answer);
                }
            });
        }
    }

    async fn reply(&self, request: Request) -> Reply {
        let shared = &self.shared;
        shared.meter.peer_call(request.as_str());
        match request {
            Request::Hello(hello) => self.record_hello(hello).await,
            Request::Advise {
                step,
                workers,
                timeout,
            } => Reply::Advised(shared.platform.advise(step, workers, timeout).await),
            Request::ProbeStore => Reply::StoreLatency(member::recent_store_latency(shared).await),
            Request::Configuration(known) => {
                Reply::Configuration(config_exchange::current(shared, known))
            }
            Request::ConfirmOwner(epoch) => Reply::Vote(shared.vote(epoch)),
            Request::Fence(epoch) => {
                shared.fence_earlier_owners(epoch);
                Reply::Ack
            }
            Request::Orders(orders) => match self.dispatcher.dispatch(orders) {
                true => Reply::Ack,
                false => self.not_owner(),
            },
            Request::Released(epoch) => {
                if shared.epoch() == epoch {
                    shared.owner_lost.notify_waiters();
                }
                Reply::Ack
            }
            Request::HandedOver(claim) => {
                if claim.epoch > shared.epoch() {
                    shared.fence_earlier_owners(claim.epoch);
                    shared.record_claim(claim);
                    shared.owner_lost.notify_one();
                }
                Reply::Ack
            }
            other => {
                let reply = match shared.engine_handle() {
                    Some(engine) => owner::handle_request(&engine, other).await,
                    None => None,
                };
                reply.unwrap_or_else(|| self.not_owner())
            }
        }
    }

    /// Answers a hello and, if this node is the owner, records the peer.
    async fn record_hello(&self, hello: Hello) -> Reply {
        let shared = &self.shared;
        let ownership = shared.ownership.borrow().clone();
        let Some(ownership) = ownership else {
            return self.not_owner();
        };
        let peer = Peer::from(&hello);
        let now = Instant::now();
        let previous = shared.hellos().insert(hello.node.clone(), (hello, now));
        if previous.is_none_or(|(previous, _)| Peer::from(&previous) != peer) {
            self.peer_change.notify_one();
        }
        Reply::Owner(ownership.claim, operator::position(shared))
    }

    fn not_owner(&self) -> Reply {
        Reply::NotOwner {
            claim: self.shared.claim.borrow().clone(),
            incarnation: self.shared.incarnation,
        }
    }

    /// Drops peers that are gone and sends the engine the list of peers whenever it changes.
    async fn track_peers(self) {
        let mut last_sent: Option<(u32, Vec<Peer>)> = None;
        let mut ticks = interval(PEER_CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ownership = self.shared.ownership.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.peer_change.notified() => {}
                // This can't fail: the sender outlives this task.
                _ = ownership.changed() => {}
            }
            let owned = self.shared.ownership.borrow().clone();
            let Some((claim, actor)) =
                owned.and_then(|owned| Some((owned.claim, owned.engine?.actor)))
            else {
                last_sent = None;
                continue;
            };
            self.shared
                .hellos()
                .retain(|_, (_, at)| at.elapsed() < PEER_TIMEOUT);
            let peers = self.shared.hello_peers();
            self.shared.set_peers(peers.clone());
            let update = (claim.epoch.0, peers.clone());
            if last_sent.as_ref() == Some(&update) {
                continue;
            }
            slog::info!(self.shared.log, "nodes"; "epoch" => %claim.epoch,
                "count" => peers.len() + 1);
            // The actor may be stopping.
            let _ = actor.tell(Event::Peers(peers)).await;
            last_sent = Some(update);
            sleep(MIN_PEER_UPDATE_INTERVAL).await;
        }
    }
}
