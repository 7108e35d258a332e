//! Workers that leave or fail for good: nothing answers at their addresses any more.

use std::time::Duration;

use fulmarpier_cell::id::WorkerId;

use rand::RngExt;

use super::{
    CRASHED_LISTING_DURATION,
    Event,
    World,
    worker::Worker, //
};

/// Longer than any history.
const FOREVER: Duration = Duration::from_secs(3_600);

impl World {
    /// Lets a worker announce that it leaves. A new worker, at another address, replaces it.
    pub(crate) fn depart(&mut self, id: &WorkerId, notice: Duration) {
        let leaves_at = self.now + notice;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.announce_leaving(leaves_at);
        let slot = worker.slot;
        self.register_slot(slot);
        self.schedule(notice, Event::Departed(id.clone()));
        self.add_worker_at_new_address();
    }

    /// Removes a worker whose time to leave has come, and its entry.
    pub(super) fn complete_departure(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.go_silent(id, &worker);
        self.engine.unregister(id, self.now);
    }

    /// Makes some workers fail or leave for good.
    pub(super) fn remove_workers(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let stays = self.workers[&id].leaves_at.is_none();
            if !stays || !self.chance(self.faults.departures) {
                continue;
            }
            if self.chance(500) {
                let notice = Duration::from_millis(self.rng.random_range(2_000..4_000));
                self.depart(&id, notice);
            } else {
                self.fail(&id);
            }
        }
    }

    /// Lets a worker fail. Its entry stays listed for some time, and a new worker, at another address, replaces it.
    fn fail(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.go_silent(id, &worker);
        self.schedule(CRASHED_LISTING_DURATION, Event::Unlisted(id.clone()));
        self.add_worker_at_new_address();
    }

    /// Lets nothing answer at the address of a worker any more.
    fn go_silent(&mut self, id: &WorkerId, worker: &Worker) {
        self.count_crash_of_running_tasks(worker);
        self.break_connections(id);
        self.down_until.insert(id.clone(), self.now + FOREVER);
    }

    fn add_worker_at_new_address(&mut self) {
        let last = self.workers.values().map(|worker| worker.slot).max();
        let slot = last.map_or(0, |last| last + 1);
        self.add_worker(slot);
        self.register_slot(slot);
    }
}
