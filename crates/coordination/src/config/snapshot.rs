//! The outcome of a prefix of the stream.

use std::sync::Arc;

use fulmarpier_state::id::Offset;
use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use super::{
    Document,
    Key,
    Touch,
    Version, //
};

/// A proposal that was met lately, kept so that a second copy of its record does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Met {
    /// The id of the proposal.
    pub id: Uuid,
    /// Where its first record stands.
    pub offset: Offset,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// Everything that a node needs to go on from an offset as if it had read all before it.
///
/// It is appended to the stream well within the log's retention and is also what a node gives a peer
/// that starts while the log is down.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The offset of the first record that is not part of it.
    pub through: Offset,
    /// The version in force.
    pub version: Version,
    /// The document in force.
    pub document: Arc<Document>,
    /// The oldest base that a proposal may have.
    pub floor: Version,
    /// The last change of each key, ordered by key.
    pub touches: Vec<(Key, Touch)>,
    /// The proposals met lately, oldest first.
    pub met: Vec<Met>,
}
