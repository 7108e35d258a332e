//! What gates and owners tell each other about slots.

use std::time::Duration;

use fulmarpier_state::{
    id::{
        Epoch,
        Incarnation,
        NodeId, //
    },
    name::Service, //
};

use crate::platform::target::{
    self,
    Target, //
};

/// What a gate wants of one service from one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: Service,
    /// How many slots the gate wants to hold in all on this owner's targets.
    pub wanted: u32,
}

/// What a gate keeps of one target, from the making of the statement on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The target.
    pub target: target::Id,
    /// The epoch of the owner that the gate knows; an owner at another epoch passes it over.
    pub epoch: Epoch,
    /// The most slots that the gate will fill until it applies the reply; a total, not a difference.
    pub slots: u16,
    /// Slots that it gives up without knowing whether they are free, since the last reply that it
    /// applied.
    pub abandoned: u16,
}

/// What a gate tells an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The gate's node.
    pub gate: NodeId,
    /// Which life of the gate's process this is.
    pub incarnation: Incarnation,
    /// Rises with each statement of this life, over all owners.
    pub sequence: u64,
    /// What the gate wants, at most one entry a service.
    pub demands: Vec<Demand>,
    /// What the gate keeps of this owner's targets; nothing of a target that is not listed.
    pub holds: Vec<Hold>,
    /// Whether the gate is leaving and wants nothing more.
    pub draining: bool,
}

/// Slots of one target that a gate may fill until the lease ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The service that the target belongs to.
    pub service: Service,
    /// The target and where it listens.
    pub target: Target,
    /// The epoch under which the owner holds the target; a lower one than known is void.
    pub epoch: Epoch,
    /// The total that the gate may fill. Zero withdraws the target; under a new epoch it asks the
    /// gate to state what it holds there to the new owner.
    pub slots: u16,
    /// How long the grant lasts from the making of the statement.
    pub lease: Duration,
}

/// What an owner answers to a [`Statement`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The sequence of the statement that it answers.
    pub sequence: u64,
    /// The slots that the gate holds now. Of a target that the statement listed and that is not here
    /// the owner can say nothing; what the gate holds of it stays until it lapses.
    pub grants: Vec<Grant>,
}
