//! Asking every peer before a silent owner is replaced.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
};

use super::Timing;

/// What a peer's last answer is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stance {
    /// It vouches for nobody and won't for a lease from when it was asked, restarted or not.
    Clear {
        /// When it was asked.
        asked: Timestamp,
    },
    /// Its process has ended, so it gives no vouch; what it gave lasts a lease at most.
    Ended {
        /// When this was first seen.
        first: Timestamp,
        /// When the question was sent that last showed it.
        asked: Timestamp,
    },
    /// It vouches, or may not say.
    Blocking,
}

/// The questions about one silent owner, or about shards whose owner is not known.
#[derive(Debug, Default)]
pub(super) struct Inquiry {
    shards: BTreeSet<ShardId>,
    stances: BTreeMap<NodeId, Stance>,
    asked: BTreeMap<NodeId, Timestamp>,
}

impl Inquiry {
    /// Sets the shards in question; answers about fewer shards are forgotten.
    pub(super) fn cover(&mut self, shards: &BTreeSet<ShardId>) {
        if !shards.is_subset(&self.shards) {
            self.stances.clear();
            self.asked.clear();
        }
        self.shards.clone_from(shards);
    }

    /// Returns whether the answers concern `shard`.
    pub(super) fn covers(&self, shard: ShardId) -> bool {
        self.shards.contains(&shard)
    }

    /// Returns the shards in question.
    pub(super) fn shards(&self) -> Vec<ShardId> {
        self.shards.iter().copied().collect()
    }

    /// Returns whether `node` is to be asked now, and notes that it is.
    pub(super) fn ask(&mut self, node: NodeId, now: Timestamp, timing: &Timing) -> bool {
        let last = self.asked.get(&node);
        if last.is_some_and(|last| now.since(*last) < timing.get_retry()) {
            return false;
        }
        if let Some(Stance::Clear { asked }) = self.stances.get(&node)
            && now.since(*asked) < timing.get_lease() / 2
        {
            return false;
        }
        self.asked.insert(node, now);
        true
    }

    /// Notes an answer.
    pub(super) fn note(&mut self, node: NodeId, stance: Stance) {
        let first = match self.stances.get(&node) {
            Some(Stance::Ended { first, .. }) => Some(*first),
            _ => None,
        };
        let stance = match stance {
            Stance::Ended { first: now, asked } => Stance::Ended {
                first: first.unwrap_or(now),
                asked,
            },
            other => other,
        };
        self.stances.insert(node, stance);
    }

    /// Returns whether, as of `now`, none of `peers` can vouch for the owner.
    pub(super) fn complete(&self, peers: &[NodeId], now: Timestamp, timing: &Timing) -> bool {
        let clear = |node: &NodeId| match self.stances.get(node) {
            Some(Stance::Clear { asked }) => now.since(*asked) < timing.get_lease(),
            Some(Stance::Ended { first, asked }) => {
                let lapsed = now.since(*first) >= timing.foreign_lease();
                // A process that started right after the refusal can vouch a lease later.
                let age = now.since(*asked) + timing.get_refusal_age();
                let recent = age < timing.get_lease();
                lapsed && recent
            }
            Some(Stance::Blocking) | None => false,
        };
        peers.iter().all(clear)
    }
}
