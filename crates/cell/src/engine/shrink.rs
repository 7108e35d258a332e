//! Workers that have less room than they had.
//!
//! A worker's room may shrink and grow while it runs, and only its own report tells. What was decided before the report came
//! in must not fill it over.

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::Note,
    id::{
        Run,
        TaskId, //
    },
    worker::{
        Phase,
        Worker, //
    },
};

impl Engine {
    /// Takes back what a worker that has shrunk has no room for any more, as far as it has not begun.
    ///
    /// What runs there goes on: it was there first, and ends by itself.
    pub(super) fn shrink(&mut self, slot: Slot, now: Timestamp) {
        self.note_worker(slot, "shrunk", now);
        for (task, run) in self.unsent(slot) {
            if !self.workers.get(&slot).is_some_and(Worker::is_overfull) {
                return;
            }
            self.note_not_started(slot, task, run, "shrunk");
            self.release(slot, task, run, now);
        }
        // An order without an answer may be carried out yet.
        for (task, run) in self.unanswered_on(slot) {
            if self.workers.get(&slot).is_some_and(Worker::is_overfull) {
                self.stop(slot, task, run, "shrunk", now);
            }
        }
    }

    /// Returns the runs of a worker whose orders have not left, the latest first.
    fn unsent(&self, slot: Slot) -> Vec<(TaskId, Run)> {
        let claims = self.workers.get(&slot).map(|worker| &worker.claims);
        let claims = claims.into_iter().flatten();
        let unsent = claims.filter(|(_, claim)| claim.phase == Phase::Recording);
        let mut unsent: Vec<_> = unsent.map(|(key, claim)| (claim.since, *key)).collect();
        unsent.sort_by_key(|(since, key)| (std::cmp::Reverse(*since), *key));
        unsent.into_iter().map(|(_, key)| key).collect()
    }

    fn unanswered_on(&self, slot: Slot) -> Vec<(TaskId, Run)> {
        let claims = self.workers.get(&slot).map(|worker| &worker.claims);
        let claims = claims.into_iter().flatten();
        let open = claims.filter(|(_, claim)| claim.phase == Phase::Starting);
        let unanswered = open.filter(|(_, claim)| claim.unanswered > 0);
        unanswered.map(|(key, _)| *key).collect()
    }

    /// Tells that an order never leaves.
    pub(super) fn note_not_started(
        &mut self,
        slot: Slot,
        task: TaskId,
        run: Run,
        why: &'static str,
    ) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let worker = worker.registration.id.clone();
        self.note(Note::NotStarted {
            task,
            run,
            worker,
            why,
        });
    }
}
