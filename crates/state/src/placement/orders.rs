//! The orders in which open workers can be searched.

use std::{
    collections::BTreeMap,
    ops::Range, //
};

use crate::{
    id::{
        DataCentreId,
        RackId, //
    },
    resource::Resources,
    worker, //
};

use super::tree::{
    Slot,
    Tree, //
};

/// Workers that a task may prefer alike, the preferred first.
///
/// Those without accelerators come first, then the others by how many accelerators are free.
/// Within these, workers in use come before empty ones.
pub(super) type Class = u32;

/// The first class of workers without accelerators.
const PLAIN: Class = 0;
/// How many classes there are for each count of free accelerators: in use and empty.
const PER_COUNT: Class = 2;

/// Three trees over the same open workers, kept in step.
#[derive(Clone, Debug)]
pub(super) struct Orders {
    /// By class, then free processor time.
    pub(super) by_cpu: Tree,
    /// By class, then free memory.
    pub(super) by_memory: Tree,
    /// By data centre, then rack.
    pub(super) by_place: Tree,
    classes: BTreeMap<Class, u32>,
    data_centres: BTreeMap<DataCentreId, u32>,
}

impl Orders {
    /// Makes the orders of no workers.
    pub(super) const fn new() -> Self {
        Self {
            by_cpu: Tree::new(),
            by_memory: Tree::new(),
            by_place: Tree::new(),
            classes: BTreeMap::new(),
            data_centres: BTreeMap::new(),
        }
    }

    /// Adds an open worker.
    pub(super) fn insert(&mut self, slot: Slot, spec: &worker::Spec, free: Resources) {
        self.insert_amounts(slot, spec, free);
        self.by_place.insert(slot, place_key(spec), free);
        *self.data_centres.entry(spec.data_centre).or_default() += 1;
    }

    /// Removes a worker that was open with this much free.
    pub(super) fn remove(&mut self, spec: &worker::Spec, free: Resources) {
        self.remove_amounts(spec, free);
        self.by_place.remove(place_key(spec));
        decrement(&mut self.data_centres, &spec.data_centre);
    }

    /// Changes what an open worker has free.
    pub(super) fn update(
        &mut self,
        slot: Slot,
        spec: &worker::Spec,
        before: Resources,
        after: Resources,
    ) {
        self.remove_amounts(spec, before);
        self.insert_amounts(slot, spec, after);
        self.by_place.update(place_key(spec), after);
    }

    /// Returns the classes that can hold a count of accelerators, the preferred first.
    pub(super) fn classes(&self, accelerators: u16) -> impl Iterator<Item = Class> + '_ {
        let least = match accelerators {
            0 => PLAIN,
            count => class_with(count),
        };
        self.classes.range(least..).map(|(class, _)| *class)
    }

    /// Returns the data centres with open workers, in order of their ids.
    pub(super) fn data_centres(&self) -> impl Iterator<Item = DataCentreId> + '_ {
        self.data_centres.keys().copied()
    }

    fn insert_amounts(&mut self, slot: Slot, spec: &worker::Spec, free: Resources) {
        let class = class_of(spec, &free);
        let cpu = amount_key(class, u64::from(free.cpu.0), spec.id.0);
        let memory = amount_key(class, free.memory.0, spec.id.0);
        self.by_cpu.insert(slot, cpu, free);
        self.by_memory.insert(slot, memory, free);
        *self.classes.entry(class).or_default() += 1;
    }

    fn remove_amounts(&mut self, spec: &worker::Spec, free: Resources) {
        let class = class_of(spec, &free);
        let cpu = amount_key(class, u64::from(free.cpu.0), spec.id.0);
        let memory = amount_key(class, free.memory.0, spec.id.0);
        self.by_cpu.remove(cpu);
        self.by_memory.remove(memory);
        decrement(&mut self.classes, &class);
    }
}

/// Returns the keys of a class with at least this amount, in [`Orders::by_cpu`] or
/// [`Orders::by_memory`].
pub(super) const fn amounts_from(class: Class, amount: u64) -> Range<u128> {
    amount_key(class, amount, 0)..amount_key(class + 1, 0, 0)
}

/// Returns the keys of a rack in [`Orders::by_place`].
pub(super) const fn rack_keys(data_centre: DataCentreId, rack: RackId) -> Range<u128> {
    let first = (data_centre.0 as u128) << 64 | (rack.0 as u128) << 32;
    first..first + (1 << 32)
}

/// Returns the keys of a data centre in [`Orders::by_place`].
pub(super) const fn data_centre_keys(data_centre: DataCentreId) -> Range<u128> {
    let first = (data_centre.0 as u128) << 64;
    first..first + (1 << 64)
}

fn class_of(spec: &worker::Spec, free: &Resources) -> Class {
    let first = match spec.capacity.accelerators {
        0 => PLAIN,
        _ => class_with(free.accelerators),
    };
    let empty = *free == spec.capacity;
    first + Class::from(empty)
}

/// Returns the first class of workers with this count of free accelerators.
const fn class_with(accelerators: u16) -> Class {
    PLAIN + PER_COUNT * (1 + accelerators as Class)
}

const fn amount_key(class: Class, amount: u64, worker: u32) -> u128 {
    (class as u128) << 96 | (amount as u128) << 32 | worker as u128
}

fn place_key(spec: &worker::Spec) -> u128 {
    rack_keys(spec.data_centre, spec.rack).start + u128::from(spec.id.0)
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    let Some(count) = counts.get_mut(key) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}
