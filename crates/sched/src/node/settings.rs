//! The spans and limits of a node.

use std::time::Duration;

use fulmarpier_coordination::{
    credit,
    member,
    topology, //
};
use fulmarpier_state::id::RegionId;

use crate::shard;

/// The spans and limits of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The region that the node is in.
    pub region: RegionId,
    /// How many shards each data centre has.
    pub shards: topology::Count,
    /// The spans of ownership.
    pub timing: member::Timing,
    /// The spans of credits.
    pub credit: credit::Terms,
    /// The spans and limits of each shard.
    pub shard: shard::Settings,
    /// How often the VM list is read, at most.
    pub list: Duration,
    /// The most machines read a second: a longer list is read less often, since it comes whole
    /// each time and lags anyway.
    pub machines: u32,
    /// How long a read of the configuration waits for a record.
    pub poll: Duration,
    /// How long the log keeps a record.
    pub retention: Duration,
    /// How long a command waits for its change to come into force, and for its peers.
    pub command: Duration,
}

impl Settings {
    /// Makes the settings of a region, with the default spans.
    ///
    /// See also [`shard::Settings`] and [`member::Timing`], whose defaults it takes.
    pub fn new(region: RegionId, shards: topology::Count) -> Self {
        Self {
            region,
            shards,
            timing: member::Timing::default(),
            credit: credit::Terms::default(),
            shard: shard::Settings::default(),
            list: Duration::from_secs(1),
            machines: 30,
            poll: Duration::from_secs(5),
            retention: Duration::from_secs(6 * 3_600),
            command: Duration::from_secs(3),
        }
    }

    /// Returns the time to the next read of a VM list that names so many machines.
    pub fn list_interval(&self, machines: u32) -> Duration {
        let paced = Duration::from_secs(machines.into()) / self.machines.max(1);
        paced.max(self.list)
    }
}
