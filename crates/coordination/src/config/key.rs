//! What a change touches, as the unit of conflicts.

use std::fmt;

use fulmarpier_state::{
    id::{
        NodeId,
        Offset,
        WorkerId, //
    },
    name::{
        Service,
        Team, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

/// A part of the document that changes as a whole.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    /// One team.
    Team(Team),
    /// One service.
    Service(Service),
    /// The weights.
    Weights,
    /// The policy switches.
    Policy,
    /// The limits.
    Limits,
    /// Whether one worker is drained or quarantined.
    Worker(WorkerId),
    /// Whether one node is drained.
    Node(NodeId),
    /// The capacity that is left: two changes that each take some away must see each other, since
    /// each may be harmless alone and harmful together.
    Capacity,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(name) => write!(f, "team {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Weights => f.write_str("weights"),
            Self::Policy => f.write_str("policy"),
            Self::Limits => f.write_str("limits"),
            Self::Worker(id) => write!(f, "worker {id}"),
            Self::Node(id) => write!(f, "node {id}"),
            Self::Capacity => f.write_str("the capacity in service"),
        }
    }
}

/// The last accepted proposal that touched a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Touch {
    /// Where the proposal stands in the log.
    pub offset: Offset,
    /// Who made it.
    pub operator: String,
    /// Its id.
    pub id: Uuid,
    /// When its operator made it, in the clock of the node that took it; for people only.
    pub at: fulmarpier_state::clock::Timestamp,
}
