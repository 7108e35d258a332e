//! The actor that exchanges statements with the scheds.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::config::{
    Document,
    Version, //
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    sync, //
};
use fulmarpier_state::id::NodeId;
use fulmarpier_transport::rpc;
use kameo::{
    Actor,
    actor::{
        ActorRef,
        WeakActorRef, //
    },
    message::{
        Context,
        Message, //
    },
};
use slog::Logger;
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep_until, //
    },
};

use super::{
    exchange,
    pace::{
        Pace,
        Turn, //
    },
    view::View,
};
use crate::{
    metrics::Metrics,
    phase::{
        Gauge,
        Phase, //
    },
    slot::Pool,
};

/// One sched and the pace of the exchanges with it.
pub(super) struct Peer {
    pub(super) address: SocketAddr,
    pub(super) pace: Pace,
}

/// What the actor works with.
pub(super) struct Parts {
    pub(super) peers: BTreeMap<NodeId, Peer>,
    pub(super) pool: Arc<Pool>,
    pub(super) rpc: rpc::Client,
    pub(super) view: watch::Sender<Arc<View>>,
    pub(super) phase: Gauge,
    pub(super) metrics: Metrics,
    pub(super) log: Logger,
    /// How long an exchange may take.
    pub(super) timeout: Duration,
}

/// The control state of a gate.
#[derive(Actor)]
pub(super) struct Exchanger {
    parts: Parts,
}

/// Asks for an exchange with every sched.
pub(super) struct Everyone;

/// The time for an exchange with one sched has come.
struct Due(NodeId);

/// An exchange with one sched is over.
struct Done {
    node: NodeId,
    result: Result<sync::Reply, rpc::Error>,
}

/// Tells every sched that the gate is gone, and gives back what isn't in use.
pub(super) struct Farewell;

impl Exchanger {
    pub(super) const fn new(parts: Parts) -> Self {
        Self { parts }
    }

    fn turn(&mut self, node: NodeId, turn: Turn, own: &ActorRef<Self>) {
        match turn {
            Turn::Now => self.begin(node, own),
            Turn::At(due) => remind(own.downgrade(), node, due),
            Turn::Later => {}
        }
    }

    /// Makes a statement and sends it at once, since the leases count from its making.
    fn begin(&self, node: NodeId, own: &ActorRef<Self>) {
        let Some(peer) = self.parts.peers.get(&node) else {
            return;
        };
        let address = peer.address;
        let call = self.statement(node);
        let rpc = self.parts.rpc.clone();
        let timeout = self.parts.timeout;
        let own = own.downgrade();
        tokio::spawn(async move {
            let answer = rpc.call(address, call, timeout).await;
            let result = answer.and_then(expect_sync);
            if let Some(own) = own.upgrade() {
                // The actor may be stopping.
                let _ = own.tell(Done { node, result }).await;
            }
        });
    }

    fn statement(&self, node: NodeId) -> Call {
        let draining = self.parts.phase.get() == Phase::Closed;
        let version = self.parts.view.borrow().version;
        let statement = self.parts.pool.state(node, draining);
        Call::Sync(exchange::request(statement, version))
    }

    fn apply(&self, node: NodeId, reply: &sync::Reply) {
        let totals = self.parts.rpc.traffic();
        self.parts.metrics.synced(totals.sent + totals.received);
        let config = self.newer(reply);
        self.change(|view| {
            if let Some(sched) = view.scheds.get_mut(&node) {
                sched.is_up = true;
                sched.is_draining = reply.draining;
            }
            view.own(node, &reply.shards);
            if let Some((version, document)) = &config {
                view.version = *version;
                view.config = document.clone();
            }
        });
        if let Some((version, document)) = &config {
            slog::info!(self.parts.log, "config"; "version" => %version, "from" => %node);
            self.parts.pool.expect(document.services.keys());
        }
        self.parts.pool.apply(node, &exchange::reply(reply));
    }

