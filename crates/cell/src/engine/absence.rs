//! What follows from an inventory that lists a run neither as running nor as ended.
//!
//! Nothing follows if the inventory omits ends.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::LogRecord,
    id::{
        Run,
        TaskId, //
    },
    worker::Phase,
};

impl Engine {
    /// Notes the runs that are only known from the record and that the worker's inventory doesn't list.
    ///
    /// An order of the former owner may still arrive, so this doesn't prove that they are gone. But the other members of
    /// their gangs wait for them.
    pub(super) fn note_unlisted(&mut self, slot: Slot, listed: &[(TaskId, Run)], now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let mut steps = Vec::new();
        for (key, allocation) in &mut worker.allocations {
            let is_recorded = matches!(allocation.phase, Phase::Running { .. })
                && allocation.first_confirmed.is_none();
            if is_recorded && !allocation.is_unlisted && !listed.contains(key) {
                allocation.is_unlisted = true;
                steps.push(key.0.step);
            }
        }
        for step in steps {
            self.note_missing(step, now);
        }
    }

    /// Releases the resources of runs that an inventory proves to be gone.
    ///
    /// The absence of a run proves that only if its start or stop was settled before the inventory was requested, and if
    /// the inventory lists all ends.
    pub(super) fn release_absent(
        &mut self,
        slot: Slot,
        listed: &[(TaskId, Run)],
        ends: usize,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let absent: Vec<(TaskId, Run, &'static str)> = worker
            .allocations
            .iter()
            .filter(|(key, allocation)| {
                let is_obsolete = worker.are_orders_obsolete(allocation, sent_at);
                let is_settled = match allocation.phase {
                    Phase::Recording => false,
                    Phase::Starting => is_obsolete,
                    Phase::Running { since, .. } => is_obsolete || since <= sent_at,
                    // During a stop, a run may be listed neither as running nor as ended.
                    Phase::Stopping { confirmed } => {
                        confirmed.is_some_and(|at| at + self.bounds.stop_settle_time() <= sent_at)
                    }
                };
                is_settled && !listed.contains(key)
            })
            .map(|((task, run), allocation)| (*task, *run, allocation.phase.as_str()))
            .collect();
        let id = worker.registration.id.clone();
        for (task, run, phase) in absent {
            self.log(LogRecord::Absent {
                task,
                run,
                worker: id.clone(),
                phase,
                ends,
            });
            self.release(slot, task, run, now);
        }
    }
}
