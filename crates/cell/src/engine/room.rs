//! Workers by what they have left.

use std::collections::BTreeSet;

use fulmarpier_state::{
    alias::HashMap,
    unit::Millicores, //
};

use super::Slot;
use crate::{
    id::PoolName,
    worker::Worker, //
};

/// The workers of each pool, ordered by their free processor time; a change costs the logarithm of their count.
#[derive(Clone, Debug, Default)]
pub(super) struct Rooms {
    pools: HashMap<PoolName, BTreeSet<(Millicores, Slot)>>,
    places: HashMap<Slot, (PoolName, Millicores)>,
}

impl Rooms {
    /// Notes what a worker has left now; `None` where it is gone.
    pub(super) fn set(&mut self, slot: Slot, worker: Option<&Worker>) {
        if let (Some(worker), Some((pool, cpu))) = (worker, self.places.get(&slot))
            && (pool, *cpu) == (&worker.registration.pool, worker.free.cpu)
        {
            return;
        }
        if let Some((pool, cpu)) = self.places.remove(&slot)
            && let Some(pool) = self.pools.get_mut(&pool)
        {
            pool.remove(&(cpu, slot));
        }
        let Some(worker) = worker else {
            return;
        };
        let place = (worker.registration.pool.clone(), worker.free.cpu);
        let pool = self.pools.entry(place.0.clone()).or_default();
        pool.insert((place.1, slot));
        self.places.insert(slot, place);
    }

    /// Returns the workers of a pool that have so much processor time left, those with the least first.
    pub(super) fn from(
        &self,
        pool: &PoolName,
        least: Millicores,
    ) -> impl DoubleEndedIterator<Item = Slot> {
        let pool = self.pools.get(pool).into_iter();
        pool.flat_map(move |pool| pool.range((least, Slot::FIRST)..))
            .map(|(_, slot)| *slot)
    }
}