    /// Returns the configuration that came with a reply, where it is newer than the one in force.
    fn newer(&self, reply: &sync::Reply) -> Option<(Version, Arc<Document>)> {
        let version = Version::from_raw(reply.config_version.get());
        let bytes = reply.config.as_ref()?;
        if version <= self.parts.view.borrow().version {
            return None;
        }
        match serde_json::from_slice(bytes) {
            Ok(document) => Some((version, Arc::new(document))),
            Err(error) => {
                let log = &self.parts.log;
                slog::error!(log, "config unreadable"; "version" => %version, "error" => %error);
                None
            }
        }
    }

    fn lose(&self, node: NodeId, error: &rpc::Error) {
        let was_up = self.parts.view.borrow().is_up(node);
        if !was_up {
            return;
        }
        slog::warn!(self.parts.log, "sched lost"; "node" => %node, "error" => %error);
        self.change(|view| {
            if let Some(sched) = view.scheds.get_mut(&node) {
                sched.is_up = false;
            }
        });
    }

    /// Changes the view and publishes it, where it is then another one.
    fn change(&self, change: impl FnOnce(&mut View)) {
        self.parts.view.send_if_modified(|shared| {
            let mut view = View::clone(shared);
            change(&mut view);
            let changed = view != **shared;
            if changed {
                *shared = Arc::new(view);
            }
            changed
        });
    }
}

impl Message<Everyone> for Exchanger {
    type Reply = ();

    async fn handle(&mut self, _: Everyone, ctx: &mut Context<Self, ()>) {
        let own = ctx.actor_ref().clone();
        let now = Instant::now();
        let nodes: Vec<NodeId> = self.parts.peers.keys().copied().collect();
        for node in nodes {
            let turn = self
                .parts
                .peers
                .get_mut(&node)
                .map(|peer| peer.pace.ask(now));
            self.turn(node, turn.unwrap_or(Turn::Later), &own);
        }
    }
}

impl Message<Due> for Exchanger {
    type Reply = ();

    async fn handle(&mut self, Due(node): Due, ctx: &mut Context<Self, ()>) {
        let own = ctx.actor_ref().clone();
        let now = Instant::now();
        let turn = self
            .parts
            .peers
            .get_mut(&node)
            .map(|peer| peer.pace.due(now));
        self.turn(node, turn.unwrap_or(Turn::Later), &own);
    }
}

impl Message<Done> for Exchanger {
    type Reply = ();

    async fn handle(&mut self, done: Done, ctx: &mut Context<Self, ()>) {
        let own = ctx.actor_ref().clone();
        let Done { node, result } = done;
        match result {
            Ok(reply) => self.apply(node, &reply),
            Err(error) => self.lose(node, &error),
        }
        let now = Instant::now();
        let Some(peer) = self.parts.peers.get_mut(&node) else {
            return;
        };
        if peer.pace.end() {
            let turn = peer.pace.ask(now);
            self.turn(node, turn, &own);
        }
    }
}

impl Message<Farewell> for Exchanger {
    type Reply = ();

    async fn handle(&mut self, _: Farewell, _: &mut Context<Self, ()>) {
        let calls = self.parts.peers.iter().map(|(node, peer)| {
            let call = self.statement(*node);
            self.parts.rpc.call(peer.address, call, self.parts.timeout)
        });
        // A sched that isn't told takes the slots back when their lease ends.
        let _ = futures::future::join_all(calls).await;
    }
}

/// Comes back for an exchange at its time.
fn remind(own: WeakActorRef<Exchanger>, node: NodeId, due: Instant) {
    tokio::spawn(async move {
        sleep_until(due).await;
        if let Some(own) = own.upgrade() {
            // The actor may be stopping.
            let _ = own.tell(Due(node)).await;
        }
    });
}

fn expect_sync(answer: Answer) -> Result<sync::Reply, rpc::Error> {
    match answer {
        Answer::Sync(reply) => Ok(reply),
        _ => Err(rpc::Error::Malformed {
            reason: "an answer to another call".to_owned(),
        }),
    }
}
