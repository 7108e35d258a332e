//! What the gate knows of the scheds, as traffic threads read it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc, //
};

use fulmarpier_coordination::config::{
    Document,
    Version, //
};
use fulmarpier_protocol::wire::sync;
use fulmarpier_state::id::{
    Epoch,
    NodeId,
    ShardId, //
};

/// What is known of one sched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sched {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it answered the last exchange.
    pub is_up: bool,
    /// Whether it is draining.
    pub is_draining: bool,
}

/// A shard with its owner and a digest of its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    /// The owner.
    pub node: NodeId,
    /// The digest; its epoch says which of two owners is the later one.
    pub shard: sync::Shard,
}

/// What the gate knows of the scheds at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The scheds of the region, from the settings.
    pub scheds: BTreeMap<NodeId, Sched>,
    /// The shards that somebody owns, as far as known.
    pub owners: BTreeMap<ShardId, Owned>,
    /// All shards of the region, owned or not.
    pub shards: Arc<[ShardId]>,
    /// The newest configuration seen.
    pub config: Arc<Document>,
    /// Its version.
    pub version: Version,
}

impl View {
    /// Returns the address of the owner of a shard, where one is known.
    pub fn owner(&self, shard: ShardId) -> Option<(NodeId, SocketAddr)> {
        let node = self.owners.get(&shard)?.node;
        self.address(node).map(|address| (node, address))
    }

    /// Returns the address of a sched.
    pub fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.scheds.get(&node).map(|sched| sched.address)
    }

    /// Returns the scheds that answered lately, those that are not draining first.
    pub fn live(&self) -> Vec<(NodeId, SocketAddr)> {
        let mut live: Vec<_> = self.scheds.iter().filter(|(_, s)| s.is_up).collect();
        live.sort_by_key(|(_, sched)| sched.is_draining);
        live.into_iter()
            .map(|(node, sched)| (*node, sched.address))
            .collect()
    }

    /// Tells whether the configuration is known; a region without one shows by all its scheds.
    pub fn is_informed(&self) -> bool {
        self.version != Version::NONE || self.scheds.values().all(|sched| sched.is_up)
    }

    /// Tells whether any sched answered lately.
    pub fn is_connected(&self) -> bool {
        self.scheds.values().any(|sched| sched.is_up)
    }

    /// Takes in what a sched says it owns.
    ///
    /// A shard that it no longer lists has no known owner, unless another sched said so at a later
    /// epoch.
    pub(super) fn own(&mut self, node: NodeId, shards: &[sync::Shard]) {
        let listed = |id| shards.iter().any(|shard| shard.id == id);
        self.owners
            .retain(|id, owned| owned.node != node || listed(*id));
        for shard in shards {
            let known = self.owners.get(&shard.id);
            let newer = known.is_none_or(|known| is_newer(shard.epoch, node, known));
            if newer {
                let shard = shard.clone();
                self.owners.insert(shard.id, Owned { node, shard });
            }
        }
    }

    /// Tells whether a sched answered lately.
    pub(super) fn is_up(&self, node: NodeId) -> bool {
        self.scheds.get(&node).is_some_and(|sched| sched.is_up)
    }
}

fn is_newer(epoch: Epoch, node: NodeId, known: &Owned) -> bool {
    epoch > known.shard.epoch || (epoch == known.shard.epoch && node == known.node)
}
