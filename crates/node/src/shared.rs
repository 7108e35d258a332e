//! The state that the components of a node share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, PoisonError,
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
    id::{
        Epoch,
        NodeName, //
    },
    ownership::Ballot,
    record::Claim,
    spread::Spread, //
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    unit::Millicores, //
};
use fulmarpier_transport::clock::Clock;
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
    admission::{
        Load,
        OwnerLoad, //
    },
    assignment::Peer,
    evacuation,
    health::{
        Call,
        StoreHealth, //
    },
    hedge,
    lag::LagMonitor,
    member,
    message::Vote,
    network,
    operator,
    owner::{
        EngineActor,
        ReadProgress, //
    },
    platform::{
        Append,
        Condition,
        Error,
        Page,
        Platform,
        Record,
        Rejected,
        StoreLimits,
        Topic, //
    },
    revocation::RevocationLimit,
    succession::Hello,
    telemetry::{
        Meter,
        millis, //
    },
    work, //
};

/// The ownership of the cell by this node.
pub(crate) struct Ownership<P: Platform> {
    pub(crate) claim: Claim,
    /// The engine's actor; `None` until the takeover has read the store.
    pub(crate) engine: Option<EngineHandle<P>>,
}

/// The engine's actor, and how far it has read the job records.
pub(crate) struct EngineHandle<P: Platform> {
    pub(crate) actor: ActorRef<EngineActor<P>>,
    pub(crate) read_progress: ReadProgress,
}

impl<P: Platform> Clone for EngineHandle<P> {
    fn clone(&self) -> Self {
        Self {
            actor: self.actor.clone(),
            read_progress: self.read_progress.clone(),
        }
    }
}

impl<P: Platform> Clone for Ownership<P> {
    fn clone(&self) -> Self {
        Self {
            claim: self.claim.clone(),
            engine: self.engine.clone(),
        }
    }
}

/// A read is sent again if its answer takes longer than this. Slow stores have been measured to take 0.24 s.
const READ_RETRY_DELAY: Duration = Duration::from_millis(350);
/// The factor by which the delay grows between the copies of a read of a large topic, which are sent after 0.35, 1.05
/// and 2.45 s. A few megabytes take 2 s over a link of 10 Mbit/s, and each copy takes as much of the link again.
const LARGE_TOPIC_DELAY_FACTOR: u32 = 2;
/// The time limit of a read with all its copies. A call of the platform takes 3 s at most.
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The last hello that this node, as the owner, received from each other node, with its time of arrival.
pub(crate) type Hellos = Mutex<HashMap<NodeName, (Hello, Instant)>>;

/// The state that the components of a node share, kept behind an `Arc`.
pub(crate) struct Shared<P: Platform> {
    pub(crate) name: NodeName,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: u64,
    /// The capacity of this node as an owner, see [`strength`](crate::succession::strength).
    pub(crate) strength: Millicores,
    /// The number of files and connections that the process may have open.
    pub(crate) descriptors: u32,
    /// When this incarnation of the node started.
    pub(crate) started_at: Instant,
    pub(crate) bounds: Bounds,
    pub(crate) revocation_limit: RevocationLimit,
    pub(crate) platform: P,
    pub(crate) store_limits: StoreLimits,
    pub(crate) rpc: Arc<dyn network::Client>,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) meter: Meter,
    /// Where the processor time of this node goes.
    pub(crate) work: work::Meter,
    /// The configuration in force on this node, once one is known.
    pub(crate) config: watch::Sender<Option<Arc<Config>>>,
    /// The operator's record from which that configuration was decoded.
    pub(crate) config_record: watch::Sender<Option<Record>>,
    /// When the store last confirmed, to this node or to the owner, which configuration is the newest.
    pub(crate) config_confirmed_at: watch::Sender<Instant>,
    /// How far this node has read the operator's records.
    pub(crate) operator: operator::ReadState,
    /// The evacuated data centres, once this node has read them from the store.
    pub(crate) evacuation: watch::Sender<Option<evacuation::Snapshot>>,
    /// The newest claim known to this node.
    pub(crate) claim: watch::Sender<Option<Claim>>,
    /// The strength of the strongest owner known to this node so far, in thousandths of a core.
    pub(crate) strongest_owner: AtomicU32,
    /// The ownership of the cell by this node, if it is the owner.
    pub(crate) ownership: watch::Sender<Option<Ownership<P>>>,
    /// The nodes known to the owner, except the owner itself.
    pub(crate) peers: Mutex<Vec<Peer>>,
    pub(crate) is_leaving: AtomicBool,
    /// Notified when the owner may be gone.
    pub(crate) owner_lost: Notify,
    /// Notified when the owner's actor finds that it did not run for a while.
    pub(crate) stalled: Notify,
    /// The last hellos of the other nodes to this one as the owner.
    pub(crate) hellos: Hellos,
    pub(crate) lag: LagMonitor,
    /// The load of the owner, which is this node or another.
    pub(crate) owner_load: OwnerLoad,
    pub(crate) store: StoreHealth,
    /// The result of the last store probe that was made at the request of another node.
    pub(crate) probe_cache: member::ProbeCache,
    /// Whether the store appears to be unreachable from this node only.
    pub(crate) is_isolated: AtomicBool,
    /// What this node has promised as a voter.
    pub(crate) ballot: std::sync::Mutex<Ballot>,
}

