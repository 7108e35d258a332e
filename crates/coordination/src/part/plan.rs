//! Which shards get how many tasks.

use std::collections::BTreeMap;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        ShardId, //
    },
    job::{
        Kind,
        Spec,
        Spread, //
    },
};

use super::{
    Rooms,
    Sites,
    site::Site, //
};

/// Resolves ties between shards with different numbers of racks.
const SCALE: u64 = 1 << 20;

/// Distributes the tasks of a job over the shards of a region; the home may get none.
///
/// Tasks go one by one to the data centre with the fewest, then to the shard with the fewest per
/// rack; without [`Spread::DataCentres`] only racks count, so a data centre gets tasks in proportion
/// to its racks. A tie goes to the home. No shard gets more than its workers hold while they are
/// empty, and what fits nowhere waits at home.
pub fn spread(sites: &Sites, home: ShardId, spec: &Spec, spread: Spread) -> BTreeMap<ShardId, u32> {
    let mut tally = Tally::new(sites, spec, spread);
    for _ in 0..spec.tasks {
        match tally.next(home) {
            Some(shard) => tally.put(shard),
            None => *tally.tasks.entry(home).or_default() += 1,
        }
    }
    tally.tasks
}

/// Returns the shard with the most room for `tasks` of a job, of those that were heard of lately.
///
/// `None` where no other shard has room for one task, or for all of a gang.
pub fn elsewhere(
    rooms: &Rooms,
    not: impl Fn(ShardId) -> bool,
    spec: &Spec,
    tasks: u32,
    now: Timestamp,
) -> Option<ShardId> {
    let least = match spec.kind {
        Kind::Gang => u64::from(tasks),
        Kind::Batch | Kind::Service { .. } => 1,
    };
    rooms
        .fresh(now)
        .filter(|room| !not(room.shard) && room.waiting == 0)
        .map(|room| (room.fits(&spec.size), room.shard))
        .filter(|(fits, _)| *fits >= least)
        .max_by_key(|(fits, shard)| (*fits, std::cmp::Reverse(*shard)))
        .map(|(_, shard)| shard)
}

/// A distribution in the making.
struct Tally<'a> {
    shards: Vec<(ShardId, &'a Site, u64)>,
    by_data_centre: bool,
    tasks: BTreeMap<ShardId, u32>,
    data_centres: BTreeMap<DataCentreId, u32>,
}

impl<'a> Tally<'a> {
    fn new(sites: &'a Sites, spec: &Spec, spread: Spread) -> Self {
        let shards = sites.iter();
        let shards = shards.map(|(shard, site)| (shard, site, site.fits(&spec.size)));
        Self {
            shards: shards.collect(),
            by_data_centre: spread == Spread::DataCentres,
            tasks: BTreeMap::new(),
            data_centres: BTreeMap::new(),
        }
    }

    fn of(&self, shard: ShardId) -> u32 {
        self.tasks.get(&shard).copied().unwrap_or_default()
    }

    /// Returns the shard of the next task, where one has room.
    fn next(&self, home: ShardId) -> Option<ShardId> {
        let open = self.shards.iter();
        let open = open.filter(|(shard, _, most)| u64::from(self.of(*shard)) < *most);
        let key = |(shard, site, _): &&(ShardId, &Site, u64)| {
            let centre = match self.by_data_centre {
                true => self.data_centres.get(&site.data_centre).copied(),
                false => None,
            };
            let per_rack = u64::from(self.of(*shard)) * SCALE / u64::from(site.racks.max(1));
            (centre.unwrap_or_default(), per_rack, *shard != home, *shard)
        };
        open.min_by_key(key).map(|(shard, _, _)| *shard)
    }

    fn put(&mut self, shard: ShardId) {
        *self.tasks.entry(shard).or_default() += 1;
        let site = self.shards.iter().find(|(id, _, _)| *id == shard);
        if let Some((_, site, _)) = site {
            *self.data_centres.entry(site.data_centre).or_default() += 1;
        }
    }
}
