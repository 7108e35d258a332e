//! Data centres that are evacuated: no start leaves for their workers, whichever way it came.
//!
//! What runs there runs on. While it isn't known which data centres are evacuated, or that was read too long ago, nothing is
//! started anywhere: the operator may have evacuated any of them since.

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

/// What a reading of the operator's records has told.
#[derive(Clone, Debug)]
pub(super) struct Reading {
    evacuation: Evacuation,
    at: Timestamp,
}

impl Engine {
    /// Takes in which data centres are evacuated, as was read at a moment.
    pub fn evacuate(&mut self, evacuation: Evacuation, read: Timestamp, now: Timestamp) {
        let was_known = self.knows_evacuation(now);
        let before = self.evacuation.replace(Reading {
            evacuation,
            at: read,
        });
        let after = self.evacuation.as_ref();
        let is_news = before.as_ref().map(|before| &before.evacuation)
            != after.map(|after| &after.evacuation);
        if is_news {
            for slot in self.workers.keys().copied().collect::<Vec<_>>() {
                self.mark_evacuated(slot);
            }
        }
        self.is_stirred |= is_news || !was_known;
    }

    /// Returns whether it is known which data centres are evacuated, by a reading that is recent enough for an order to
    /// start that leaves now.
    pub(super) fn knows_evacuation(&self, now: Timestamp) -> bool {
        let Some(reading) = &self.evacuation else {
            return false;
        };
        let most = self.bounds.evacuation_age();
        most.is_none_or(|most| now.since(reading.at) <= most)
    }

    /// Notes of a worker whether its data centre is evacuated.
    pub(super) fn mark_evacuated(&mut self, slot: Slot) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let data_centre = worker.registration.data_centre.as_ref();
        let reading = self.evacuation.as_ref();
        let is_evacuated = reading.is_some_and(|reading| reading.evacuation.covers(data_centre));
        if is_evacuated != worker.is_evacuated {
            worker.is_evacuated = is_evacuated;
            self.index(slot);
        }
    }

    /// Returns why no order to start may leave for a worker now, as one word, where evacuations are what forbids it.
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

    /// Returns whether workers of a step's pool would take its tasks if their data centres were not evacuated.
    pub(super) fn is_pool_evacuated(&self, demand: &Demand<'_>) -> bool {
        let mut workers = self.workers.values();
        workers.any(|worker| {
            worker.is_evacuated
                && worker.registration.pool == demand.queue.pool
                && demand.size.fits(&worker.registration.capacity)
        })
    }
}
