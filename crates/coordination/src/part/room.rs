//! What the shards have left, as their owners last said.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::ShardId,
    resource::Resources, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// How long what a shard had left is of use.
const FRESH: Duration = Duration::from_secs(10);

/// What one shard has left, summed over its workers that take tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// The shard.
    pub shard: ShardId,
    /// Millicores.
    pub cpu: u64,
    /// Bytes.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
    /// Tasks that wait for room there.
    pub waiting: u32,
}

/// What the shards have left, each as of some time.
#[derive(Clone, Debug, Default)]
pub struct Rooms {
    rooms: BTreeMap<ShardId, (Room, Timestamp)>,
}

impl Room {
    /// A shard with nothing left, and so many tasks that wait.
    pub const fn none(shard: ShardId, waiting: u32) -> Self {
        Self {
            shard,
            cpu: 0,
            memory: 0,
            accelerators: 0,
            waiting,
        }
    }

    /// Adds what one of its workers has left.
    #[must_use]
    pub fn and(mut self, free: Resources) -> Self {
        self.cpu += u64::from(free.cpu.0);
        self.memory = self.memory.saturating_add(free.memory.0);
        self.accelerators += u64::from(free.accelerators);
        self
    }

    /// Returns how many tasks of a size the sum takes; worker by worker they may be fewer.
    pub fn fits(&self, size: &Resources) -> u64 {
        let per = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::MAX);
        per(self.cpu, size.cpu.0.into())
            .min(per(self.memory, size.memory.0))
            .min(per(self.accelerators, size.accelerators.into()))
    }
}

impl Rooms {
    /// Takes in what a shard's owner says.
    pub fn note(&mut self, room: Room, now: Timestamp) {
        self.rooms.insert(room.shard, (room, now));
    }

    /// Lists what was said lately, in order of the shards.
    pub fn fresh(&self, now: Timestamp) -> impl Iterator<Item = &Room> {
        self.rooms
            .values()
            .filter(move |(_, at)| now.since(*at) < FRESH)
            .map(|(room, _)| room)
    }
}
