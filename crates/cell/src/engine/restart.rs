//! New incarnations of known workers.
//!
//! A restarted worker has lost all runs and orders, and it numbers its ends of runs from one again. Therefore nothing
//! that is known of the former incarnation applies to it: neither which ends were processed, nor which it may forget,
//! nor its clock, its free resources and its tickets.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    event::{
        Inventory,
        Registration, //
    },
    id::{
        Run,
        TaskId, //
    },
    worker::{
        CallState,
        Phase,
        Worker, //
    },
};

impl Worker {
    /// Returns whether a report is from an incarnation other than that of the previous report and the one that answered
    /// last.
    pub(super) fn is_superseded_by(&self, newer: &Registration) -> bool {
        let Some(reported) = newer.incarnation else {
            return false;
        };
        let known = [self.registration.incarnation, self.incarnation];
        known.into_iter().flatten().all(|known| known != reported) && self.incarnation.is_some()
    }
}

impl Engine {
    /// Notes that a worker reports a new incarnation, which has not answered yet, so the former one is gone.
    ///
    /// The runs of the former incarnation are declared lost only after the new one has answered, because the new one
    /// may have started some of them.
    pub(super) fn expect_incarnation(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        worker.is_superseded = true;
        worker.probe = Some(CallState::Due(now));
        self.log_worker(slot, "superseded", now);
        self.revoke_unsent(slot, "reborn", now);
    }

    /// Switches to a new incarnation of a worker on its first inventory.
    ///
    /// Orders that were meant for the former incarnation may still reach this one. The next call carries a higher
    /// fence, so runs that its answer doesn't list have not started and never will.
    pub(super) fn begin_incarnation(
        &mut self,
        slot: Slot,
        inventory: &Inventory,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        self.revoke_unsent(slot, "reborn", now);
        self.exclude_restarted_runs(slot, inventory, sent_at);
        self.log_losses(slot, "reborn", now);
        self.count_crashes(slot, now);
        self.fence = self.fence.next();
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        worker.begin_incarnation(inventory.incarnation, self.fence, now);
        worker.probe = Some(CallState::Due(now));
        self.record_queue.drop_ends(slot);
        self.resend_stops(slot, now);
        self.log_worker(slot, "reborn", now);
    }

    /// Excludes runs that the new incarnation has started, or may have, from those that were lost with the former one. If
    /// its inventory omits ends, these are all runs.
    fn exclude_restarted_runs(&mut self, slot: Slot, inventory: &Inventory, sent_at: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let running = inventory.running.iter().map(|run| (run.task, run.run));
        let ended = inventory.ended.iter().map(|end| (end.task, end.run));
        let reported: Vec<(TaskId, Run)> = running.chain(ended).collect();
        for (key, allocation) in &mut worker.allocations {
            let is_later = allocation
                .first_confirmed
                .is_some_and(|begun| begun > sent_at);
            if is_later || inventory.omits_ends || reported.contains(key) {
                allocation.first_confirmed = None;
                allocation.outlived_crash_window = false;
                allocation.unanswered_starts = 0;
            }
        }
    }

    /// Resends the stop orders that the former incarnation may have confirmed, since the new one doesn't know of them.
    fn resend_stops(&mut self, slot: Slot, now: Timestamp) {
        let worker = self.workers.get_mut(&slot);
        for ((task, run), allocation) in worker
            .into_iter()
            .flat_map(|worker| &mut worker.allocations)
        {
            if let Phase::Stopping { confirmed } = &mut allocation.phase {
                *confirmed = None;
                self.stops.set((slot, *task, *run), Some(now));
            }
        }
    }
}
