//! The index of free capacity.

use std::collections::BTreeMap;

use crate::{
    clock::Timestamp,
    id::WorkerId,
    resource::Resources,
    worker, //
};

use super::{
    Error,
    Rule,
    Total,
    Visits,
    entry::Entry,
    orders::Orders,
    search::Search,
    shapes::Shapes,
    tree::Slot, //
};

/// What each worker offers and has left.
///
/// Open workers stand in three search trees: by free processor time, by free memory, and by data
/// centre and rack. A search descends them and compares a bounded count of candidates, so its cost
/// grows with the logarithm of the count of workers. With n workers, each change costs O(log n).
///
/// # Examples
///
/// ```
/// use fulmarpier_state::id::WorkerId;
/// use fulmarpier_state::placement::{Index, Rule};
/// use fulmarpier_state::resource::Resources;
/// use fulmarpier_state::unit::{Bytes, Millicores};
/// use fulmarpier_state::worker;
///
/// let capacity = Resources::new(Millicores::from_cores(16), Bytes::from_gib(32), 0);
/// let size = Resources::new(Millicores::from_cores(4), Bytes::from_gib(8), 0);
/// let mut index = Index::new();
/// index.insert(worker::Spec::new(WorkerId(1), capacity))?;
/// let worker = index.find(&size, &Rule::new()).expect("an empty worker has room");
/// index.reserve(worker, size)?;
/// assert_eq!(index.count_fitting(&size, 10), 3);
/// # Ok::<(), fulmarpier_state::placement::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Index {
    pub(super) slots: Vec<Entry>,
    pub(super) orders: Orders,
    workers: BTreeMap<WorkerId, Slot>,
    vacant: Vec<Slot>,
    shapes: Shapes,
    capacity: Total,
    free: Total,
}

impl Default for Index {
    fn default() -> Self {
        Self::new()
    }
}

impl Index {
    /// Makes an index without workers.
    pub fn new() -> Self {
        Self {
            slots: Vec::new(),
            orders: Orders::new(),
            workers: BTreeMap::new(),
            vacant: Vec::new(),
            shapes: Shapes::default(),
            capacity: Total::default(),
            free: Total::default(),
        }
    }

    /// Adds an empty, open worker; O(log n).
    ///
    /// # Errors
    ///
    /// [`Error::Duplicate`] where the worker is in the index already.
    pub fn insert(&mut self, spec: worker::Spec) -> Result<(), Error> {
        let worker = spec.id;
        if self.workers.contains_key(&worker) {
            return Err(Error::Duplicate { worker });
        }
        let slot = self.occupy(Entry::new(spec));
        self.workers.insert(worker, slot);
        self.orders.insert(slot, &spec, spec.capacity);
        self.shapes.add(spec.capacity);
        self.capacity.add(&spec.capacity);
        self.free.add(&spec.capacity);
        Ok(())
    }

    /// Removes a worker with all that is reserved on it; O(log n).
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index.
    pub fn remove(&mut self, worker: WorkerId) -> Result<worker::Spec, Error> {
        let slot = self.slot(worker)?;
        let entry = self.slots[slot as usize];
        if entry.open {
            self.orders.remove(&entry.spec, entry.free);
        }
        self.workers.remove(&worker);
        self.vacant.push(slot);
        self.shapes.remove(entry.spec.capacity);
        self.capacity.sub(&entry.spec.capacity);
        self.free.sub(&entry.free);
        Ok(entry.spec)
    }

    /// Opens or closes a worker for new tasks; what is reserved stays; O(log n).
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index.
    pub fn set_open(&mut self, worker: WorkerId, open: bool) -> Result<(), Error> {
        let slot = self.slot(worker)?;
        let entry = self.slots[slot as usize];
        match (entry.open, open) {
            (false, true) => self.orders.insert(slot, &entry.spec, entry.free),
            (true, false) => self.orders.remove(&entry.spec, entry.free),
            _ => {}
        }
        self.slots[slot as usize].open = open;
        Ok(())
    }

    /// Reserves `size` on a worker, open or not; O(log n).
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index, and [`Error::Overfull`] where any
    /// resource would run over.
    pub fn reserve(&mut self, worker: WorkerId, size: Resources) -> Result<(), Error> {
        let slot = self.slot(worker)?;
        let after = self.slots[slot as usize].free_after_reserve(size)?;
        self.set_free(slot, after);
        self.free.sub(&size);
        Ok(())
    }

