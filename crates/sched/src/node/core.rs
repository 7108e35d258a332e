//! The node: its parts, and how events reach them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use fulmarpier_coordination::{
    claim::Holder,
    config::{
        Progress,
        Refresh,
        Register, //
    },
    credit,
    member::{
        self,
        Machine, //
    },
    part,
    platform::vm,
    topology::Map,
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    id::{
        JobId,
        ShardId, //
    },
};

use uuid::{
    Builder,
    Uuid, //
};

use super::{
    CallId,
    Counts,
    Input,
    Outbox,
    Output,
    Purpose,
    Settings,
    command::Running,
    configure::Publication, //
};
use crate::shard::{
    Live,
    Opening,
    Scope, //
};

/// One shard that this node owns.
pub(super) enum Shard {
    /// Its journal is being taken over.
    Opening(Box<Opening>),
    /// It is recovered or being recovered.
    Live(Box<Live>),
}

/// One node's control state.
///
/// [`Self::on`] takes what happened and returns what is to be done. Each [`Output`] that names a
/// purpose, dispatch or number is answered by exactly one [`Input`].
pub struct Node {
    pub(super) settings: Settings,
    pub(super) holder: Holder,
    pub(super) map: Map,
    pub(super) member: Machine,
    pub(super) shards: BTreeMap<ShardId, Shard>,
    pub(super) credits: credit::Ledger,
    pub(super) register: Register,
    pub(super) progress: Progress,
    /// The versions that the gates have in force.
    pub(super) gates: Progress,
    pub(super) refresh: Refresh,
    pub(super) reading: bool,
    pub(super) read_at: Timestamp,
    pub(super) publications: Vec<Publication>,
    pub(super) publishing: bool,
    pub(super) commands: HashMap<u64, Running>,
    /// Calls about jobs that came as commands, to be answered as such.
    pub(super) as_command: HashMap<CallId, JobId>,
    pub(super) next_number: u64,
    /// Whether the node takes nothing more on.
    pub(super) draining: bool,
    /// Whether its process is about to end.
    pub(super) ending: bool,
    pub(super) listing: bool,
    pub(super) list_at: Timestamp,
    /// What the shards of the region have left, as far as it was asked for.
    pub(super) rooms: part::Rooms,
    pub(super) rooms_at: Timestamp,
    pub(super) sites: Arc<part::Sites>,
    pub(super) out: Outbox,
}

impl Node {
    /// Starts a node; it owns nothing until it has read the claims and the VM list.
    pub fn new(holder: Holder, settings: Settings, seed: u64, now: Timestamp) -> Self {
        let map = Map::new(settings.region, settings.shards);
        let (member, effects) =
            Machine::new(holder, settings.timing, Arc::new(map.clone()), seed, now);
        let mut node = Self {
            holder,
            map,
            member,
            shards: BTreeMap::new(),
            credits: credit::Ledger::new(settings.credit),
            register: Register::new(),
            progress: Progress::new(),
            gates: Progress::new(),
            refresh: Refresh::new(holder.node, settings.retention, now),
            reading: false,
            read_at: now,
            publications: Vec::new(),
            publishing: false,
            commands: HashMap::default(),
            as_command: HashMap::default(),
            next_number: 0,
            draining: false,
            ending: false,
            listing: false,
            list_at: now,
            rooms: part::Rooms::default(),
            rooms_at: now,
            sites: Arc::default(),
            out: Outbox::default(),
            settings,
        };
        node.follow_member(effects, now);
        node
    }

    /// Takes what happened at `now`, and returns what is to be done, in order.
    pub fn on(&mut self, input: Input, now: Timestamp) -> Vec<Output> {
        self.on_all(vec![input], now)
    }

    /// Takes several events that happened at `now`, and returns what is to be done, in order.
    ///
    /// What is due is looked for once, so a burst costs little more than one event.
    pub fn on_all(&mut self, inputs: Vec<Input>, now: Timestamp) -> Vec<Output> {
        for input in inputs {
            self.take(input, now);
        }
        self.advance(now);
        let mut outputs = self.out.take();
        self.translate(&mut outputs);
        outputs
    }