impl<P: Platform> Shared<P> {
    /// Appends to the store.
    ///
    /// If the answer is overdue, the call may be lost, so an append that is safe to repeat is sent again.
    pub(crate) async fn append(&self, purpose: &'static str, append: Append) -> Result<u64, Error> {
        let call = self.store.begin(purpose, Duration::ZERO);
        let result = match append.condition {
            // A second copy would fail because the first one has moved the end of the topic.
            Condition::EndsAt(_) => self.platform.append(append).await,
            Condition::None | Condition::Writer { .. } => {
                let retry_delay = self.store.overdue_time();
                hedge::append(&self.platform, &append, retry_delay).await
            }
        };
        self.finish_call(&call, purpose, &result);
        result
    }

    /// Reads records from an offset on. Waits up to `wait` for a record if there is none.
    pub(crate) async fn read(
        &self,
        purpose: &'static str,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> Result<Page, Error> {
        let call = self.store.begin(purpose, wait);
        let read = |wait| self.platform.read(topic, from, wait);
        let retry_delay = READ_RETRY_DELAY.max(self.store.overdue_time());
        let result = hedge::read(&self.platform, wait, retry_delay, 1, READ_TIMEOUT, read).await;
        self.finish_read(&call, purpose, &result);
        result
    }

    /// Reads the newest record of each key.
    pub(crate) async fn newest(&self, purpose: &'static str, topic: Topic) -> Result<Page, Error> {
        let call = self.store.begin(purpose, Duration::ZERO);
        let delay_factor = match topic {
            Topic::Claims | Topic::Configuration => 1,
            Topic::Jobs(_) | Topic::Progress | Topic::Workers => LARGE_TOPIC_DELAY_FACTOR,
        };
        let retry_delay = READ_RETRY_DELAY.max(self.store.overdue_time());
        let read = |_| self.platform.newest(topic);
        let no_wait = Duration::ZERO;
        let result = hedge::read(
            &self.platform,
            no_wait,
            retry_delay,
            delay_factor,
            READ_TIMEOUT,
            read,
        )
        .await;
        self.finish_read(&call, purpose, &result);
        result
    }

    /// Reads a part of the newest records, starting after a key. Returns the key after which to continue, if there
    /// are more.
    pub(crate) async fn newest_after(
        &self,
        purpose: &'static str,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<(Page, Option<String>), Error> {
        let call = self.store.begin(purpose, Duration::ZERO);
        let result = self.platform.newest_after(topic, after).await;
        self.finish_call(&call, purpose, &result);
        for rejected in result.iter().flat_map(|(page, _)| &page.rejected) {
            self.record_rejected(purpose, rejected);
        }
        result
    }

