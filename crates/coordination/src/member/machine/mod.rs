//! The machine itself: its state, its entry points and the order of its steps.

mod answer;
mod bid;
mod evidence;
mod fold;
mod handover;
mod pending;
mod renew;
mod send;
mod takeover;
mod tenures;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use self::pending::{
    Asked,
    Bid,
    Offer,
    Purpose,
    Reader,
    Sent, //
};
use super::{
    Effect,
    Event,
    Timing,
    Token,
    event::Unreachable,
    health::Health,
    held::Held,
    inquiry::Inquiry,
    vouch::Vouches,
    watch::Watch, //
};
use crate::{
    claim::{
        self,
        Holder,
        Holding,
        Owner,
        Record,
        Register, //
    },
    peer::{
        self,
        ownership, //
    },
    platform::{
        log,
        vm, //
    },
    topology::{
        self,
        Map, //
    },
};

/// One node's part in ownership.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use fulmarpier_coordination::{
///     claim::Holder,
///     member::{Effect, Machine, Timing},
///     topology::{Count, Map},
/// };
/// use fulmarpier_state::{clock::Timestamp, id::{Incarnation, NodeId, RegionId}};
///
/// let holder = Holder {
///     node: NodeId(1),
///     incarnation: Incarnation(1),
///     address: "127.0.0.1:7001".parse().expect("an address"),
/// };
/// let map = Arc::new(Map::new(RegionId(1), Count::ONE));
/// let (machine, effects) = Machine::new(holder, Timing::default(), map, 7, Timestamp::ZERO);
/// assert!(effects.iter().any(|effect| matches!(effect, Effect::Read { .. })));
/// assert_eq!(machine.my_shards().count(), 0);
/// ```
#[derive(Debug)]
pub struct Machine {
    me: Holder,
    timing: Timing,
    map: Arc<Map>,
    seed: u64,
    started: Timestamp,
    listed_since: Option<Timestamp>,
    draining: bool,
    drained: bool,
    register: Register,
    reader: Reader,
    health: Health,
    watch: Watch,
    vouches: Vouches,
    veto_until: Timestamp,
    tenures: BTreeMap<ShardId, Held>,
    bids: BTreeMap<ShardId, Bid>,
    due: BTreeMap<ShardId, Timestamp>,
    offers: BTreeMap<ShardId, Offer>,
    inquiries: BTreeMap<Option<Holder>, Inquiry>,
    next_renewal: Timestamp,
    next_plea: Timestamp,
    next_move: Timestamp,
    sequence: u64,
    next_token: u64,
    sent: BTreeMap<Token, Sent>,
    asked: BTreeMap<Token, Asked>,
    malformed: u64,
    effects: Vec<Effect>,
}

impl Machine {
    /// Starts a node; `seed` spreads the nodes' claims in time and should differ between them.
    ///
    /// The node must listen at its address before the effects are carried out, and must listen
    /// there until its process ends: a refused connection counts as the end of the process.
    pub fn new(
        me: Holder,
        timing: Timing,
        map: Arc<Map>,
        seed: u64,
        now: Timestamp,
    ) -> (Self, Vec<Effect>) {
        let mut machine = Self {
            me,
            timing,
            listed_since: map.node(me.node).map(|_| now),
            map,
            seed,
            started: now,
            draining: false,
            drained: false,
            register: Register::whole(),
            reader: Reader::default(),
            health: Health::default(),
            watch: Watch::new(now),
            vouches: Vouches::default(),
            veto_until: Timestamp::ZERO,
            tenures: BTreeMap::new(),
            bids: BTreeMap::new(),
            due: BTreeMap::new(),
            offers: BTreeMap::new(),
            inquiries: BTreeMap::new(),
            next_renewal: now,
            next_plea: now,
            next_move: now + timing.get_rebalance(),
            sequence: 0,
            next_token: 0,
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            malformed: 0,
            effects: Vec::new(),
        };
        machine.advance(now);
        let effects = std::mem::take(&mut machine.effects);
        (machine, effects)
    }

