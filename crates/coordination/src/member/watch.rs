//! What this node saw of the others, and when.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        Incarnation,
        NodeId,
        ShardId, //
    },
};

use crate::claim::Holder;

/// What this node saw of the others, by its own clock.
#[derive(Debug, Default)]
pub(super) struct Watch {
    begun: Timestamp,
    shards: BTreeMap<ShardId, Timestamp>,
    nodes: BTreeMap<NodeId, Timestamp>,
    gone: BTreeSet<(NodeId, Incarnation)>,
    lapsed: BTreeMap<ShardId, Epoch>,
    dropped: BTreeMap<NodeId, (Timestamp, SocketAddr)>,
}

impl Watch {
    /// Begins to watch.
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            begun: now,
            ..Self::default()
        }
    }

    /// Forgets what came from the log, since a part of it was missed.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.begun = now;
        self.shards.clear();
        self.lapsed.clear();
    }

    /// Notes a sign of life of the owner of `shard`.
    pub(super) fn owner_seen(&mut self, shard: ShardId, now: Timestamp) {
        self.shards.insert(shard, now);
        self.lapsed.remove(&shard);
    }

    /// Returns when the owner of `shard` was last seen, or when the watch began.
    pub(super) fn last_seen(&self, shard: ShardId) -> Timestamp {
        self.shards.get(&shard).copied().unwrap_or(self.begun)
    }

    /// Notes a record of `node`.
    pub(super) fn node_seen(&mut self, node: NodeId, now: Timestamp) {
        self.nodes.insert(node, now);
    }

    /// Returns when a record of `node` was last seen.
    pub(super) fn node(&self, node: NodeId) -> Option<Timestamp> {
        self.nodes.get(&node).copied()
    }

    /// Notes that the process of `holder` has ended.
    pub(super) fn ended(&mut self, holder: &Holder) {
        self.gone.insert((holder.node, holder.incarnation));
    }

    /// Returns whether the process of `holder` is known to have ended.
    pub(super) fn has_ended(&self, holder: &Holder) -> bool {
        self.gone.contains(&(holder.node, holder.incarnation))
    }

    /// Notes that the owner itself said that its lease on `shard` has lapsed.
    pub(super) fn owner_lapsed(&mut self, shard: ShardId, epoch: Epoch) {
        self.lapsed.insert(shard, epoch);
    }

    /// Returns whether the owner said that its lease on `shard` has lapsed.
    pub(super) fn has_lapsed(&self, shard: ShardId, epoch: Epoch) -> bool {
        self.lapsed.get(&shard) == Some(&epoch)
    }

    /// Notes that the VM list no longer has `node`, which listened at `address`.
    pub(super) fn unlisted(&mut self, node: NodeId, address: SocketAddr, now: Timestamp) {
        self.dropped.insert(node, (now, address));
    }

    /// Lists the nodes that the VM list has lost, with where they listened.
    pub(super) fn all_unlisted(&self) -> impl Iterator<Item = (NodeId, SocketAddr)> {
        let nodes = self.dropped.iter();
        nodes.map(|(node, (_, address))| (*node, *address))
    }

    /// Notes that the VM list has `node`.
    pub(super) fn listed(&mut self, node: NodeId) {
        self.dropped.remove(&node);
    }

    /// Returns when the VM list lost `node`, where it had it before.
    pub(super) fn unlisted_at(&self, node: NodeId) -> Option<Timestamp> {
        self.dropped.get(&node).map(|(at, _)| *at)
    }
}
