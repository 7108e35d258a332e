//! Which vacant shards this node claims, and when.

use std::{
    collections::BTreeSet,
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
    Machine,
    Record,
    Sent,
    vm, //
};
use crate::{
    claim::Standing,
    member::balance::Fleet, //
};

impl Machine {
    /// Claims vacant shards, each node in its turn.
    pub(super) fn claim(&mut self, vacant: &[ShardId], now: Timestamp) {
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