    /// Takes an event at `now`, which never goes back, and returns what is to be done, in order.
    pub fn on(&mut self, event: Event, now: Timestamp) -> Vec<Effect> {
        // Time passed before the event happened, however late it is delivered.
        self.lapse(now);
        match event {
            Event::Tick => {}
            Event::Topology(map) => self.topology(map, now),
            Event::Appended { token, .. } => {
                self.sent.remove(&token);
            }
            Event::AppendFailed { token, error } => self.append_failed(token, &error, now),
            Event::Page { token, page } => self.page(token, &page, now),
            Event::ReadFailed { token, error } => self.read_failed(token, &error, now),
            Event::Answered { token, reply } => self.answered(token, &reply, now),
            Event::Unreachable { token, how } => self.unreachable(token, how, now),
            Event::Ready { shard, epoch } => self.ready(shard, epoch, now),
            Event::Fenced { shard, epoch } => self.fenced(shard, epoch, now),
            Event::Drain => self.draining = true,
            Event::Undrain => {
                self.draining = false;
                self.drained = false;
            }
        }
        self.advance(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the time at which the next [`Event::Tick`] is due, if nothing happens before.
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let busy = self.health.fresh(now, &self.timing).is_none()
            || !self.inquiries.is_empty()
            || !self.due.is_empty();
        let poll = busy.then(|| now + self.timing.get_retry());
        let lapses = self.tenures.values().map(Held::until);
        let suspicions = self
            .register
            .owners()
            .map(|(shard, _)| self.watch.last_seen(shard) + self.timing.get_suspicion());
        let reads = self.reader.sent.is_none().then_some(self.reader.retry_at);
        [self.next_renewal]
            .into_iter()
            .chain(poll)
            .chain(reads)
            .chain(self.due.values().copied())
            .chain(lapses)
            .chain(suspicions)
            .filter(|time| *time > now)
            .min()
            .unwrap_or(now + self.timing.get_renewal())
    }

    /// Returns until when this node may start work on `shard`, where it may at `now`.
    ///
    /// To be asked directly before each start is sent, since a pause ends a lease without an event;
    /// the answer also bounds the start's own start-by time.
    pub fn may_start(&self, shard: ShardId, now: Timestamp) -> Option<Timestamp> {
        self.tenures
            .get(&shard)
            .and_then(|held| held.may_start(now))
    }

    /// Lists the shards that this node owns, in any phase, in order of their ids.
    pub fn my_shards(&self) -> impl Iterator<Item = Holding> {
        self.tenures.values().map(Held::holding)
    }

    /// Returns the owner of `shard`, as far as this node has read the log.
    pub fn owner_of(&self, shard: ShardId) -> Option<&Owner> {
        self.register.owner(shard)
    }

    /// Returns where `node` listens, by the VM list or else by the log.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let listed = self.map.node(node).map(|node| node.address);
        listed.or_else(|| self.register.presence(node).map(|p| p.holder.address))
    }

    /// Returns the identity of this life of the node.
    pub const fn me(&self) -> &Holder {
        &self.me
    }

    /// Returns the map in use.
    pub const fn map(&self) -> &Arc<Map> {
        &self.map
    }

    /// Returns the register of claims.
    pub const fn register(&self) -> &Register {
        &self.register
    }

    /// Returns whether the log works for this node.
    pub fn log_is_up(&self, now: Timestamp) -> bool {
        self.health.fresh(now, &self.timing).is_some()
    }

    /// Returns how many records of the claims stream could not be read.
    pub const fn malformed(&self) -> u64 {
        self.malformed
    }

    /// Does all that is due, in a fixed order.
    fn advance(&mut self, now: Timestamp) {
        self.lapse(now);
        self.resume(now);
        self.forget_bids(now);
        self.renew(now);
        self.plead(now);
        self.take_over(now);
        self.hand_over(now);
        self.read(now);
    }

    fn topology(&mut self, map: Arc<Map>, now: Timestamp) {
        if map.as_of() < self.map.as_of() {
            return;
        }
        for node in self.map.nodes() {
            if map.node(node.id).is_none() {
                self.watch.unlisted(node.id, node.address, now);
            }
        }
        for node in map.nodes() {
            self.watch.listed(node.id);
        }
        let listed = map.node(self.me.node).is_some();
        self.listed_since = match self.listed_since {
            Some(since) if listed => Some(since),
            _ => listed.then_some(now),
        };
        self.map = map;
    }

    /// Returns whether this node hands over and takes nothing on.
    fn leaving(&self) -> bool {
        let listed = self.map.node(self.me.node);
        self.draining || listed.is_some_and(|node| node.state == vm::State::Leaving)
    }

    /// Returns whether this node has just read the log to its end and can append to it.
    fn is_current(&self, now: Timestamp) -> bool {
        let read = self.reader.current;
        let read = read.is_some_and(|sent| now.since(sent) < self.timing.get_lease());
        read && self.health.fresh(now, &self.timing).is_some()
    }
}
