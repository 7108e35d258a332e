//! The node itself: its parts, what it answers other nodes, and its end.

use std::{
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

use fulmarpier_cell::{
    bounds::Bounds,
    id::NodeName, //
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    unit::Millicores, //
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
        MissedTickBehavior,
        interval, //
    },
};

use crate::{
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
    owner::{
        self,
        Event,
        Peer, //
    },
    port::Platform,
    report::Meter,
    shared::Shared,
    watch as follow,
};

/// A node that has not said that it is there for this long gets no calls for advice.
const PEER_GONE: Duration = Duration::from_millis(1_600);
/// How often nodes that went away are noticed; new ones are at once.
const SWEEP: Duration = Duration::from_millis(400);
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
}

/// What a node is made of.
#[derive(Debug)]
pub struct Parts<P> {
    /// Which node.
    pub identity: Identity,
    /// What the platform promises of its workers.
    pub bounds: Bounds,
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
        } = parts.identity;
        let listen = |source| Error::Listen { address, source };
        let (server, calls) =
            rpc::Server::start(address, rpc::ServerLimits::default()).map_err(listen)?;
        let client = rpc::Client::start(rpc::ClientLimits::default()).map_err(Error::Thread)?;
        let shared = Arc::new(Shared {
            name,
            address: server.address(),
            incarnation,
            processor,
            bounds: parts.bounds,
            platform: parts.platform,
            rpc: client,
            clock: Clock::start(),
            log: parts.log.clone(),
            meter: parts.meter,
            config: watch::Sender::new(None),
            claim: watch::Sender::new(None),
            acting: watch::Sender::new(None),
            peers: Mutex::default(),
            is_leaving: AtomicBool::new(false),
            vacant: Notify::new(),
            stalled: Notify::new(),
            outranked: watch::Sender::new(Millicores(0)),
            store: StoreHealth::new(parts.log),
        });
        let intake = Intake::start(&shared);
        tokio::spawn(follow::follow_config(shared.clone()));
        tokio::spawn(member::run(shared.clone()));
        tokio::spawn(count_left_out(shared.clone()));
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

    /// Stops answering other nodes.
    pub async fn stop(self, drain: Duration) {
        drop(self.server.close(drain).await);
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
    /// When each node was last heard.
    heard: Arc<Mutex<HashMap<NodeName, (Peer, Timestamp)>>>,
    hand: Hand<P>,
    /// Rung when a node is heard that was not there.
    news: Arc<Notify>,
}

impl<P: Platform> Clone for Answering<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            heard: self.heard.clone(),
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
            heard: Arc::default(),
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
            Question::Hello {
                node,
                address,
                processor,
                may_own,
            } => {
                let peer = Peer {
                    node,
                    address,
                    processor,
                };
                self.hello(peer, may_own).await
            }
            Question::Advise {
                step,
                workers,
                patience,
            } => Reply::Advised(shared.platform.advise(step, workers, patience).await),
            Question::Store => Reply::Store(member::probe(shared).await),
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
            other => {
                let reply = match shared.control() {
                    Some(control) => owner::accept(&control, other).await,
                    None => None,
                };
                reply.unwrap_or_else(|| self.not_owner())
            }
        }
    }

    async fn hello(&self, peer: Peer, may_own: bool) -> Reply {
        let shared = &self.shared;
        let acting = shared.acting.borrow().clone();
        let Some(acting) = acting else {
            return self.not_owner();
        };
        if may_own && member::outranks(peer.processor, shared.processor) {
            shared.outranked.send_replace(peer.processor);
        }
        let now = shared.clock.now();
        let mut heard = self.heard.lock().await;
        let before = heard.insert(peer.node.clone(), (peer.clone(), now));
        if before.is_none_or(|(before, _)| before != peer) {
            self.news.notify_one();
        }
        Reply::Owner(acting.claim)
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
                acting.and_then(|acting| Some((acting.claim, acting.control?)))
            else {
                told = None;
                continue;
            };
            let now = self.shared.clock.now();
            let mut heard = self.heard.lock().await;
            heard.retain(|_, (_, at)| now.since(*at) < PEER_GONE);
            let mut peers: Vec<Peer> = heard.values().map(|(peer, _)| peer.clone()).collect();
            drop(heard);
            peers.sort_unstable();
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
        }
    }
}
