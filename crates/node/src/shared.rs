//! What the parts of one node share.

use std::{
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
    config::Config,
    id::NodeName,
    record::Claim,
    spread::Spread, //
};
use fulmarpier_state::{
    alias::HashMap,
    unit::Millicores, //
};
use fulmarpier_transport::{
    clock::Clock,
    rpc, //
};
use kameo::actor::ActorRef;
use slog::Logger;
use tokio::{
    sync::{
        Mutex,
        Notify,
        watch, //
    },
    time::Instant,
};

use crate::{
    evacuation,
    health::{
        Call,
        StoreHealth, //
    },
    hedge,
    member,
    operator,
    owner::{
        Control,
        View, //
    },
    port::{
        Append,
        Condition,
        Error,
        Page,
        Platform,
        Record,
        Rejected,
        Topic, //
    },
    pulse::Pulse,
    report::Meter,
    revocation::Revocation,
    share::Peer,
    succession::Greeting, //
};

/// The engine's actor, once this node owns the cell and has taken it over.
pub(crate) struct Acting<P: Platform> {
    pub(crate) claim: Claim,
    /// Absent while the takeover reads the store.
    pub(crate) seat: Option<Seat<P>>,
}

/// The engine's actor, and how much it has read.
pub(crate) struct Seat<P: Platform> {
    pub(crate) control: ActorRef<Control<P>>,
    pub(crate) view: View,
}

impl<P: Platform> Clone for Seat<P> {
    fn clone(&self) -> Self {
        Self {
            control: self.control.clone(),
            view: self.view.clone(),
        }
    }
}

impl<P: Platform> Clone for Acting<P> {
    fn clone(&self) -> Self {
        Self {
            claim: self.claim.clone(),
            seat: self.seat.clone(),
        }
    }
}

/// A read whose answer takes longer is sent again: stores that were seen to be slow took 0.24 s.
const READ: Duration = Duration::from_millis(350);
/// Readings of topics that may hold much are sent again after so many times as long each time, at 0.35, 1.05 and 2.45 s:
/// some megabytes over a link of 10 Mbit/s took 2 s, and each copy takes as much of the link again.
const MUCH_GROWTH: u32 = 2;
/// How long reading may take, with all copies; a call of the platform takes 3 s at most.
const READ_LIMIT: Duration = Duration::from_millis(3_000);

/// The nodes that have greeted this one as the owner, each with when it last did.
pub(crate) type Greetings = Mutex<HashMap<NodeName, (Greeting, Instant)>>;

/// What the parts of one node share; cheap to clone.
pub(crate) struct Shared<P: Platform> {
    pub(crate) name: NodeName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    /// How strong the node is among others.
    pub(crate) strength: Millicores,
    /// How many files and connections it may have open.
    pub(crate) descriptors: u32,
    /// When this life of it began.
    pub(crate) began: Instant,
    pub(crate) bounds: Bounds,
    pub(crate) revocation: Revocation,
    pub(crate) platform: P,
    pub(crate) rpc: rpc::Client,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) meter: Meter,
    /// The configuration in force here, once one is known.
    pub(crate) config: watch::Sender<Option<Arc<Config>>>,
    /// What the operator has written of it.
    pub(crate) config_record: watch::Sender<Option<Record>>,
    /// When the store last told this node, or the owner, which configuration is the newest.
    pub(crate) config_read: watch::Sender<Instant>,
    /// How far what the operator writes was read.
    pub(crate) operator: operator::Reading,
    /// Which data centres are evacuated, once the store has told this node.
    pub(crate) evacuation: watch::Sender<Option<evacuation::Reading>>,
    /// The newest claim that is known here.
    pub(crate) claim: watch::Sender<Option<Claim>>,
    /// The strength of the strongest owner that was known here, in thousandths of a core.
    pub(crate) strongest: AtomicU32,
    /// This node's own ownership.
    pub(crate) acting: watch::Sender<Option<Acting<P>>>,
    /// The nodes that the owner knows, but for itself.
    pub(crate) peers: Mutex<Vec<Peer>>,
    pub(crate) is_leaving: AtomicBool,
    /// Rung when the owner may be gone.
    pub(crate) vacant: Notify,
    /// Rung when the owner's actor finds that it stood still.
    pub(crate) stalled: Notify,
    /// What the other nodes told of themselves when they last greeted this one as the owner.
    pub(crate) greetings: Greetings,
    pub(crate) pulse: Pulse,
    pub(crate) store: StoreHealth,
    /// What the store told this node when another one asked.
    pub(crate) probe: member::Probe,
    /// Whether the store is away for this node alone, as far as that can be told.
    pub(crate) is_alone: AtomicBool,
}

impl<P: Platform> Shared<P> {
    /// Appends to the store.
    ///
    /// An append that can be sent twice without harm is, where its answer is overdue: it may be lost.
    pub(crate) async fn append(&self, purpose: &'static str, append: Append) -> Result<u64, Error> {
        let call = self.store.begin(purpose, Duration::ZERO);
        let result = match append.condition {
            // A second copy would find that the topic has moved, by the first one.
            Condition::EndsAt(_) => self.platform.append(append).await,
            Condition::None | Condition::Writer { .. } => {
                let patience = self.store.patience();
                hedge::append(&self.platform, &append, patience).await
            }
        };
        self.end(&call, purpose, &result);
        result
    }

