//! The node itself: its parts, what it answers other nodes, and its end.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
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
    id::NodeName, //
};
use fulmarpier_state::unit::{
    Bandwidth,
    Millicores, //
};
use fulmarpier_transport::{
    clock::Clock,
    rpc, //
};
use slog::Logger;
use tokio::{
    sync::{
        Mutex,
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
    edition,
    front::Front,
    hand::Hand,
    health::StoreHealth,
    intake::Intake,
    member,
    message::{
        self,
        Question,
        Reply, //
    },
    operator,
    owner::{
        self,
        Event, //
    },
    port::Platform,
    pulse::{
        self,
        Pulse, //
    },
    report::Meter,
    revocation::Revocation,
    share::Peer,
    shared::Shared,
    succession::{
        self,
        Greeting, //
    },
    watch as follow,
};

/// A node that has not said that it is there for this long gets no calls for advice.
const PEER_GONE: Duration = Duration::from_millis(1_600);
/// How often nodes that went away are noticed; new ones are at once.
const SWEEP: Duration = Duration::from_millis(400);
/// The least time between two changes of the nodes that the engine is told: all greet a new owner within a second.
const SWEEP_GAP: Duration = Duration::from_millis(25);
/// The part of its descriptors that a node has for connections of other nodes.
const PEERS_PART: u32 = 4;
/// How often lines that were left out of the log are counted.
const LEFT_OUT: Duration = Duration::from_secs(1);

/// The ways in which a node can fail to start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address for other nodes can't be listened on.
    #[error("can't listen on {address} for other nodes")]
    Listen {
        /// The address as given.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The system gives no thread.
    #[error("the system gives no thread")]
    Thread(#[source] io::Error),
}

/// Which node this is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name, the same over all its lives.
    pub name: NodeName,
    /// Where it answers other nodes.
    pub address: SocketAddr,
    /// Tells this life from earlier ones.
    pub incarnation: u64,
    /// How much of a processor it may use.
    pub processor: Millicores,
    /// How much its link carries.
    pub link: Bandwidth,
    /// How many files and connections it may have open.
    pub descriptors: u32,
}

/// What a node is made of.
#[derive(Debug)]
pub struct Parts<P> {
    /// Which node.
    pub identity: Identity,
    /// What the platform promises of its workers.
    pub bounds: Bounds,
    /// For how long nodes may go by keys while they can't read the configuration.
    pub revocation: Revocation,
    /// The platform.
    pub platform: P,
    /// Where the log goes.
    pub log: Logger,
    /// The metrics.
    pub meter: Meter,
}

/// A running node.
pub struct Node<P: Platform> {
    shared: Arc<Shared<P>>,
    front: Front<P>,
    server: rpc::Server,
}

impl<P: Platform> Node<P> {
    /// Starts a node; it claims the cell when nobody else owns it.
    ///
    /// # Errors
    ///
    /// Fails where the address for other nodes can't be listened on.
    pub fn start(parts: Parts<P>) -> Result<Self, Error> {
        let Identity {
            name,
            address,
            incarnation,
            processor,
            link,
            descriptors,
        } = parts.identity;
        let listen = |source| Error::Listen { address, source };
        let (server, calls) =
            rpc::Server::start(address, peer_limits(descriptors)).map_err(listen)?;
        let client = rpc::Client::start(rpc::ClientLimits::default()).map_err(Error::Thread)?;
        let shared = Arc::new(Shared {
            name,
            address: server.address(),
            incarnation,
            strength: succession::strength(processor, link),
            descriptors,
            began: Instant::now(),
            bounds: parts.bounds,
            revocation: parts.revocation,
            platform: parts.platform,
            rpc: client,
            clock: Clock::start(),
            log: parts.log.clone(),
            meter: parts.meter,
            config: watch::Sender::new(None),
            config_record: watch::Sender::new(None),
            config_read: watch::Sender::new(Instant::now()),
            operator: operator::Reading::default(),
            evacuation: watch::Sender::new(None),
            claim: watch::Sender::new(None),
            acting: watch::Sender::new(None),
            peers: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            vacant: Notify::new(),
            stalled: Notify::new(),
            greetings: Mutex::default(),
            pulse: Pulse::default(),
            store: StoreHealth::new(parts.log),
            probe: member::Probe::default(),
            strongest: AtomicU32::new(0),
            is_alone: AtomicBool::new(false),
        });
        let intake = Intake::start(&shared);
        tokio::spawn(follow::follow_operator(shared.clone()));
        tokio::spawn(edition::hear(shared.clone()));
        tokio::spawn(member::run(shared.clone()));
        tokio::spawn(count_left_out(shared.clone()));
        tokio::spawn(pulse::run(shared.clone()));
        let answering = Answering::new(shared.clone());
        tokio::spawn(answering.clone().sweep());
        tokio::spawn(answering.run(calls));
        let front = Front::new(shared.clone(), intake);
        Ok(Self {
            shared,
            front,
            server,
        })
    }

    /// Returns what serves callers.
    pub fn front(&self) -> Front<P> {
        self.front.clone()
    }

    /// Takes no more ownership and gives up the one it has; callers are served on.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
        self.shared.acting.send_modify(|_| {});
        self.shared.vacant.notify_waiters();
    }

    /// Waits until the ownership is given up, for as long as `patience`.
    pub async fn disowned(&self, patience: Duration) {
        let mut acting = self.shared.acting.subscribe();
        let gone = acting.wait_for(Option::is_none);
        // Past its patience the process ends all the same.
        let _ = tokio::time::timeout(patience, gone).await;
    }

    /// Returns how many nodes have greeted this one as the owner of late.
    pub async fn greeted_by(&self) -> usize {
        self.shared.greetings.lock().await.len()
    }

    /// Stops answering other nodes.
    pub async fn stop(self, drain: Duration) {
        drop(self.server.close(drain).await);
    }
}

