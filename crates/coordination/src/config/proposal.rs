//! A set of changes that an operator wants to be accepted as a whole.

use std::collections::BTreeSet;

use fulmarpier_state::clock::Timestamp;
use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

use super::{
    Change,
    Invalid,
    Key,
    Version, //
};

/// Changes that are accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Tells this proposal from all others, also when its record is read back or doubled.
    pub id: Uuid,
    /// The version that the operator saw.
    pub base: Version,
    /// Who made it.
    pub operator: String,
    /// When it was made, in the clock of the node that took it; for people only.
    pub at: Timestamp,
    /// What it changes, in order.
    pub changes: Vec<Change>,
}

impl Proposal {
    /// The most changes of one proposal, so that its record stays far below the log's bound.
    pub const MAX_CHANGES: usize = 256;

    /// Returns everything that the changes touch, each once.
    pub fn keys(&self) -> BTreeSet<Key> {
        self.changes.iter().flat_map(Change::keys).collect()
    }

    /// Checks the count of changes.
    ///
    /// # Errors
    ///
    /// [`Invalid::Empty`] or [`Invalid::ManyChanges`].
    pub fn validate(&self) -> Result<(), Invalid> {
        Self::check_count(self.changes.len())
    }

    /// Checks a count of changes.
    pub(super) const fn check_count(found: usize) -> Result<(), Invalid> {
        let most = Self::MAX_CHANGES;
        match found {
            0 => Err(Invalid::Empty),
            _ if found > most => Err(Invalid::ManyChanges { found, most }),
            _ => Ok(()),
        }
    }
}
