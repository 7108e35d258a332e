//! The machines of one region as the VM list shows them.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        NodeId,
        RackId,
        RegionId,
        ShardId,
        WorkerId, //
    },
    resource::Resources, //
};

use super::shards::{
    Count,
    numbered, //
};
use crate::platform::vm::{
    Entry,
    List,
    Role,
    State, //
};

/// A worker and the shard it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// The shard whose owner places on it.
    pub shard: ShardId,
    /// Where its control interface listens.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// The rack it is in.
    pub rack: RackId,
    /// What it offers.
    pub capacity: Resources,
    /// Whether it stays.
    pub state: State,
}

/// An entry VM, which runs a sched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its id.
    pub id: NodeId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// Whether it stays.
    pub state: State,
}

/// What an update of the map changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Workers that are new, or that changed in any way.
    pub changed: Vec<WorkerId>,
    /// Workers that are no longer listed.
    pub gone: Vec<WorkerId>,
    /// Nodes that are no longer listed.
    pub gone_nodes: Vec<NodeId>,
}

/// The ways in which a list can be refused; the map then stays as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The list is older than the one in use.
    #[error("the list as of {found} is older than the one in use, as of {used}")]
    Older {
        /// The time of the list.
        found: Timestamp,
        /// The time of the list in use.
        used: Timestamp,
    },
    /// The list has no VM of this region, which can't be true while this node reads it.
    #[error("the list holds no VM of region {region}")]
    Empty {
        /// The region of the map.
        region: RegionId,
    },
    /// The data centre's number is too high for its shards to be numbered.
    #[error("the shards of data centre {data_centre} can't be numbered")]
    DataCentre {
        /// The data centre.
        data_centre: DataCentreId,
    },
}

/// The workers, shards and nodes of one region, as of one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Map {
    region: RegionId,
    count: Count,
    as_of: Timestamp,
    workers: BTreeMap<WorkerId, Worker>,
    nodes: BTreeMap<NodeId, Node>,
    shards: BTreeMap<ShardId, Vec<WorkerId>>,
}

impl Map {
    /// Makes a map of `region` with nothing in it.
    pub fn new(region: RegionId, count: Count) -> Self {
        Self {
            region,
            count,
            as_of: Timestamp::ZERO,
            workers: BTreeMap::new(),
            nodes: BTreeMap::new(),
            shards: BTreeMap::new(),
        }
    }

    /// Takes over a newer list and says what changed.
    ///
    /// A data centre that was listed once keeps its shards, so their journals stay reachable when
    /// its last worker goes.
    ///
    /// # Errors
    ///
    /// Refuses a list that is older than the one in use, has no VM of the region or has a data
    /// centre whose shards can't be numbered.
    pub fn update(&mut self, list: &List) -> Result<Change, Error> {
        self.check(list)?;
        let mut workers = BTreeMap::new();
        let mut nodes = BTreeMap::new();
        for entry in self.present(list) {
            match entry.role {
                Role::Worker(id) => {
                    workers.insert(id, self.worker(id, entry));
                }
                Role::Entry(id) => {
                    nodes.insert(id, node(id, entry));
                }
            }
        }
        let change = self.change(&workers, &nodes);
        self.as_of = list.as_of;
        self.workers = workers;
        self.nodes = nodes;
        self.group();
        Ok(change)
    }

    /// Returns the region.
    pub const fn region(&self) -> RegionId {
        self.region
    }

    /// Returns the time at which the list in use was true.
    pub const fn as_of(&self) -> Timestamp {
        self.as_of
    }

    /// Returns a worker by its id.
    pub fn worker_by_id(&self, id: WorkerId) -> Option<&Worker> {
        self.workers.get(&id)
    }

    /// Lists all workers in order of their ids.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Lists the workers of one shard in order of their ids.
    pub fn workers_of(&self, shard: ShardId) -> impl Iterator<Item = &Worker> {
        let ids = self.shards.get(&shard).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.workers.get(id))
    }

    /// Returns the shard of a worker.
    pub fn shard_of(&self, id: WorkerId) -> Option<ShardId> {
        self.workers.get(&id).map(|worker| worker.shard)
    }

    /// Lists all shards in order of their ids, also those without a worker.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> {
        self.shards.keys().copied()
    }

    /// Returns a node by its id.
    pub fn node(&self, id: NodeId) -> Option<&Node> {
        self.nodes.get(&id)
    }

    /// Lists all nodes in order of their ids.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    fn check(&self, list: &List) -> Result<(), Error> {
        if list.as_of < self.as_of {
            return Err(Error::Older {
                found: list.as_of,
                used: self.as_of,
            });
        }
        let mut empty = true;
        for entry in list.entries.iter().filter(|e| e.region == self.region) {
            empty = false;
            if !numbered(entry.data_centre) {
                return Err(Error::DataCentre {
                    data_centre: entry.data_centre,
                });
            }
        }
        if empty {
            return Err(Error::Empty {
                region: self.region,
            });
        }
        Ok(())
    }

    /// Picks the region's entries; where two share an address, the newcomer has replaced the other.
    fn present<'a>(&self, list: &'a List) -> impl Iterator<Item = &'a Entry> {
        let mut by_address = BTreeMap::new();
        for entry in list.entries.iter().filter(|e| e.region == self.region) {
            let slot = by_address.entry(entry.address).or_insert(entry);
            if self.knows(slot.role) || !self.knows(entry.role) {
                *slot = entry;
            }
        }
        by_address.into_values()
    }

    fn knows(&self, role: Role) -> bool {
        match role {
            Role::Worker(id) => self.workers.contains_key(&id),
            Role::Entry(id) => self.nodes.contains_key(&id),
        }
    }

    fn worker(&self, id: WorkerId, entry: &Entry) -> Worker {
        Worker {
            id,
            shard: self.count.shard(entry.data_centre, entry.rack),
            address: entry.address,
            data_centre: entry.data_centre,
            rack: entry.rack,
            capacity: entry.capacity,
            state: entry.state,
        }
    }

    fn change(
        &self,
        workers: &BTreeMap<WorkerId, Worker>,
        nodes: &BTreeMap<NodeId, Node>,
    ) -> Change {
        let fresh = |worker: &&Worker| self.workers.get(&worker.id) != Some(*worker);
        Change {
            changed: workers.values().filter(fresh).map(|w| w.id).collect(),
            gone: missing(&self.workers, workers),
            gone_nodes: missing(&self.nodes, nodes),
        }
    }

    /// Sorts the workers into their shards.
    fn group(&mut self) {
        for members in self.shards.values_mut() {
            members.clear();
        }
        for worker in self.workers.values() {
            for shard in self.count.shards(worker.data_centre) {
                self.shards.entry(shard).or_default();
            }
            self.shards.entry(worker.shard).or_default().push(worker.id);
        }
    }
}

fn node(id: NodeId, entry: &Entry) -> Node {
    Node {
        id,
        address: entry.address,
        data_centre: entry.data_centre,
        state: entry.state,
    }
}

/// Lists the keys of `old` that `new` lacks.
fn missing<K: Copy + Ord, V>(old: &BTreeMap<K, V>, new: &BTreeMap<K, V>) -> Vec<K> {
    let lacks = |id: &&K| !new.contains_key(*id);
    old.keys().filter(lacks).copied().collect()
}
