//! Which shards have no owner any more, by what evidence, and who claims them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use super::{
    Bid,
    Holder,
    Machine,
    Owner,
    Purpose,
    Record,
    Sent,
    SocketAddr,
    ownership,
    vm, //
};
use crate::{
    claim::Standing,
    member::balance::Fleet, //
};

/// What is known of a shard that this node does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// Its owner is not to be disturbed.
    Owned,
    /// Its owner is silent, or not known; the evidence is not complete.
    Suspect(Option<Holder>),
    /// The same, and the evidence is complete for as long as the answers last.
    Silent(Option<Holder>),
    /// Its owner can start nothing there any more, or it never had one.
    Vacant,
}

impl Machine {
    /// Looks for shards without an owner, gathers evidence and claims.
    pub(super) fn take_over(&mut self, now: Timestamp) {
        let mut vacant = Vec::new();
        let mut suspects: BTreeMap<Option<Holder>, BTreeSet<ShardId>> = BTreeMap::new();
        if !self.leaving() && self.is_current(now) {
            for shard in self.foreign_shards() {
                match self.verdict(shard, now) {
                    Verdict::Owned => {}
                    Verdict::Suspect(owner) => {
                        suspects.entry(owner).or_default().insert(shard);
                    }
                    Verdict::Silent(owner) => {
                        suspects.entry(owner).or_default().insert(shard);
                        vacant.push(shard);
                    }
                    Verdict::Vacant => vacant.push(shard),
                }
            }
        }
        self.inquire(&suspects, now);
        self.due.retain(|shard, _| vacant.contains(shard));
        self.claim(&vacant, now);
    }

    /// Lists the shards of the map and of the log that this node does not hold.
    fn foreign_shards(&self) -> BTreeSet<ShardId> {
        let named = self.register.owners().map(|(shard, _)| shard);
        let all = self.map.shards().chain(named);
        all.filter(|shard| !self.tenures.contains_key(shard))
            .collect()
    }

    fn verdict(&self, shard: ShardId, now: Timestamp) -> Verdict {
        match self.register.owner(shard) {
            // With the whole stream read, no owner means that there never was one.
            None if self.register.is_whole() => Verdict::Vacant,
            None if self.is_silent(shard, now) => self.silent(shard, None, now),
            None => Verdict::Owned,
            Some(owner) => self.verdict_on(shard, owner, now),
        }
    }

    fn verdict_on(&self, shard: ShardId, owner: &Owner, now: Timestamp) -> Verdict {
        let silence = now.since(self.watch.last_seen(shard));
        if let Some(successor) = owner.released {
            let named = successor.is_some_and(|node| node != self.me.node);
            let reserved = named && silence < self.timing.foreign_lease();
            return if reserved {
                Verdict::Owned
            } else {
                Verdict::Vacant
            };
        }
        if self.has_ended(shard, owner) {
            return Verdict::Vacant;
        }
        if silence < self.timing.get_suspicion() {
            return Verdict::Owned;
        }
        let unlisted = self.watch.unlisted_at(owner.holder.node).is_some();
        if unlisted && self.map.node(owner.holder.node).is_none() {
            return Verdict::Vacant;
        }
        self.silent(shard, Some(owner.holder), now)
    }

    /// Returns whether the owner itself shows that it starts nothing any more.
    fn has_ended(&self, shard: ShardId, owner: &Owner) -> bool {
        let holder = &owner.holder;
        let later = self.register.presence(holder.node);
        // A tenure of this very process that it no longer has was given up by it.
        *holder == self.me
            || self.watch.has_ended(holder)
            || self.watch.has_lapsed(shard, owner.epoch)
            || later.is_some_and(|presence| presence.holder.succeeds(holder))
    }

    /// Judges a silent or unknown owner by what the peers answered.
    fn silent(&self, shard: ShardId, owner: Option<Holder>, now: Timestamp) -> Verdict {
        let node = owner.map(|holder| holder.node);
        let peers: Vec<_> = self
            .witnesses(node, now)
            .into_iter()
            .map(|(node, _)| node)
            .collect();
        let complete = self.inquiries.get(&owner).is_some_and(|inquiry| {
            inquiry.covers(shard) && inquiry.complete(&peers, now, &self.timing)
        });
        if complete && self.is_silent(shard, now) && !self.vouches.lasts(node, now) {
            Verdict::Silent(owner)
        } else {
            Verdict::Suspect(owner)
        }
    }

