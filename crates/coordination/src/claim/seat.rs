//! What the log says about one shard.

use std::collections::BTreeMap;

use fulmarpier_state::id::{
    Epoch,
    Incarnation,
    NodeId,
    Offset, //
};

use super::Holder;

/// Who owns a shard, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The owner.
    pub holder: Holder,
    /// The offset of its winning claim.
    pub epoch: Epoch,
    /// Set once the owner gave the shard up, with the successor that it named.
    pub released: Option<Option<NodeId>>,
}

/// The state of one shard in the register.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seat {
    pub(super) owner: Option<Owner>,
    /// The last claim, whether or not it won.
    pub(super) last_claim: Option<Offset>,
    /// The last claim that could not be decided.
    pub(super) undecided: Option<Offset>,
    /// The last renewal by each life of a node, whether or not it owned the shard.
    pub(super) renewals: BTreeMap<(NodeId, Incarnation), Offset>,
}

impl Seat {
    /// Returns the owner, where the log shows one.
    pub const fn owner(&self) -> Option<&Owner> {
        self.owner.as_ref()
    }

    /// Returns the offset behind the last record that could void a claim by `holder`.
    pub(super) fn contested(&self, holder: &Holder) -> Offset {
        let key = (holder.node, holder.incarnation);
        let others = self.renewals.iter().filter(|(renewer, _)| **renewer != key);
        let last = others.map(|(_, offset)| *offset).chain(self.last_claim);
        last.max().map_or(Offset(0), Offset::next)
    }

    /// Returns the offset from which on all that concerns the shard is known, for a reader that
    /// began at `start`.
    pub(super) fn settled(&self, start: Offset) -> Offset {
        let undecided = self.undecided.map_or(start, Offset::next);
        undecided.max(start)
    }

    /// Notes a renewal, and forgets those that are older than the present epoch.
    pub(super) fn renewed(&mut self, holder: &Holder, offset: Offset) {
        let epoch = self.owner.map_or(0, |owner| owner.epoch.get());
        self.renewals.retain(|_, last| last.get() >= epoch);
        let key = (holder.node, holder.incarnation);
        self.renewals.insert(key, offset);
    }
}