    /// Reads on from an offset.
    pub(crate) async fn read(
        &self,
        purpose: &'static str,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<Page, Error> {
        let call = self.store.begin(purpose, wait);
        let read = |wait| self.platform.read(topic, from, wait);
        let patience = READ.max(self.store.patience());
        let result = hedge::read(&self.platform, wait, patience, 1, READ_LIMIT, read).await;
        self.end_read(&call, purpose, &result);
        result
    }

    /// Reads the newest record of each key.
    pub(crate) async fn newest(&self, purpose: &'static str, topic: Topic) -> Result<Page, Error> {
        let call = self.store.begin(purpose, Duration::ZERO);
        let growth = match topic {
            Topic::Claims | Topic::Configuration => 1,
            Topic::Jobs(_) | Topic::Progress | Topic::Workers => MUCH_GROWTH,
        };
        let patience = READ.max(self.store.patience());
        let read = |_| self.platform.newest(topic);
        let none = Duration::ZERO;
        let result = hedge::read(&self.platform, none, patience, growth, READ_LIMIT, read).await;
        self.end_read(&call, purpose, &result);
        result
    }

    /// Reads a part of the newest records, behind a key; returns the key to read on behind, where there are more.
    pub(crate) async fn newest_after(
        &self,
        purpose: &'static str,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<(Page, Option<String>), Error> {
        let call = self.store.begin(purpose, Duration::ZERO);
        let result = self.platform.newest_after(topic, after).await;
        self.end(&call, purpose, &result);
        for rejected in result.iter().flat_map(|(page, _)| &page.rejected) {
            self.turn_away(purpose, rejected);
        }
        result
    }

    fn end_read(&self, call: &Call, purpose: &'static str, result: &Result<Page, Error>) {
        self.end(call, purpose, result);
        for rejected in result.iter().flat_map(|page| &page.rejected) {
            self.turn_away(purpose, rejected);
        }
    }

    /// Turns a record away: the one place where that is counted and told.
    pub(crate) fn turn_away(&self, topic: &'static str, rejected: &Rejected) {
        self.meter.reject(&self.log, topic, rejected);
    }

    fn end<T>(&self, call: &Call, purpose: &'static str, result: &Result<T, Error>) {
        self.meter.store_call(purpose, call.took(), result);
        self.store.end(call, result);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the engine's actor where this node owns the cell and is at work.
    pub(crate) fn control(&self) -> Option<ActorRef<Control<P>>> {
        Some(self.seat()?.control)
    }

    /// Returns the engine's actor with its view of the record, where this node owns the cell and is at work.
    pub(crate) fn seat(&self) -> Option<Seat<P>> {
        self.acting.borrow().as_ref()?.seat.clone()
    }

    /// Returns this node as others know it.
    pub(crate) fn peer(&self) -> Peer {
        Peer {
            node: self.name.clone(),
            address: self.address,
            processor: self.strength,
            descriptors: self.descriptors,
        }
    }

    /// Returns the nodes that have greeted this one as the owner.
    pub(crate) async fn greeted(&self) -> Vec<Peer> {
        let greetings = self.greetings.lock().await;
        let mut peers: Vec<Peer> = greetings
            .values()
            .map(|(greeting, _)| greeting.into())
            .collect();
        peers.sort_unstable();
        peers
    }

    /// Returns what this node tells of itself.
    pub(crate) fn greeting(&self) -> Greeting {
        Greeting {
            node: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            strength: self.strength,
            descriptors: self.descriptors,
            may_own: !self.store.is_failing() && !self.is_leaving(),
            age: self.began.elapsed(),
            lag: self.pulse.timers(),
        }
    }

    /// Notes when the store told, here or elsewhere, that what this node has read of the operator's is the newest.
    pub(crate) fn note_operator_read(&self, told: Instant) {
        self.config_read.send_if_modified(|read| {
            let is_news = told > *read;
            *read = told.max(*read);
            is_news
        });
        self.evacuation.send_if_modified(|reading| {
            let reading = reading.as_mut().filter(|reading| reading.at < told);
            let is_news = reading.is_some();
            if let Some(reading) = reading {
                reading.at = told;
            }
            is_news
        });
    }

    /// Notes the newest claim that is known here.
    pub(crate) fn note_claim(&self, claim: Claim) {
        self.strongest
            .fetch_max(claim.strength.get(), Ordering::Relaxed);
        self.claim.send_replace(Some(claim));
    }

    /// Notes how far jobs are spread by the newest renewal of the claim that is known here.
    pub(crate) fn note_spread(&self, renewed: &Claim) {
        self.claim.send_if_modified(|claim| {
            let known = claim.as_mut().filter(|claim| claim.epoch == renewed.epoch);
            if let Some(known) = known {
                known.spread = renewed.spread;
            }
            // Nobody waits for this change.
            false
        });
    }

    /// Returns how far jobs are spread, as far as is known here.
    pub(crate) fn spread(&self) -> Spread {
        let claim = self.claim.borrow();
        claim.as_ref().map(|claim| claim.spread).unwrap_or_default()
    }

    /// Returns the strength of the strongest owner that was known here.
    pub(crate) fn strongest(&self) -> Millicores {
        Millicores(self.strongest.load(Ordering::Relaxed))
    }

    /// Returns the highest ownership that is known here.
    pub(crate) fn epoch(&self) -> fulmarpier_cell::id::Epoch {
        let claim = self.claim.borrow();
        claim
            .as_ref()
            .map_or_else(Default::default, |claim| claim.epoch)
    }
}
