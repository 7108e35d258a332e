//! Workers that leave or fail for good: nothing answers at their addresses any more.

use std::time::Duration;

use fulmarpier_cell::id::WorkerId;

use super::World;

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
        self.schedule(notice, super::Event::Departed(id.clone()));
        self.add_worker_at_new_address();
    }

    /// Removes a worker whose time to leave has come, and its entry.
    pub(super) fn complete_departure(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.count_crash_of_running_tasks(&worker);
        self.break_connections(id);
        self.down_until.insert(id.clone(), self.now + FOREVER);
        self.engine.unregister(id, self.now);
    }

    fn add_worker_at_new_address(&mut self) {
        let last = self.workers.values().map(|worker| worker.slot).max();
        let slot = last.map_or(0, |last| last + 1);
        self.add_worker(slot);
        self.register_slot(slot);
    }
}