    fn finish_read(&self, call: &Call, purpose: &'static str, result: &Result<Page, Error>) {
        self.finish_call(call, purpose, result);
        for rejected in result.iter().flat_map(|page| &page.rejected) {
            self.record_rejected(purpose, rejected);
        }
    }

    /// Counts and logs a rejected record. Every rejection passes through this function.
    pub(crate) fn record_rejected(&self, topic: &'static str, rejected: &Rejected) {
        self.meter.record_rejected(&self.log, topic, rejected);
    }

    fn finish_call<T>(&self, call: &Call, purpose: &'static str, result: &Result<T, Error>) {
        self.meter.store_call(purpose, call.elapsed(), result);
        self.store.end(call, result);
    }

    /// Logs for how long a step has waited, and behind which work of this node, if it was long.
    pub(crate) fn log_wait(&self, what: &'static str, wait: &work::Wait) {
        let Some((waited, behind)) = wait.long(&self.work) else {
            return;
        };
        if self.meter.may_log("waited", what) {
            slog::warn!(self.log, "waited"; "what" => what, "waited_ms" => millis(waited), behind);
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Returns the engine's actor if this node owns the cell and has completed its takeover.
    pub(crate) fn engine_actor(&self) -> Option<ActorRef<EngineActor<P>>> {
        Some(self.engine_handle()?.actor)
    }

    /// Returns the engine's actor and how far it has read the job records, if this node owns the cell and has
    /// completed its takeover.
    pub(crate) fn engine_handle(&self) -> Option<EngineHandle<P>> {
        self.ownership.borrow().as_ref()?.engine.clone()
    }

    /// Returns whether this node owns the cell under an epoch.
    pub(crate) fn owns(&self, epoch: Epoch) -> bool {
        is_of_epoch(self.ownership.borrow().as_ref(), epoch)
    }

    /// Publishes the engine of an ownership; returns false if that ownership has ended.
    pub(crate) fn publish_engine(&self, epoch: Epoch, engine: EngineHandle<P>) -> bool {
        self.ownership.send_if_modified(|ownership| {
            let current = ownership.as_mut();
            let current = current.filter(|ownership| ownership.claim.epoch == epoch);
            let is_current = current.is_some();
            if let Some(ownership) = current {
                ownership.engine = Some(engine);
            }
            is_current
        })
    }

    /// Ends the ownership of an epoch, unless this node already owns the cell under another one: what is left of a
    /// former ownership must not end a later one.
    pub(crate) fn end_ownership(&self, epoch: Epoch) {
        self.ownership.send_if_modified(|ownership| {
            let is_current = is_of_epoch(ownership.as_ref(), epoch);
            if is_current {
                *ownership = None;
            }
            is_current
        });
    }

    /// Waits until the ownership of an epoch has ended.
    pub(crate) async fn wait_until_ended(&self, epoch: Epoch) {
        let mut ownership = self.ownership.subscribe();
        let ended = ownership.wait_for(|current| !is_of_epoch(current.as_ref(), epoch));
        // The sender lives as long as this node.
        let _ = ended.await;
    }

    /// Returns the description of this node that other nodes use.
    pub(crate) fn as_peer(&self) -> Peer {
        Peer {
            node: self.name.clone(),
            address: self.address,
            strength: self.strength,
            descriptors: self.descriptors,
        }
    }

    /// Returns the nodes that sent hellos to this one as the owner.
    pub(crate) async fn hello_peers(&self) -> Vec<Peer> {
        let hellos = self.hellos.lock().await;
        let mut peers: Vec<Peer> = hellos.values().map(|(hello, _)| hello.into()).collect();
        peers.sort_unstable();
        peers
    }

    /// Returns the content of a hello of this node.
    pub(crate) fn hello(&self) -> Hello {
        Hello {
            node: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            strength: self.strength,
            descriptors: self.descriptors,
            may_own: !self.store.is_failing() && !self.is_leaving(),
            age: self.started_at.elapsed(),
            lag: self.lag.timer_lag(),
        }
    }

    /// Records when the store confirmed, to this node or another, that this node has read the operator's newest
    /// records.
    pub(crate) fn confirm_operator_read(&self, confirmed_at: Instant) {
        self.config_confirmed_at.send_if_modified(|read| {
            let is_later = confirmed_at > *read;
            *read = confirmed_at.max(*read);
            is_later
        });
        self.evacuation.send_if_modified(|snapshot| {
            let snapshot = snapshot
                .as_mut()
                .filter(|snapshot| snapshot.confirmed_at < confirmed_at);
            let is_later = snapshot.is_some();
            if let Some(snapshot) = snapshot {
                snapshot.confirmed_at = confirmed_at;
            }
            is_later
        });
    }

    /// Records the newest claim known to this node.
    pub(crate) fn record_claim(&self, claim: Claim) {
        self.strongest_owner
            .fetch_max(claim.strength.get(), Ordering::Relaxed);
        self.ballot().fence(claim.epoch);
        self.claim.send_replace(Some(claim));
    }

    /// Returns the time by which leases on the cell are measured. It goes on while the machine is suspended.
    pub(crate) fn steady_now(&self) -> Timestamp {
        self.clock.now() + self.platform.total_suspension()
    }

    /// Returns what this node has promised as a voter. No call is made while it is locked.
    pub(crate) fn ballot(&self) -> std::sync::MutexGuard<'_, Ballot> {
        self.ballot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this node, as a voter, confirms the owner of an epoch.
    pub(crate) fn vote(&self, epoch: Epoch) -> Vote {
        let ballot = self.ballot();
        match () {
            () if ballot.confirms(epoch, self.steady_now()) => Vote::Confirmed,
            () if ballot.highest() > epoch => Vote::Refused(ballot.highest()),
            () => Vote::Abstained,
        }
    }

    /// Notes the owner of an epoch: this node confirms no earlier one from now on, and ends its own ownership if that
    /// is an earlier one.
    pub(crate) fn fence_earlier_owners(&self, epoch: Epoch) {
        self.ballot().fence(epoch);
        let was_ended = self.ownership.send_if_modified(|ownership| {
            let is_earlier = ownership
                .as_ref()
                .is_some_and(|own| own.claim.epoch < epoch);
            if is_earlier {
                *ownership = None;
            }
            is_earlier
        });
        if was_ended {
            slog::warn!(self.log, "fenced"; "by" => "successor", "later" => %epoch);
        }
        if self.epoch() < epoch {
            self.owner_lost.notify_waiters();
        }
    }

    /// Records how many partitions jobs are spread over, as given by the newest renewal known of the claim.
    pub(crate) fn record_spread(&self, renewed: &Claim) {
        self.claim.send_if_modified(|claim| {
            let known = claim.as_mut().filter(|claim| claim.epoch == renewed.epoch);
            if let Some(known) = known {
                known.spread = renewed.spread;
            }
            // No task waits for this change.
            false
        });
    }

    /// Records the load that the owner told in reply to a hello sent at `asked`.
    pub(crate) fn record_owner_load(&self, load: Option<Load>, asked: Instant) {
        if let Some(load) = load {
            self.owner_load.record(load, asked);
        }
    }

    /// Returns how many partitions jobs are spread over, as far as this node knows.
    pub(crate) fn spread(&self) -> Spread {
        let claim = self.claim.borrow();
        claim.as_ref().map(|claim| claim.spread).unwrap_or_default()
    }

    /// Returns the strength of the strongest owner known to this node so far.
    pub(crate) fn strongest_owner(&self) -> Millicores {
        Millicores(self.strongest_owner.load(Ordering::Relaxed))
    }

    /// Returns the highest epoch known to this node.
    pub(crate) fn epoch(&self) -> Epoch {
        let claim = self.claim.borrow();
        claim
            .as_ref()
            .map_or_else(Default::default, |claim| claim.epoch)
    }
}

/// Returns whether an ownership is that of an epoch.
fn is_of_epoch<P: Platform>(ownership: Option<&Ownership<P>>, epoch: Epoch) -> bool {
    ownership.is_some_and(|ownership| ownership.claim.epoch == epoch)
}
