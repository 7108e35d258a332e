//! Evacuated data centres: no order to start a task leaves for their workers, by any code path.
//!
//! Running tasks go on. While it is unknown which data centres are evacuated, or the last reading is too old, nothing
//! is started anywhere, since the operator may have evacuated any of them since.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    place::Demand, //
};
use crate::{
    evacuation::Evacuation,
    worker::Worker, //
};

/// The result of reading the operator's records, with its time.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    evacuation: Evacuation,
    at: Timestamp,
}

impl Engine {
    /// Sets which data centres are evacuated, according to a reading made at `read`.
    pub fn set_evacuation(&mut self, evacuation: Evacuation, read: Timestamp, now: Timestamp) {
        let was_known = self.knows_evacuation(now);
        let before = self.evacuation.replace(Reading {
            evacuation,
            at: read,
        });
        let after = self.evacuation.as_ref();
        let has_changed = before.as_ref().map(|before| &before.evacuation)
            != after.map(|after| &after.evacuation);
        if has_changed {
            for slot in self.workers.keys().copied().collect::<Vec<_>>() {
                self.mark_evacuated(slot);
            }
        }
        self.needs_pass |= has_changed || !was_known;
    }

    /// Returns whether the last reading of the evacuated data centres is recent enough for an order to start that
    /// leaves now.
    pub(super) fn knows_evacuation(&self, now: Timestamp) -> bool {
        let Some(reading) = &self.evacuation else {
            return false;
        };
        let max_age = self.bounds.max_evacuation_age();
        max_age.is_none_or(|max_age| now.since(reading.at) <= max_age)
    }

    /// Updates whether the data centre of a worker is evacuated.
    pub(super) fn mark_evacuated(&mut self, slot: Slot) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let data_centre = worker.registration.data_centre.as_ref();
        let reading = self.evacuation.as_ref();
        let is_evacuated = reading.is_some_and(|reading| reading.evacuation.covers(data_centre));
        if is_evacuated != worker.is_evacuated {
            worker.is_evacuated = is_evacuated;
            self.update_indexes(slot);
        }
    }

    /// Returns why evacuations forbid an order to start on a worker now, as one word; `None` if they allow it.
    pub(super) fn evacuation_forbids(
        &self,
        worker: &Worker,
        now: Timestamp,
    ) -> Option<&'static str> {
        match self.knows_evacuation(now) {
            _ if worker.is_evacuated => Some("evacuated"),
            false => Some("evacuation-unknown"),
            true => None,
        }
    }

    /// Returns whether a worker of a step's pool in an evacuated data centre is large enough for its tasks.
    pub(super) fn is_pool_evacuated(&self, demand: &Demand<'_>) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| {
            worker.is_evacuated
                && worker.registration.pool == demand.queue.pool
                && demand.size.fits(&worker.registration.capacity)
        })
    }
}
