//! Capacity held in one shard for a gang that spans shards.
//!
//! A hold expires on its own, so a coordinator that dies leaves nothing behind.

use std::time::Duration;

use fulmarpier_state::{
    id::{
        Epoch,
        JobId,
        ShardId,
        TaskId, //
    },
    job::Spec,
    resource::Resources, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A hold: unique for its gang, shard and try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The gang.
    pub job: JobId,
    /// The shard.
    pub shard: ShardId,
    /// Which try of the gang this is.
    pub round: u32,
}

/// What a coordinator asks the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Asks how many tasks of one size would fit at the moment, and holds that many at most.
    Hold {
        /// The hold.
        id: Id,
        /// The size of one task.
        size: Resources,
        /// The most tasks wanted.
        count: u32,
        /// How long the hold lasts from receipt.
        expiry: Duration,
    },
    /// Turns held capacity into tasks.
    Commit {
        /// The hold.
        id: Id,
        /// The gang.
        spec: Box<Spec>,
        /// The tasks to start here.
        tasks: Vec<TaskId>,
    },
    /// Gives held capacity back.
    Release {
        /// The hold.
        id: Id,
    },
}

/// What the owner answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Hold`]: this many are held, under this epoch; may be none.
    Held {
        /// How many tasks are held.
        count: u32,
        /// The epoch of the owner.
        epoch: Epoch,
    },
    /// To [`Question::Commit`]: the tasks are accepted; the same commit may be sent again.
    Committed,
    /// To [`Question::Release`].
    Released,
    /// The hold is not known, or has expired; nothing was started by it.
    Expired,
    /// The one asked does not own the shard.
    Elsewhere,
}
