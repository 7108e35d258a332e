//! Workers that have less room than they had.
//!
//! A worker's room may shrink and grow while it runs, and only its own report tells. What was decided before the report came
//! in must not fill it over.

use std::time::Duration;

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
        Claim,
        Phase,
        Worker, //
    },
};

/// For how long a worker's report says how much room there is. Workers report themselves each 1.5 s, and starts that go beyond
/// a room that has shrunk are borne for 3 s more; the rest is for an order's way.
const REPORT_HOLDS: Duration = Duration::from_secs(4);
/// A record that took longer has waited for a store that was away; others take 10 to 20 ms, and some 0.4 s while it is slow.
const LONG_RECORD: Duration = Duration::from_millis(500);
/// By then after an outage of the store each worker that is there has reported itself.
const REPORTS_AFTER: Duration = Duration::from_secs(2);

/// Which reports of workers say how much room there is.
///
/// While the store is away no worker can tell that it has shrunk, so right after an outage old reports are not believed. At
/// other times they are, until the first room shrinks: the list of workers may be away alone, and where no room ever shrinks
/// nothing would be started then for nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reports {
    /// Those from before this don't.
    pub(super) from: Timestamp,
    has_shrunk: bool,
    doubted_until: Timestamp,
}

impl Reports {
    /// Notes how long a record was on its way.
    pub(super) fn note_record(&mut self, took: Duration, now: Timestamp) {
        if took > LONG_RECORD {
            self.doubted_until = now + REPORTS_AFTER;
        }
        self.weigh(now);
    }

    pub(super) fn weigh(&mut self, now: Timestamp) {
        self.from = match self.has_shrunk || now < self.doubted_until {
            true => now.saturating_sub(REPORT_HOLDS),
            false => Timestamp::ZERO,
        };
    }
}

impl Engine {
    /// Takes back what a worker that has shrunk has no room for any more, as far as it has not begun.
    ///
    /// What runs there goes on: it was there first, and ends by itself.
    pub(super) fn shrink(&mut self, slot: Slot, now: Timestamp) {
        self.reports.has_shrunk = true;
        self.note_worker(slot, "shrunk", now);
        for (task, run) in self.unsent(slot) {
            if !self.workers.get(&slot).is_some_and(Worker::is_overfull) {
                return;
            }
            self.take_back(slot, task, run, "shrunk", now);
        }
        // An order without an answer may be carried out yet.
        let is_unanswered = |claim: &Claim| claim.phase == Phase::Starting && claim.unanswered > 0;
        for (task, run) in self.runs_on(slot, is_unanswered) {
            if self.workers.get(&slot).is_some_and(Worker::is_overfull) {
                self.stop(slot, task, run, "shrunk", now);
            }
        }
    }

    /// Takes back all runs of a worker whose orders have not left.
    pub(super) fn take_back_unsent(&mut self, slot: Slot, why: &'static str, now: Timestamp) {
        for (task, run) in self.unsent(slot) {
            self.take_back(slot, task, run, why, now);
        }
    }

    /// Takes back a run whose order has not left, and never will.
    pub(super) fn take_back(
        &mut self,
        slot: Slot,
        task: TaskId,
        run: Run,
        why: &'static str,
        now: Timestamp,
    ) {
        self.note_not_started(slot, task, run, why);
        self.release(slot, task, run, now);
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

    /// Tells that an order never leaves.
    fn note_not_started(&mut self, slot: Slot, task: TaskId, run: Run, why: &'static str) {
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