/// Returns the bounds of the server for other nodes: all of a cell keep a connection to its owner.
fn peer_limits(descriptors: u32) -> rpc::ServerLimits {
    rpc::ServerLimits {
        connections: usize::try_from(descriptors / PEERS_PART)
            .unwrap_or(usize::MAX)
            .max(1),
        ..rpc::ServerLimits::default()
    }
}

async fn count_left_out<P: Platform>(shared: Arc<Shared<P>>) {
    let mut ticks = interval(LEFT_OUT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (kind, count) in shared.meter.take_left_out() {
            slog::warn!(shared.log, "lines-left-out"; "kind" => kind, "count" => count);
        }
    }
}

/// Answers other nodes.
struct Answering<P: Platform> {
    shared: Arc<Shared<P>>,
    hand: Hand<P>,
    /// Rung when a node is heard that was not there.
    news: Arc<Notify>,
}

impl<P: Platform> Clone for Answering<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            hand: self.hand.clone(),
            news: self.news.clone(),
        }
    }
}

impl<P: Platform> Answering<P> {
    fn new(shared: Arc<Shared<P>>) -> Self {
        Self {
            hand: Hand::start(shared.clone()),
            shared,
            news: Arc::default(),
        }
    }

    async fn run(self, mut calls: mpsc::Receiver<rpc::Incoming>) {
        while let Some(incoming) = calls.recv().await {
            let answering = self.clone();
            tokio::spawn(async move {
                let Some(question) = message::question(&incoming.call) else {
                    return;
                };
                let reply = answering.reply(question).await;
                if let Some(answer) = message::answer(&reply) {
                    // The caller may be gone.
                    let _ = incoming.answer.send(answer);
                }
            });
        }
    }

    async fn reply(&self, question: Question) -> Reply {
        let shared = &self.shared;
        shared.meter.peer_call(question.word());
        match question {
            Question::Hello(greeting) => self.hello(greeting).await,
            Question::Advise {
                step,
                workers,
                patience,
            } => Reply::Advised(shared.platform.advise(step, workers, patience).await),
            Question::Store => Reply::Store(member::vouch(shared).await),
            Question::Configuration(known) => Reply::Configuration(edition::tell(shared, known)),
            Question::Orders(orders) => match self.hand.take(orders) {
                true => Reply::Noted,
                false => self.not_owner(),
            },
            Question::Vacant(epoch) => {
                if shared.epoch() == epoch {
                    shared.vacant.notify_waiters();
                }
                Reply::Noted
            }
            Question::Handed(claim) => {
                if claim.epoch > shared.epoch() {
                    shared.note_claim(claim);
                    shared.vacant.notify_one();
                }
                Reply::Noted
            }
            other => {
                let reply = match shared.seat() {
                    Some(seat) => owner::accept(&seat, other).await,
                    None => None,
                };
                reply.unwrap_or_else(|| self.not_owner())
            }
        }
    }

    async fn hello(&self, greeting: Greeting) -> Reply {
        let shared = &self.shared;
        let acting = shared.acting.borrow().clone();
        let Some(acting) = acting else {
            return self.not_owner();
        };
        let peer = Peer::from(&greeting);
        let now = Instant::now();
        let mut greetings = shared.greetings.lock().await;
        let before = greetings.insert(greeting.node.clone(), (greeting, now));
        if before.is_none_or(|(before, _)| Peer::from(&before) != peer) {
            self.news.notify_one();
        }
        Reply::Owner(acting.claim, operator::extent(shared))
    }

    fn not_owner(&self) -> Reply {
        Reply::NotOwner {
            claim: self.shared.claim.borrow().clone(),
            incarnation: self.shared.incarnation,
        }
    }

    /// Tells the engine which nodes are there, whenever that changes.
    async fn sweep(self) {
        let mut told: Option<(u32, Vec<Peer>)> = None;
        let mut ticks = interval(SWEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ownership = self.shared.acting.subscribe();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.news.notified() => {}
                // The sender lives as long as this task.
                _ = ownership.changed() => {}
            }
            let acting = self.shared.acting.borrow().clone();
            let Some((acting, control)) =
                acting.and_then(|acting| Some((acting.claim, acting.seat?.control)))
            else {
                told = None;
                continue;
            };
            let mut greetings = self.shared.greetings.lock().await;
            greetings.retain(|_, (_, at)| at.elapsed() < PEER_GONE);
            drop(greetings);
            let peers = self.shared.greeted().await;
            *self.shared.peers.lock().await = peers.clone();
            let news = (acting.epoch.0, peers.clone());
            if told.as_ref() == Some(&news) {
                continue;
            }
            slog::info!(self.shared.log, "nodes"; "epoch" => %acting.epoch,
                "count" => peers.len() + 1);
            // The actor may be ending.
            let _ = control.tell(Event::Peers(peers)).await;
            told = Some(news);
            sleep(SWEEP_GAP).await;
        }
    }
}