    /// Returns whether renewals were missed for a lease plus drift while the log worked.
    fn is_silent(&self, shard: ShardId, now: Timestamp) -> bool {
        let Some(up) = self.health.up_since(now, &self.timing) else {
            return false;
        };
        let since = up.max(self.watch.last_seen(shard));
        now.since(since) >= self.timing.foreign_lease()
    }

    /// Lists the nodes that could have vouched for `owner`, with where they listen.
    pub(super) fn witnesses(
        &self,
        owner: Option<NodeId>,
        now: Timestamp,
    ) -> Vec<(NodeId, SocketAddr)> {
        let mut nodes = self.peers();
        nodes.retain(|node, _| Some(*node) != owner && !self.is_past(*node, now));
        nodes.into_iter().collect()
    }

    /// Lists all other nodes of the VM list and the log, with where they listen.
    pub(super) fn peers(&self) -> BTreeMap<NodeId, SocketAddr> {
        let logged = self
            .register
            .nodes()
            .map(|p| (p.holder.node, p.holder.address));
        let listed = self.map.nodes().map(|node| (node.id, node.address));
        let mut nodes: BTreeMap<_, _> = logged.chain(listed).collect();
        nodes.remove(&self.me.node);
        nodes
    }

    /// Returns whether `node` is gone for so long that no vouch of it can last.
    fn is_past(&self, node: NodeId, now: Timestamp) -> bool {
        if self.map.node(node).is_some() {
            return false;
        }
        let unlisted = self.watch.unlisted_at(node);
        let left = unlisted.is_some_and(|at| now.since(at) >= self.timing.foreign_lease());
        let seen = self.watch.node(node).unwrap_or(self.started);
        left || now.since(seen) >= self.timing.get_list_lag() + self.timing.foreign_lease()
    }

    /// Asks the silent owners, and once a lease has passed all that may have vouched for them.
    fn inquire(&mut self, suspects: &BTreeMap<Option<Holder>, BTreeSet<ShardId>>, now: Timestamp) {
        self.inquiries
            .retain(|owner, _| suspects.contains_key(owner));
        for (owner, shards) in suspects {
            let mut inquiry = self.inquiries.remove(owner).unwrap_or_default();
            inquiry.cover(shards);
            let shards = inquiry.shards();
            let due = shards.iter().any(|shard| self.is_silent(*shard, now));
            if let Some(holder) = owner
                && inquiry.ask(holder.node, now, &self.timing)
            {
                self.probe(holder, &shards, now);
            }
            let witnesses = self.witnesses(owner.map(|holder| holder.node), now);
            for (node, address) in witnesses.into_iter().filter(|_| due) {
                if inquiry.ask(node, now, &self.timing) {
                    let question = ownership::Question::Takeover {
                        owner: *owner,
                        shards: shards.clone(),
                    };
                    self.ask(node, address, question, Purpose::Inquire(*owner), now);
                }
            }
            self.inquiries.insert(*owner, inquiry);
        }
    }

    fn probe(&mut self, holder: &Holder, shards: &[ShardId], now: Timestamp) {
        let epoch = |shard: &ShardId| self.register.owner(*shard).map(|owner| owner.epoch);
        let epochs = shards
            .iter()
            .filter_map(|shard| Some((*shard, epoch(shard)?)));
        let purpose = Purpose::Probe(*holder, epochs.collect());
        let question = ownership::Question::Takeover {
            owner: Some(*holder),
            shards: shards.to_vec(),
        };
        self.ask(holder.node, holder.address, question, purpose, now);
    }

    /// Claims vacant shards, each node in its turn.
    fn claim(&mut self, vacant: &[ShardId], now: Timestamp) {
        let mut fleet = self.fleet(vacant, now);
        for shard in vacant {
            let order = fleet.order(*shard);
            if let Some(first) = order.first() {
                fleet.load(*first);
            }
            if self.has_bid(*shard, now) {
                continue;
            }
            let due = self.due.get(shard).copied();
            let due = due.unwrap_or_else(|| now + self.turn(*shard, &order));
            if now < due {
                self.due.insert(*shard, due);
                continue;
            }
            self.due.remove(shard);
            self.bid(*shard, now);
        }
    }

