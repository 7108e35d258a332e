//! What the parts of one node share.

use std::{
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
    config::Config,
    id::NodeName,
    record::Claim, //
};
use fulmarpier_transport::{
    clock::Clock,
    rpc, //
};
use kameo::actor::ActorRef;
use slog::Logger;
use tokio::sync::{
    Mutex,
    Notify,
    watch, //
};

use crate::{
    owner::Control,
    port::{
        Error,
        Platform, //
    },
    report::Meter,
};

/// A store that has failed for this long without a success in between counts as away.
const STORE_AWAY: Duration = Duration::from_millis(1_200);

/// The engine's actor, once this node owns the cell and has taken it over.
pub(crate) struct Acting<P: Platform> {
    pub(crate) claim: Claim,
    /// Absent while the takeover reads the store.
    pub(crate) control: Option<ActorRef<Control<P>>>,
}

impl<P: Platform> Clone for Acting<P> {
    fn clone(&self) -> Self {
        Self {
            claim: self.claim.clone(),
            control: self.control.clone(),
        }
    }
}

/// What the parts of one node share; cheap to clone.
pub(crate) struct Shared<P: Platform> {
    pub(crate) name: NodeName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) bounds: Bounds,
    pub(crate) platform: P,
    pub(crate) rpc: rpc::Client,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) meter: Meter,
    /// The configuration in force here, once one is known.
    pub(crate) config: watch::Sender<Option<Arc<Config>>>,
    /// The newest claim that is known here.
    pub(crate) claim: watch::Sender<Option<Claim>>,
    /// This node's own ownership.
    pub(crate) acting: watch::Sender<Option<Acting<P>>>,
    /// The nodes that the owner knows, with their addresses.
    pub(crate) peers: Mutex<Vec<(NodeName, SocketAddr)>>,
    pub(crate) is_leaving: AtomicBool,
    /// Rung when the owner may be gone.
    pub(crate) vacant: Notify,
    pub(crate) store: StoreHealth,
}

/// Whether the store answers this node.
pub(crate) struct StoreHealth {
    failing: watch::Sender<Option<tokio::time::Instant>>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            failing: watch::Sender::new(None),
        }
    }
}

impl StoreHealth {
    /// Notes what came of a call; returns the change, if there is one.
    pub(crate) fn note<T>(&self, result: &Result<T, Error>, log: &Logger) {
        let is_failure = matches!(result, Err(Error::Refused(_) | Error::Unanswered));
        let was = *self.failing.borrow();
        match (was, is_failure) {
            (None, true) => {
                self.failing.send_replace(Some(tokio::time::Instant::now()));
                let why = result.as_ref().err().map_or("", Error::word);
                slog::warn!(log, "store-failing"; "why" => why);
            }
            (Some(since), false) => {
                self.failing.send_replace(None);
                let after = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
                slog::info!(log, "store-answers"; "after_ms" => after);
            }
            _ => {}
        }
    }

    /// Returns for how long the store has failed without a success in between.
    pub(crate) fn failing_for(&self) -> Duration {
        self.failing
            .borrow()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Returns whether the store counts as away for this node.
    pub(crate) fn is_away(&self) -> bool {
        self.failing_for() >= STORE_AWAY
    }
}

impl<P: Platform> Shared<P> {
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the engine's actor where this node owns the cell and is at work.
    pub(crate) fn control(&self) -> Option<ActorRef<Control<P>>> {
        self.acting.borrow().as_ref()?.control.clone()
    }

    /// Returns the highest ownership that is known here.
    pub(crate) fn epoch(&self) -> fulmarpier_cell::id::Epoch {
        let claim = self.claim.borrow();
        claim
            .as_ref()
            .map_or_else(Default::default, |claim| claim.epoch)
    }
}
