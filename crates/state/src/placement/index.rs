//! The index of free capacity.

use std::collections::BTreeMap;

use crate::{
    id::WorkerId,
    resource::Resources,
    worker, //
};

use super::{
    Error,
    Rule,
    Total, //
};

/// What each worker offers and has left.
#[derive(Clone, Debug, Default)]
pub struct Index {
    workers: BTreeMap<WorkerId, Entry>,
    capacity: Total,
    free: Total,
}

#[derive(Clone, Debug)]
struct Entry {
    spec: worker::Spec,
    free: Resources,
    open: bool,
}

impl Index {
    /// Makes an index without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an empty, open worker.
    ///
    /// # Errors
    ///
    /// [`Error::Duplicate`] where the worker is in the index already.
    pub fn insert(&mut self, spec: worker::Spec) -> Result<(), Error> {
        let worker = spec.id;
        if self.workers.contains_key(&worker) {
            return Err(Error::Duplicate { worker });
        }
        self.capacity.add(&spec.capacity);
        self.free.add(&spec.capacity);
        let free = spec.capacity;
        let open = true;
        self.workers.insert(worker, Entry { spec, free, open });
        Ok(())
    }

    /// Removes a worker with all that is reserved on it.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index.
    pub fn remove(&mut self, worker: WorkerId) -> Result<worker::Spec, Error> {
        let entry = self
            .workers
            .remove(&worker)
            .ok_or(Error::Unknown { worker })?;
        self.capacity.sub(&entry.spec.capacity);
        self.free.sub(&entry.free);
        Ok(entry.spec)
    }

    /// Opens or closes a worker for new tasks; what is reserved stays.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index.
    pub fn set_open(&mut self, worker: WorkerId, open: bool) -> Result<(), Error> {
        self.entry_mut(worker)?.open = open;
        Ok(())
    }

    /// Reserves `size` on a worker, open or not.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] and [`Error::Overfull`].
    pub fn reserve(&mut self, worker: WorkerId, size: Resources) -> Result<(), Error> {
        let entry = self.entry_mut(worker)?;
        let free = entry.free;
        let wanted = size;
        entry.free = free.checked_sub(size).ok_or(Error::Overfull {
            worker,
            free,
            wanted,
        })?;
        self.free.sub(&size);
        Ok(())
    }

    /// Releases `size` on a worker.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] and [`Error::Overreleased`].
    pub fn release(&mut self, worker: WorkerId, size: Resources) -> Result<(), Error> {
        let entry = self.entry_mut(worker)?;
        let reserved = entry
            .spec
            .capacity
            .checked_sub(entry.free)
            .unwrap_or(Resources::ZERO);
        let released = size;
        let over = Error::Overreleased {
            worker,
            reserved,
            released,
        };
        let after = entry.free.checked_add(size).ok_or(over.clone())?;
        if !after.fits(&entry.spec.capacity) {
            return Err(over);
        }
        entry.free = after;
        self.free.add(&size);
        Ok(())
    }

    /// Returns what a worker has left.
    pub fn free(&self, worker: WorkerId) -> Option<Resources> {
        self.workers.get(&worker).map(|entry| entry.free)
    }

    /// Returns what a worker offers in all.
    pub fn capacity(&self, worker: WorkerId) -> Option<Resources> {
        self.workers.get(&worker).map(|entry| entry.spec.capacity)
    }

    /// Returns a worker's shape and place.
    pub fn spec(&self, worker: WorkerId) -> Option<&worker::Spec> {
        self.workers.get(&worker).map(|entry| &entry.spec)
    }

    /// Returns whether a worker is known and open for new tasks.
    pub fn is_open(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(|entry| entry.open)
    }

    /// Returns the worker that a task of this size should go to, if any can take it.
    pub fn find(&self, size: &Resources, rule: &Rule<'_>) -> Option<WorkerId> {
        self.workers
            .iter()
            .filter(|(_, entry)| entry.open && size.fits(&entry.free))
            .filter(|(id, _)| !rule.avoid.contains(id))
            .min_by_key(|(id, entry)| (entry.free.accelerators, entry.free.cpu, **id))
            .map(|(id, _)| *id)
    }

    /// Returns a worker for each of `count` tasks of this size, or `None` unless all fit at once.
    ///
    /// A worker may be named several times. Nothing is reserved.
    pub fn plan(&self, size: &Resources, count: u32, rule: &Rule<'_>) -> Option<Vec<WorkerId>> {
        let mut trial = self.clone();
        let mut workers = Vec::new();
        for _ in 0..count {
            let worker = trial.find(size, rule)?;
            trial.reserve(worker, *size).ok()?;
            workers.push(worker);
        }
        Some(workers)
    }

    /// Returns whether some worker, open or not, could hold the size if it were empty.
    pub fn fits_empty(&self, size: &Resources) -> bool {
        self.workers
            .values()
            .any(|entry| size.fits(&entry.spec.capacity))
    }

    /// Returns how many tasks of this size the open workers could take now, at most `up_to`.
    pub fn count_fitting(&self, size: &Resources, up_to: u32) -> u32 {
        let mut trial = self.clone();
        let rule = Rule::new();
        let mut count = 0;
        while count < up_to {
            let Some(worker) = trial.find(size, &rule) else {
                break;
            };
            if trial.reserve(worker, *size).is_err() {
                break;
            }
            count += 1;
        }
        count
    }

    /// Returns what all workers offer, open or not.
    pub const fn total_capacity(&self) -> Total {
        self.capacity
    }

    /// Returns what all workers have left, open or not.
    pub const fn total_free(&self) -> Total {
        self.free
    }

    /// Returns the workers in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &worker::Spec> + '_ {
        self.workers.values().map(|entry| &entry.spec)
    }

    /// Returns how many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    fn entry_mut(&mut self, worker: WorkerId) -> Result<&mut Entry, Error> {
        let unknown = Error::Unknown { worker };
        self.workers.get_mut(&worker).ok_or(unknown)
    }
}
