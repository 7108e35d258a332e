//! How good a worker is for a task.

use crate::{
    clock::Timestamp,
    resource::Resources, //
};

use super::{
    entry::Entry,
    rule::Run,
    weights::Factors, //
};

/// What an empty worker costs, more than all else together.
const EMPTY: f64 = 32.0;
/// Past this many doublings of its remaining use a worker counts as wholly extended.
const MOST_DOUBLINGS: f64 = 6.0;

/// What is free of a worker, as shares of the whole worker.
#[derive(Clone, Copy, Debug)]
struct Shares {
    cpu: f64,
    memory: f64,
}

/// Returns how unwelcome it is to put a task of this size on a worker; the lowest is best.
///
/// It is what would be left, as in best fit; what the task adds to the imbalance of processor time
/// and memory, since room for only one of them is of little use; and how much longer the task keeps
/// the worker in use, so that tasks end together and whole workers become empty (the idea of
/// Barbalho et al., "Virtual machine allocation with lifetime predictions", MLSys 2023).
pub(super) fn score(size: &Resources, runs: Option<&Run>, entry: &Entry, factors: &Factors) -> f64 {
    let capacity = &entry.spec.capacity;
    let rest = entry.free.checked_sub(*size).unwrap_or(entry.free);
    let before = Shares::new(&entry.free, capacity);
    let after = Shares::new(&rest, capacity);
    let added = after.imbalance() - before.imbalance();
    let longer = runs.map_or(0.0, |runs| extension(runs, entry.busy_until));
    let empty = if entry.is_empty() { EMPTY } else { 0.0 };
    after.sum() + factors.imbalance * added + factors.extension * longer + empty
}

impl Shares {
    fn new(amount: &Resources, capacity: &Resources) -> Self {
        Self {
            cpu: f64::from(amount.cpu.0) / f64::from(capacity.cpu.0.max(1)),
            memory: amount.memory.0 as f64 / capacity.memory.0.max(1) as f64,
        }
    }

    fn sum(&self) -> f64 {
        self.cpu + self.memory
    }

    fn imbalance(&self) -> f64 {
        (self.cpu - self.memory).abs()
    }
}

/// Returns how much longer a worker stays in use for a task, in doublings of the use that is left,
/// between zero (not longer) and one ([`MOST_DOUBLINGS`] or more).
fn extension(runs: &Run, busy_until: Timestamp) -> f64 {
    let span = runs.end.since(runs.start).as_secs_f64();
    let left = busy_until.since(runs.start).as_secs_f64();
    if span <= left {
        return 0.0;
    }
    let least = span / MOST_DOUBLINGS.exp2();
    (span / left.max(least)).log2() / MOST_DOUBLINGS
}
