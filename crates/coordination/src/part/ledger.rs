//! What the journals keep of delegated tasks.

use std::collections::BTreeMap;

use fulmarpier_state::{
    engine::Counts,
    id::{
        JobId,
        ShardId, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

/// How many tasks a shard gets as one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The id of the part in its shard.
    pub part: JobId,
    /// The shard.
    pub shard: ShardId,
    /// How many tasks.
    pub tasks: u32,
}

/// One part, as its home keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The shard that runs it.
    pub shard: ShardId,
    /// How many tasks it has.
    pub tasks: u32,
    /// How its tasks ended, once all of them have.
    pub ended: Option<Counts>,
}

/// How the tasks of a job are distributed, as its home keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegation {
    /// How many tasks the home runs itself.
    pub home: u32,
    /// The parts that were ever delegated.
    pub parts: BTreeMap<JobId, Part>,
}

/// Whose part a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The job.
    pub job: JobId,
    /// The shard that is its home.
    pub home: ShardId,
}

/// A part that has ended, as its shard keeps it until the home has kept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// Whose part it was.
    pub of: Origin,
    /// How its tasks ended.
    pub counts: Counts,
}

impl Delegation {
    /// Returns how many of `tasks` are neither at home nor with a part, nor ended.
    ///
    /// A part gives tasks back by ending with them cancelled while the job is not.
    pub fn owed(&self, tasks: u32) -> u32 {
        let back = |part: &Part| part.ended.map_or(0, |end| end.cancelled);
        let with = |part: &Part| part.tasks.saturating_sub(back(part));
        let placed: u32 = self.parts.values().map(with).sum();
        tasks.saturating_sub(self.home.saturating_add(placed))
    }

    /// Returns whether every part has ended.
    pub fn is_over(&self) -> bool {
        self.parts.values().all(|part| part.ended.is_some())
    }

    /// Returns the round of the next delegation.
    pub fn round(&self) -> u32 {
        u32::try_from(self.parts.len()).unwrap_or(u32::MAX)
    }
}
