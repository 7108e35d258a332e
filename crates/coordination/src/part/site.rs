//! Where the shards are and what their workers offer.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    id::{
        DataCentreId,
        RackId,
        ShardId, //
    },
    resource::Resources,
};

use crate::{
    platform::vm::State,
    topology::Map, //
};

/// One shard that has workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Site {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// How many racks it has.
    pub racks: u32,
    /// What each worker that stays offers.
    pub workers: Vec<Resources>,
}

/// All shards of a region that have workers, by the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sites {
    sites: BTreeMap<ShardId, Site>,
}

impl Sites {
    /// Sums up a map; workers that leave do not count.
    pub fn new(map: &Map) -> Self {
        let mut sites = BTreeMap::new();
        for shard in map.shards() {
            let staying = || {
                map.workers_of(shard)
                    .filter(|worker| worker.state == State::Live)
            };
            let racks: BTreeSet<RackId> = staying().map(|worker| worker.rack).collect();
            let Some(first) = staying().next() else {
                continue;
            };
            let site = Site {
                data_centre: first.data_centre,
                racks: u32::try_from(racks.len()).unwrap_or(u32::MAX),
                workers: staying().map(|worker| worker.capacity).collect(),
            };
            sites.insert(shard, site);
        }
        Self { sites }
    }

    /// Lists the shards in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (ShardId, &Site)> {
        self.sites.iter().map(|(shard, site)| (*shard, site))
    }

    /// Returns how many tasks of a size all shards take together while they are empty.
    pub fn fits(&self, size: &Resources) -> u64 {
        self.sites.values().map(|site| site.fits(size)).sum()
    }

    /// Returns the shard that takes most tasks of a size while it is empty, with how many.
    pub fn largest(&self, size: &Resources) -> Option<(u64, ShardId)> {
        let sites = self.sites.iter();
        sites.map(|(shard, site)| (site.fits(size), *shard)).max()
    }

    /// Returns whether no shard has a worker.
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }
}

impl Site {
    /// Returns how many tasks of a size fit while the shard is empty.
    pub fn fits(&self, size: &Resources) -> u64 {
        self.workers.iter().map(|worker| times(size, worker)).sum()
    }
}

/// Returns how many times a size fits into a capacity.
fn times(size: &Resources, capacity: &Resources) -> u64 {
    let per = |capacity: u64, size: u64| capacity.checked_div(size).unwrap_or(u64::MAX);
    let cpu = per(u64::from(capacity.cpu.0), u64::from(size.cpu.0));
    let memory = per(capacity.memory.0, size.memory.0);
    let accelerators = per(capacity.accelerators.into(), size.accelerators.into());
    let least = cpu.min(memory).min(accelerators);
    // A size of nothing is refused when a job comes in.
    if least == u64::MAX { 0 } else { least }
}