    /// Returns when [`Input::Tick`] is next due, if nothing happens before.
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        let shards = self.shards.values().filter_map(|shard| match shard {
            Shard::Opening(opening) => opening.next_wake(now),
            Shard::Live(live) => live.next_wake(now),
        });
        let list = (!self.listing).then_some(self.list_at);
        let read = (!self.reading).then_some(self.read_at);
        let commands = self.commands.values().map(Running::until);
        let publications = self.publications.iter().map(Publication::until);
        shards
            .chain(list)
            .chain(read)
            .chain(commands)
            .chain(publications)
            .chain([self.member.next_wake(now)])
            .min()
            .unwrap_or(now)
    }

    /// Takes what was counted since the last time.
    pub fn counts(&mut self) -> Counts {
        self.out.counts()
    }

    /// Returns the ownership machine.
    pub const fn member(&self) -> &Machine {
        &self.member
    }

    /// Returns the slots of the targets of this node's shards.
    pub const fn credits(&self) -> &credit::Ledger {
        &self.credits
    }

    /// Returns the configuration.
    pub const fn register(&self) -> &Register {
        &self.register
    }

    /// Returns the shards of this node that place work at the moment.
    pub fn active_shards(&self, now: Timestamp) -> impl Iterator<Item = ShardId> + '_ {
        self.lives()
            .filter(move |live| live.is_placing(now))
            .map(|live| live.shard)
    }

    /// Returns whether callers may be sent here: the log and the VM list were read, and the node
    /// does not leave.
    pub fn is_ready(&self, now: Timestamp) -> bool {
        let listed = self.map.as_of() != Timestamp::ZERO;
        listed && !self.draining && (self.member.log_is_up(now) || !self.shards.is_empty())
    }

    /// Returns the engine of a shard that this node owns.
    pub fn engine(&self, shard: ShardId) -> Option<&fulmarpier_state::engine::Engine> {
        match self.shards.get(&shard)? {
            Shard::Live(live) => Some(live.engine()),
            Shard::Opening(_) => None,
        }
    }

    /// Returns the shards that are recovered or being recovered.
    pub(super) fn lives(&self) -> impl Iterator<Item = &Live> {
        self.shards.values().filter_map(|shard| match shard {
            Shard::Live(live) => Some(live.as_ref()),
            Shard::Opening(_) => None,
        })
    }

    /// Lets a shard that is at hand handle something.
    pub(super) fn with_live<T>(
        &mut self,
        shard: ShardId,
        now: Timestamp,
        act: impl FnOnce(&mut Live, &mut Scope<'_>) -> T,
    ) -> Option<T> {
        let Some(Shard::Live(live)) = self.shards.get_mut(&shard) else {
            return None;
        };
        live.set_may_start(self.member.may_start(shard, now));
        let mut scope = Scope {
            out: &mut self.out,
            credits: &mut self.credits,
            rooms: &self.rooms,
            settings: &self.settings.shard,
            now,
        };
        Some(act(live, &mut scope))
    }

    fn take(&mut self, input: Input, now: Timestamp) {
        match input {
            Input::Tick => self.member_event(member::Event::Tick, now),
            Input::Call { id, call } => self.call(id, call, now),
            Input::Appended { purpose, result } => self.appended(purpose, result, now),
            Input::Page { purpose, result } => self.page(purpose, result, now),
            Input::Synced { dispatch, result } => {
                self.with_live(dispatch.shard, now, |live, scope| {
                    if live.epoch == dispatch.epoch {
                        live.synced(dispatch.worker, dispatch.number, result, scope);
                    }
                });
            }
            Input::Asked { asking, result } => self.asked(asking, result, now),
            Input::Forwarded {
                number,
                node,
                reply,
            } => self.forwarded(number, node, reply, now),
            Input::Listed(list) => self.listed(list, now),
            Input::Drain => {
                self.draining = true;
                self.ending = true;
                self.member_event(member::Event::Drain, now);
            }
        }
    }

    /// Does all that is due.
    fn advance(&mut self, now: Timestamp) {
        if !self.listing && self.list_at <= now {
            self.listing = true;
            self.out.push(Output::List);
        }
        self.read_config(now);
        self.publish(now);
        self.expire_commands(now);
        self.credits.tick(now);
        if self.member.next_wake(now) <= now {
            self.member_event(member::Event::Tick, now);
        }
        self.pump_parts(now);
        self.pump_shards(now);
    }

    fn listed(&mut self, list: Option<vm::List>, now: Timestamp) {
        self.listing = false;
        self.list_at = now + self.settings.list;
        let Some(list) = list else {
            self.out.retry("vm-list");
            return;
        };
        let machines = u32::try_from(list.entries.len()).unwrap_or(u32::MAX);
        self.list_at = now + self.settings.list_interval(machines);
        // A list that is older or unusable changes nothing; the next one may be better.
        if self.map.update(&list).is_err() {
            return;
        }
        let map = Arc::new(self.map.clone());
        self.sites = Arc::new(part::Sites::new(&map));
        self.member_event(member::Event::Topology(map), now);
        let nodes: BTreeSet<_> = self.map.nodes().map(|node| node.id).collect();
        self.progress.list(nodes.clone());
        self.gates.list(nodes);
        self.refresh_shards(now);
    }

    fn appended(
        &mut self,
        purpose: Purpose,
        result: Result<fulmarpier_state::id::Offset, fulmarpier_coordination::platform::log::Error>,
        now: Timestamp,
    ) {
        match purpose {
            Purpose::Member(token) => self.member_appended(token, result, now),
            Purpose::Journal { shard, epoch } => self.journal_appended(shard, epoch, result, now),
            Purpose::Publish => self.published(result, now),
            Purpose::Config => {}
        }
    }

    fn page(
        &mut self,
        purpose: Purpose,
        result: Result<
            fulmarpier_coordination::platform::log::Page,
            fulmarpier_coordination::platform::log::Error,
        >,
        now: Timestamp,
    ) {
        match purpose {
            Purpose::Member(token) => self.member_page(token, result, now),
            Purpose::Journal { shard, epoch } => self.journal_page(shard, epoch, result, now),
            Purpose::Config => self.config_page(result, now),
            Purpose::Publish => {}
        }
    }

    /// Makes an id that no other node makes, and this one only once.
    pub(super) fn fresh_id(&mut self, now: Timestamp) -> Uuid {
        let mut own = [0; 10];
        own[..4].copy_from_slice(&self.holder.node.0.to_be_bytes());
        own[4..].copy_from_slice(&self.number().to_be_bytes()[2..]);
        Builder::from_unix_timestamp_millis(now.as_millis(), &own).into_uuid()
    }

    /// Returns a number that was not used before.
    pub(super) const fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Answers a call.
    pub(super) fn answer(&mut self, id: CallId, answer: fulmarpier_protocol::wire::Answer) {
        self.out.answer(id, answer);
    }
}
