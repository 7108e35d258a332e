//! Index of workers by their free resources.

use std::collections::BTreeSet;

use fulmarpier_state::{
    alias::HashMap,
    resource::Resources,
    unit::Millicores, //
};

use super::Slot;
use crate::{
    id::PoolName,
    speed::Class,
    worker::Worker, //
};

/// The number of workers in each pool, and those that accept tasks, ordered by free CPU within each class of speed.
///
/// Updating a worker takes logarithmic time. If no worker accepts tasks, as when none has answered a new owner yet, a
/// step finds that out at once. Without the index, checking 540 workers for each of 1,800 waiting steps blocked a new
/// owner for up to 15 s.
#[derive(Clone, Debug, Default)]
pub(super) struct FreeCapacity {
    pools: HashMap<PoolName, Pool>,
    entries: HashMap<Slot, Entry>,
    /// The free resources of each worker that accepts tasks, by slot. Placing a step reads little else.
    free: Vec<Option<Resources>>,
}

#[derive(Clone, Debug, Default)]
struct Pool {
    members: usize,
    /// The workers that accept tasks, for each class of speed from the slowest on.
    accepting: [BTreeSet<(Millicores, Slot)>; Class::ALL.len()],
}

/// The position of a worker in the index.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Entry {
    pool: PoolName,
    class: Class,
    /// Its free CPU, if it accepts tasks.
    free: Option<Millicores>,
}

impl FreeCapacity {
    /// Updates the entry of a worker, or removes it for `None`.
    pub(super) fn set(&mut self, slot: Slot, worker: Option<&Worker>) {
        let entry = worker.map(|worker| Entry {
            pool: worker.registration.pool.clone(),
            class: worker.speed_class,
            free: worker.accepts_tasks().then_some(worker.free.cpu),
        });
        if self.free.len() <= slot.index() {
            self.free.resize(slot.index() + 1, None);
        }
        let accepting = worker.filter(|worker| worker.accepts_tasks());
        self.free[slot.index()] = accepting.map(|worker| worker.free);
        if self.entries.get(&slot) == entry.as_ref() {
            return;
        }
        if let Some(before) = self.entries.remove(&slot)
            && let Some(pool) = self.pools.get_mut(&before.pool)
        {
            pool.members -= 1;
            if let Some(free) = before.free {
                pool.accepting[before.class as usize].remove(&(free, slot));
            }
        }
        let Some(entry) = entry else {
            return;
        };
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        pool.members += 1;
        if let Some(free) = entry.free {
            pool.accepting[entry.class as usize].insert((free, slot));
        }
        self.entries.insert(slot, entry);
    }

    /// Returns whether a worker accepts tasks and has the free resources for one of a size. Doesn't check for backoff
    /// after a rejection.
    pub(super) fn fits(&self, slot: Slot, size: &Resources) -> bool {
        let free = self.free.get(slot.index()).and_then(Option::as_ref);
        free.is_some_and(|free| size.fits(free))
    }

    /// Returns how many workers of a pool are known, whether they accept tasks or not.
    pub(super) fn worker_count(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.members)
    }

    /// Returns whether all workers of a pool that accept tasks are of one class.
    pub(super) fn is_uniform(&self, pool: &PoolName) -> bool {
        let classes = self.pools.get(pool).map(|pool| &pool.accepting);
        let classes = classes.into_iter().flatten();
        classes.filter(|class| !class.is_empty()).count() <= 1
    }

    /// Returns the workers of a pool that accept tasks and have at least `min_cpu` free, the slowest class first, and
    /// in each class those with the least. Doesn't check for backoff after a rejection.
    pub(super) fn with_free_cpu(
        &self,
        pool: &PoolName,
        min_cpu: Millicores,
    ) -> impl Iterator<Item = Slot> + use<'_> {
        let classes = self.pools.get(pool).map(|pool| &pool.accepting);
        let classes = classes.into_iter().flatten();
        classes
            .flat_map(move |class| class.range((min_cpu, Slot::FIRST)..))
            .map(|(_, slot)| *slot)
    }

    /// Returns the same workers, those with the most free CPU first.
    pub(super) fn most_free_first(
        &self,
        pool: &PoolName,
        min_cpu: Millicores,
    ) -> impl Iterator<Item = Slot> + use<'_> {
        let classes = self.pools.get(pool).map(|pool| &pool.accepting);
        // Each class with the next of its workers.
        let mut classes: Vec<_> = classes
            .into_iter()
            .flatten()
            .map(|class| {
                let mut rest = class.range((min_cpu, Slot::FIRST)..);
                (rest.next_back(), rest)
            })
            .collect();
        std::iter::from_fn(move || {
            let (next, rest) = classes.iter_mut().max_by_key(|(next, _)| *next)?;
            let (_, slot) = std::mem::replace(next, rest.next_back())?;
            Some(*slot)
        })
    }

    /// Returns the same workers: first those that have the free resources for a task of a size, the fastest class first
    /// and in each class those with the most free CPU; then the others in the same order.
    pub(super) fn fastest_first(
        &self,
        pool: &PoolName,
        size: Resources,
        min_cpu: Millicores,
    ) -> impl Iterator<Item = Slot> + use<'_> {
        let classes = self.pools.get(pool).map(|pool| &pool.accepting);
        let by_class = move |min_cpu| {
            let classes = classes.into_iter().flatten().rev();
            let workers =
                classes.flat_map(move |class| class.range((min_cpu, Slot::FIRST)..).rev());
            workers.map(|(_, slot)| *slot)
        };
        let fitting = by_class(min_cpu.max(size.cpu));
        let fitting = fitting.filter(move |slot| self.fits(*slot, &size));
        let others = by_class(min_cpu);
        fitting.chain(others.filter(move |slot| !self.fits(*slot, &size)))
    }
}
