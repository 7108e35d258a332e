//! Questions about the ownership of shards.

use std::time::Duration;

use fulmarpier_state::id::ShardId;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::claim::{
    Holder,
    Holding, //
};

/// What a node asks another about ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// "My renewals don't reach the log. Is it down for you too?"
    Vouch {
        /// What the asker holds.
        holdings: Vec<Holding>,
    },
    /// "I am about to take these shards over. Do you hold one, or have you vouched for the owner?"
    Takeover {
        /// The present owner, where the log shows one.
        owner: Option<Holder>,
        /// The shards.
        shards: Vec<ShardId>,
    },
}

/// What a node answers about ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Vouch`]: the log is down here too. The asker may go on with these shards for
    /// one lease from when it asked; the answerer takes none of them over meanwhile.
    Down {
        /// The shards vouched for.
        shards: Vec<ShardId>,
    },
    /// To [`Question::Vouch`]: the log is up here.
    Up {
        /// How long ago the last renewal was sent that reached the log.
        age: Duration,
    },
    /// To [`Question::Takeover`]: these are in use here.
    Holding {
        /// The shards in use.
        shards: Vec<ShardId>,
    },
    /// To [`Question::Takeover`]: a vouch for the owner still lasts.
    Vouched,
    /// To [`Question::Takeover`]: none is in use here and no vouch lasts; none will be given for
    /// a lease.
    Clear,
    /// The one asked has started too recently, or may not say.
    Unsure,
}
