//! A summary of what runs, as the check needs it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    id::{
        DataCentreId,
        NodeId,
        WorkerId, //
    },
    name::{
        Service,
        Team, //
    },
    resource::Resources, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What one team uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// What its running tasks hold.
    pub used: Resources,
    /// The largest size of a task of its that runs or waits, resource by resource.
    pub largest: Resources,
    /// How many of its tasks run.
    pub running: u32,
    /// How many of its tasks wait.
    pub waiting: u32,
}

/// Where the targets of one service are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceUsage {
    /// How many targets are on each worker.
    pub targets: BTreeMap<WorkerId, u32>,
}

/// What one worker offers and gives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerUsage {
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// What it offers.
    pub capacity: Resources,
    /// What is taken of it.
    pub used: Resources,
    /// How many tasks run on it.
    pub running: u32,
}

/// A summary of what runs at one time, over all shards that answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The teams with work.
    pub teams: BTreeMap<Team, TeamUsage>,
    /// The services with targets.
    pub services: BTreeMap<Service, ServiceUsage>,
    /// The workers that are known.
    pub workers: BTreeMap<WorkerId, WorkerUsage>,
    /// The entry nodes that are known.
    pub nodes: BTreeSet<NodeId>,
    /// Whether some shard did not answer, so that the real effect may be wider.
    pub partial: bool,
}

impl Usage {
    /// Adds what another node has summed up over shards of its own.
    pub fn merge(&mut self, other: Self) {
        for (team, more) in other.teams {
            self.teams.entry(team).or_default().merge(&more);
        }
        for (service, more) in other.services {
            let targets = &mut self.services.entry(service).or_default().targets;
            for (worker, count) in more.targets {
                *targets.entry(worker).or_default() += count;
            }
        }
        self.workers.extend(other.workers);
        self.nodes.extend(other.nodes);
        self.partial |= other.partial;
    }
}

impl TeamUsage {
    /// Adds what the team uses elsewhere.
    fn merge(&mut self, other: &Self) {
        self.used = self.used.checked_add(other.used).unwrap_or(self.used);
        self.largest = Resources::new(
            self.largest.cpu.max(other.largest.cpu),
            self.largest.memory.max(other.largest.memory),
            self.largest.accelerators.max(other.largest.accelerators),
        );
        self.running = self.running.saturating_add(other.running);
        self.waiting = self.waiting.saturating_add(other.waiting);
    }
}