    /// Returns how long this node leaves `shard` to those that should rather have it.
    fn turn(&self, shard: ShardId, order: &[NodeId]) -> Duration {
        let owner = self.register.owner(shard);
        let named = owner.is_some_and(|owner| owner.released == Some(Some(self.me.node)));
        let rank = order.iter().position(|node| *node == self.me.node);
        let rank = rank.unwrap_or(order.len());
        if named || rank == 0 {
            return Duration::ZERO;
        }
        let stagger = self.timing.get_stagger();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        stagger.saturating_mul(rank) + self.jitter(shard, stagger)
    }

    /// Returns whether a claim of this node may still take effect.
    pub(super) fn has_bid(&self, shard: ShardId, now: Timestamp) -> bool {
        let lease = self.timing.get_lease();
        let bid = self.bids.get(&shard);
        bid.is_some_and(|bid| now.since(bid.sent) < lease)
    }

    /// Forgets claims that were not read back within a lease.
    ///
    /// One that takes effect later still wins or loses by its place in the log.
    pub(super) fn forget_bids(&mut self, now: Timestamp) {
        let lease = self.timing.get_lease();
        self.bids.retain(|_, bid| now.since(bid.sent) < lease);
    }

    /// Appends a claim of `shard`.
    pub(super) fn bid(&mut self, shard: ShardId, now: Timestamp) {
        let sequence = self.next_sequence();
        if let Some(owner) = self.register.owner(shard) {
            let until = now + self.timing.promise();
            self.vouches.bind(Some(owner.holder.node), until);
        }
        let record = Record::Claim {
            holder: self.me,
            sequence,
            shard,
            base: self.register.next(),
        };
        let sent = now;
        self.bids.insert(shard, Bid { sequence, sent });
        self.append(&record, Sent::Claim(shard));
    }

    /// Gives up a claim that certainly had no effect, and waits before the next.
    pub(super) fn withdraw(&mut self, shard: ShardId, now: Timestamp) {
        self.bids.remove(&shard);
        let wait = self.timing.get_retry() + self.jitter(shard, self.timing.get_retry());
        self.due.insert(shard, now + wait);
    }

    /// Works out the nodes that take on shards, with their loads.
    ///
    /// The shards in `vacant` count for nobody.
    pub(super) fn fleet(&self, vacant: &[ShardId], now: Timestamp) -> Fleet {
        let shards = self.foreign_shards().len() + self.tenures.len();
        let mut fleet = Fleet::new(shards);
        let centre = |node: NodeId| self.map.node(node).map(|node| node.data_centre);
        for node in self.takers(now) {
            fleet.join(node, centre(node));
        }
        for (shard, owner) in self.register.owners() {
            if vacant.contains(&shard) {
                continue;
            }
            let named = owner.released.flatten();
            fleet.load(named.unwrap_or(owner.holder.node));
        }
        fleet
    }

    /// Lists the nodes that take on shards: alive by the log, or listed while all are starting.
    fn takers(&self, now: Timestamp) -> BTreeSet<NodeId> {
        let young = now.since(self.started) < self.timing.get_lease();
        let leaving = |node: NodeId| {
            let listed = self.map.node(node);
            listed.is_some_and(|node| node.state == vm::State::Leaving)
        };
        let alive = |node: NodeId| {
            let seen = self.watch.node(node);
            seen.is_some_and(|seen| now.since(seen) < self.timing.get_lease())
        };
        let stays = self
            .register
            .nodes()
            .filter(|p| p.standing == Standing::Staying);
        let stays = stays.filter(|p| !self.watch.has_ended(&p.holder));
        let logged = stays.map(|p| p.holder.node).filter(|node| alive(*node));
        let unseen = |node: &NodeId| young && self.watch.node(*node).is_none();
        let listed = self.map.nodes().map(|node| node.id).filter(unseen);
        let all = logged.chain(listed).filter(|node| !leaving(*node));
        let mut takers: BTreeSet<_> = all.collect();
        if self.leaving() {
            takers.remove(&self.me.node);
        } else {
            takers.insert(self.me.node);
        }
        takers
    }
}
