//! Entries that name another address than the one at which a worker is known.
//!
//! Another writer may have written such an entry. What answers at its address says nothing about the worker unless it is
//! the worker.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    contact::SILENT_WORKER_RETRY_DELAY, //
};
use crate::{
    event::{
        HeartbeatAnswer,
        Registration, //
    },
    id::{
        Run,
        TaskId, //
    },
    worker::CallState,
};

impl Engine {
    /// Notes an entry with another address than the one at which the worker is known. Until a probe of the new address has
    /// shown whether the worker is there, the entry counts as unusable and the worker is called where it was.
    pub(super) fn note_contradiction(&mut self, slot: Slot, entry: Registration, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let id = entry.id.clone();
        let former = worker.contradiction.as_ref();
        if former.is_some_and(|former| former.address == entry.address) {
            // The probe of that address goes on.
            worker.contradiction = Some(entry);
        } else {
            worker.set_contradiction(Some(entry), now);
            self.log_worker(slot, "contradicted", now);
        }
        self.mark_entry_unusable(&id, now);
        self.update_indexes(slot);
    }

    /// Handles the answer to a probe of the address that a contradicting entry names; returns false if it shows that the
    /// worker is not there, or not yet whether it is.
    pub(super) fn settle_contradiction(
        &mut self,
        slot: Slot,
        answer: &HeartbeatAnswer,
        now: Timestamp,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return false;
        };
        match answer {
            HeartbeatAnswer::Inventory(_) => {
                if let Some(entry) = worker.contradiction.take() {
                    worker.move_to(entry.address, now);
                    self.register(entry, now);
                }
                true
            }
            // Another worker answers there, so the entry isn't this worker's.
            HeartbeatAnswer::Replaced | HeartbeatAnswer::Fenced => {
                worker.contradiction = None;
                self.log_worker(slot, "misaddressed", now);
                self.update_indexes(slot);
                false
            }
            HeartbeatAnswer::NoAnswer
            | HeartbeatAnswer::ConnectionLost
            | HeartbeatAnswer::Refused => {
                worker.probe = Some(CallState::Due(now + SILENT_WORKER_RETRY_DELAY));
                self.update_indexes(slot);
                false
            }
        }
    }

    /// Returns whether an order for a run may have gone to an address at which its worker was known before. What answers
    /// there says nothing about the worker.
    pub(super) fn was_ordered_elsewhere(&self, slot: Slot, task: TaskId, run: Run) -> bool {
        let worker = self.workers.get(&slot);
        worker.is_some_and(|worker| {
            let allocation = worker.allocations.get(&(task, run));
            allocation.is_some_and(|allocation| allocation.since < worker.address_since)
        })
    }
}
