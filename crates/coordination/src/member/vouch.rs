//! What this node has promised its peers.

use std::collections::BTreeMap;

use fulmarpier_state::{
    clock::Timestamp,
    id::NodeId, //
};

/// The vouches that this node gave and the promises to give none.
#[derive(Debug, Default)]
pub(super) struct Vouches {
    given: BTreeMap<NodeId, Timestamp>,
    bound: BTreeMap<NodeId, Timestamp>,
    bound_to_all: Timestamp,
}

impl Vouches {
    /// Notes a vouch for `node` that lasts until `until`.
    pub(super) fn give(&mut self, node: NodeId, until: Timestamp) {
        let entry = self.given.entry(node).or_default();
        *entry = until.max(*entry);
    }

    /// Returns whether a vouch lasts for `node`, or for any node where none is named.
    pub(super) fn lasts(&self, node: Option<NodeId>, now: Timestamp) -> bool {
        let lasts = |until: &Timestamp| *until > now;
        match node {
            Some(node) => self.given.get(&node).is_some_and(lasts),
            None => self.given.values().any(lasts),
        }
    }

    /// Promises not to vouch for `node`, or for any node where none is named, until `until`.
    pub(super) fn bind(&mut self, node: Option<NodeId>, until: Timestamp) {
        let entry = match node {
            Some(node) => self.bound.entry(node).or_default(),
            None => &mut self.bound_to_all,
        };
        *entry = until.max(*entry);
    }

    /// Returns whether a promise forbids vouching for `node`.
    pub(super) fn forbidden(&self, node: NodeId, now: Timestamp) -> bool {
        let bound = self.bound.get(&node).is_some_and(|until| *until > now);
        bound || self.bound_to_all > now
    }
}
