//! What became of a proposal.

use fulmarpier_state::{
    id::Offset,
    refusal::{
        Reason,
        Refusal, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Invalid,
    Key,
    Touch,
    Version, //
};

/// Why a proposal lost against an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error(
    "{key} was changed by `{}` ({}, at {}) after {base}, on which this change was based",
    winner.operator, Version::at(winner.offset), winner.at
)]
pub struct Conflict {
    /// What both touch.
    pub key: Key,
    /// The version that the loser was based on.
    pub base: Version,
    /// Who won, and when.
    pub winner: Touch,
}

/// Why a proposal was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Something that it touches was changed after its base.
    #[error(transparent)]
    Conflict(Conflict),
    /// Its base is older than the changes that are still remembered one by one.
    #[error("{base} is too old to tell what changed since; the oldest base taken is {floor}")]
    Stale {
        /// The base of the proposal.
        base: Version,
        /// The oldest base that is still accepted.
        floor: Version,
    },
    /// Its base is ahead of the log, which no honest node writes.
    #[error("{base} is not a version before this proposal")]
    Ahead {
        /// The base of the proposal.
        base: Version,
    },
    /// The changes are not acceptable on the document as it was then.
    #[error(transparent)]
    Invalid(#[from] Invalid),
}

impl Rejection {
    /// Returns the refusal that the operator gets.
    pub fn refusal(&self) -> Refusal {
        let reason = match self {
            Self::Conflict(_) | Self::Stale { .. } | Self::Ahead { .. } => Reason::Conflict,
            Self::Invalid(Invalid::UnknownTeam { .. }) => Reason::UnknownTeam,
            Self::Invalid(Invalid::UnknownService { .. }) => Reason::UnknownService,
            Self::Invalid(_) => Reason::Unsafe,
        };
        Refusal::new(reason, self.to_string())
    }
}

/// What became of a proposal; the same on every node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is in force from this version on.
    Accepted {
        /// The version that it brought.
        version: Version,
    },
    /// It was rejected and changed nothing.
    Rejected {
        /// Why.
        reason: Rejection,
    },
    /// The same proposal stands earlier in the log, where its verdict was reached.
    Repeated {
        /// The offset of the first record of the proposal.
        first: Offset,
        /// Whether it was accepted there.
        accepted: bool,
    },
}