    /// Releases `size` on a worker, open or not; O(log n).
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index, and [`Error::Overreleased`] where
    /// less of any resource is reserved.
    pub fn release(&mut self, worker: WorkerId, size: Resources) -> Result<(), Error> {
        let slot = self.slot(worker)?;
        let after = self.slots[slot as usize].free_after_release(size)?;
        self.set_free(slot, after);
        self.free.add(&size);
        Ok(())
    }

    /// Notes when a task on the worker should have ended; O(log n).
    ///
    /// The latest such time counts until the worker is empty. It only guides packing.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where the worker is not in the index.
    pub fn set_busy_until(&mut self, worker: WorkerId, end: Timestamp) -> Result<(), Error> {
        let slot = self.slot(worker)?;
        let entry = &mut self.slots[slot as usize];
        entry.busy_until = entry.busy_until.max(end);
        Ok(())
    }

    /// Returns the worker that a task of this size should go to, if any can take it; O(log n).
    ///
    /// It finds a worker whenever an open one outside [`Rule::avoid`] has room. Tasks without
    /// accelerators go to workers without them where possible, and workers in use come before
    /// empty ones. With a spread, workers in the
    /// places that hold the fewest tasks of the job come first, at O(racks in use × log n).
    pub fn find(&self, size: &Resources, rule: &Rule<'_>) -> Option<WorkerId> {
        self.find_counted(size, rule).0
    }

    /// Returns the same as [`Self::find`], and what the search cost.
    pub fn find_counted(&self, size: &Resources, rule: &Rule<'_>) -> (Option<WorkerId>, Visits) {
        let mut search = Search::new(&self.slots, &self.orders, size, rule);
        let slot = match rule.presence {
            Some(presence) => search.best_apart(presence),
            None => search.best(),
        };
        let worker = slot.map(|slot| search.id(slot));
        (worker, search.visits)
    }

    /// Returns whether some worker, open or not, could hold the size if it were empty.
    ///
    /// Costs O(shapes that no other exceeds).
    pub fn fits_empty(&self, size: &Resources) -> bool {
        self.shapes.can_hold(size)
    }

    /// Returns what a worker has left.
    pub fn free(&self, worker: WorkerId) -> Option<Resources> {
        self.entry(worker).map(|entry| entry.free)
    }

    /// Returns what a worker offers in all.
    pub fn capacity(&self, worker: WorkerId) -> Option<Resources> {
        self.entry(worker).map(|entry| entry.spec.capacity)
    }

    /// Returns a worker's shape and place.
    pub fn spec(&self, worker: WorkerId) -> Option<&worker::Spec> {
        self.entry(worker).map(|entry| &entry.spec)
    }

    /// Returns whether a worker is known and open for new tasks.
    pub fn is_open(&self, worker: WorkerId) -> bool {
        self.entry(worker).is_some_and(|entry| entry.open)
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
        let slots = self.workers.values();
        slots.map(|slot| &self.slots[*slot as usize].spec)
    }

    /// Returns how many workers there are.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    fn entry(&self, worker: WorkerId) -> Option<&Entry> {
        let slot = self.workers.get(&worker)?;
        self.slots.get(*slot as usize)
    }

    fn slot(&self, worker: WorkerId) -> Result<Slot, Error> {
        let slot = self.workers.get(&worker).copied();
        slot.ok_or(Error::Unknown { worker })
    }

    fn occupy(&mut self, entry: Entry) -> Slot {
        if let Some(slot) = self.vacant.pop() {
            self.slots[slot as usize] = entry;
            return slot;
        }
        let slot = Slot::try_from(self.slots.len()).unwrap_or(Slot::MAX);
        self.slots.push(entry);
        slot
    }

    fn set_free(&mut self, slot: Slot, free: Resources) {
        let entry = &mut self.slots[slot as usize];
        let before = entry.free;
        entry.free = free;
        if entry.is_empty() {
            entry.busy_until = Timestamp::ZERO;
        }
        if entry.open {
            self.orders.update(slot, &entry.spec, before, free);
        }
    }
}
