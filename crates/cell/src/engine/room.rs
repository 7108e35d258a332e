//! Workers by what they have left.

use std::collections::BTreeSet;

use fulmarpier_state::{
    alias::HashMap,
    resource::Resources,
    unit::Millicores, //
};

use super::Slot;
use crate::{
    id::PoolName,
    worker::Worker, //
};

/// The workers of each pool, and those of them that take tasks, ordered by their free processor time.
///
/// A change of a worker costs the logarithm of their count. While none takes tasks, as when a new owner has heard of
/// none yet, a step finds that out at once; going through 540 of them for each of 1,800 steps that waited kept a new
/// owner from everything else for up to 15 s.
#[derive(Clone, Debug, Default)]
pub(super) struct Rooms {
    pools: HashMap<PoolName, Pool>,
    places: HashMap<Slot, Place>,
    /// What each worker that takes tasks has left, by its slot; a step's look reads little else.
    free: Vec<Option<Resources>>,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    members: usize,
    takers: BTreeSet<(Millicores, Slot)>,
}

/// Where a worker stands.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    pool: PoolName,
    /// What it has left, where it takes tasks.
    free: Option<Millicores>,
}

impl Rooms {
    /// Notes what is known of a worker now; `None` where it is gone.
    pub(super) fn set(&mut self, slot: Slot, worker: Option<&Worker>) {
        let place = worker.map(|worker| Place {
            pool: worker.registration.pool.clone(),
            free: worker.is_taking().then_some(worker.free.cpu),
        });
        if self.free.len() <= slot.index() {
            self.free.resize(slot.index() + 1, None);
        }
        let taking = worker.filter(|worker| worker.is_taking());
        self.free[slot.index()] = taking.map(|worker| worker.free);
        if self.places.get(&slot) == place.as_ref() {
            return;
        }
        if let Some(before) = self.places.remove(&slot)
            && let Some(pool) = self.pools.get_mut(&before.pool)
        {
            pool.members -= 1;
            if let Some(free) = before.free {
                pool.takers.remove(&(free, slot));
            }
        }
        let Some(place) = place else {
            return;
        };
        let pool = self.pools.entry(place.pool.clone()).or_default();
        pool.members += 1;
        if let Some(free) = place.free {
            pool.takers.insert((free, slot));
        }
        self.places.insert(slot, place);
    }

    /// Returns whether a worker takes tasks, unless it rests, and has room for one of a size.
    pub(super) fn fits(&self, slot: Slot, size: &Resources) -> bool {
        let free = self.free.get(slot.index()).and_then(Option::as_ref);
        free.is_some_and(|free| size.fits(free))
    }

    /// Returns how many workers of a pool are known, whether they take tasks or not.
    pub(super) fn members(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.members)
    }

    /// Returns the workers of a pool that take tasks, unless they rest, and have so much processor time left; those with
    /// the least come first.
    pub(super) fn from(
        &self,
        pool: &PoolName,
        least: Millicores,
    ) -> impl DoubleEndedIterator<Item = Slot> + use<'_> {
        let pool = self.pools.get(pool).into_iter();
        pool.flat_map(move |pool| pool.takers.range((least, Slot::FIRST)..))
            .map(|(_, slot)| *slot)
    }
}
