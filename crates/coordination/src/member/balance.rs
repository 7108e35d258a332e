//! Which node should have which shard.

use std::{
    cmp::Reverse,
    collections::BTreeMap, //
};

use fulmarpier_state::id::{
    DataCentreId,
    NodeId,
    ShardId, //
};

use crate::topology::{
    data_centre_of,
    score, //
};

/// The nodes that take on shards, with how many each has.
///
/// Every node works this out from the same log, so they mostly agree; where they don't, the log
/// still gives a shard to one only, and the difference costs a lost claim or one move.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    loads: BTreeMap<NodeId, usize>,
    centres: BTreeMap<NodeId, DataCentreId>,
    shards: usize,
}

/// One shard to move from one node to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Move {
    /// Who has too many.
    pub(super) from: NodeId,
    /// Who has too few.
    pub(super) to: NodeId,
}

impl Fleet {
    /// Makes a fleet without nodes for `shards` shards.
    pub(super) fn new(shards: usize) -> Self {
        Self {
            shards,
            ..Self::default()
        }
    }

    /// Adds a node without shards.
    pub(super) fn join(&mut self, node: NodeId, centre: Option<DataCentreId>) {
        self.loads.insert(node, 0);
        if let Some(centre) = centre {
            self.centres.insert(node, centre);
        }
    }

    /// Counts one more shard for `node`, where it is in the fleet.
    pub(super) fn load(&mut self, node: NodeId) {
        if let Some(load) = self.loads.get_mut(&node) {
            *load += 1;
        }
    }

    /// Lists the nodes in the order in which they should take `shard`.
    ///
    /// A node with its fair share comes last, one in the shard's data centre first, and rendezvous
    /// hashing decides the rest.
    pub(super) fn order(&self, shard: ShardId) -> Vec<NodeId> {
        let fair = self.shards.div_ceil(self.loads.len().max(1));
        let mut order: Vec<_> = self.loads.iter().collect();
        order.sort_by_cached_key(|(node, load)| {
            let full = **load >= fair;
            let away = self.centres.get(node) != Some(&data_centre_of(shard));
            let score = score(u64::from(shard.0), u64::from(node.0));
            (full, away, Reverse(score), **node)
        });
        order.into_iter().map(|(node, _)| *node).collect()
    }

    /// Returns the move that evens the loads out most, where two differ by more than one.
    pub(super) fn uneven(&self) -> Option<Move> {
        let most = self
            .loads
            .iter()
            .max_by_key(|(node, load)| (**load, Reverse(**node)));
        let least = self
            .loads
            .iter()
            .min_by_key(|(node, load)| (**load, **node));
        let ((from, most), (to, least)) = (most?, least?);
        (*most > least + 1).then_some(Move {
            from: *from,
            to: *to,
        })
    }

    /// Picks the one of `shards` that suits `node` best.
    pub(super) fn fittest(
        &self,
        node: NodeId,
        shards: impl Iterator<Item = ShardId>,
    ) -> Option<ShardId> {
        let centre = self.centres.get(&node).copied();
        shards.max_by_key(|shard| {
            let near = centre == Some(data_centre_of(*shard));
            (near, score(u64::from(shard.0), u64::from(node.0)))
        })
    }
}
