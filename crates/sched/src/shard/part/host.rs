//! This shard as the host of parts of other shards' jobs.

use std::sync::Arc;

use fulmarpier_coordination::{
    journal::Record,
    part::{
        Local,
        Origin,
        Step,
        step, //
    },
    peer::part::{
        Order,
        Report, //
    },
};
use fulmarpier_state::{
    engine::{
        self,
        Counts, //
    },
    id::JobId,
    job::Spec,
};

use super::super::{
    Live,
    Scope,
    commit::Pending, //
};
use crate::node::CallId;

/// The call of a cancellation that nobody waits for.
const NOBODY: CallId = CallId(u64::MAX);

impl Live {
    /// Does what the home of a part wants, and reports what is so.
    pub(crate) fn obey(&mut self, order: &Order, scope: &mut Scope<'_>) -> Report {
        let (part, of) = (order.part, order.of);
        let local = self.local(part);
        if self.is_active(scope.now) {
            self.obey_step(order, step(&local, order, scope.now), scope);
        }
        let state = self.local(part).into();
        Report { part, of, state }
    }

    fn obey_step(&mut self, order: &Order, step: Step, scope: &mut Scope<'_>) {
        let (part, of) = (order.part, order.of);
        match step {
            Step::Take => {
                if let Some(spec) = &order.spec {
                    self.take_part(part, of, spec, scope);
                }
            }
            Step::Close(counts) => self.close_part(part, of, counts, scope),
            Step::Cancel => {
                let record = Record::Cancelled { job: part };
                let (job, call) = (part, NOBODY);
                // A full journal leaves it to the next order.
                let _ = self.push(record, Pending::Cancel { job, call }, scope.now);
            }
            Step::Withdraw => self.give_back(part, of, scope),
            Step::Forget => self.keep(Record::Forgotten { part }, scope.now),
            Step::Rest => self.close_ended(part, of, scope),
        }
    }

    /// Keeps a part before it is run.
    fn take_part(&mut self, part: JobId, of: Origin, spec: &Spec, scope: &Scope<'_>) {
        let spec = Arc::new(spec.clone());
        let at = scope.now;
        let record = Record::Hosted { part, of, spec, at };
        // A full journal leaves it to the next order.
        let _ = self.push(record, Pending::Host { part }, at);
    }

    /// Runs a part whose record is kept.
    pub(in crate::shard) fn run_part(&mut self, part: JobId, scope: &Scope<'_>) {
        // One that is cancelled already is cancelled by what comes next in the journal.
        if let Some(held) = self.journal.image().jobs.get(&part) {
            self.engine
                .submit(part, held.spec.as_ref().clone(), scope.now);
            self.parts.hosted.insert(part);
        }
    }

    /// Takes a part of which nothing runs out of the queue, for its home to place elsewhere.
    fn give_back(&mut self, part: JobId, of: Origin, scope: &Scope<'_>) {
        let view = self.engine.job(part);
        let Some(view) = view.filter(|_| self.engine.may_withdraw(part)) else {
            return;
        };
        let counts = Counts {
            cancelled: view.tasks,
            ..Counts::default()
        };
        let record = Record::Closed { part, of, counts };
        // From here on nothing of it starts here, whatever becomes of the record.
        if self
            .push(record, Pending::Closed { part }, scope.now)
            .is_ok()
        {
            self.engine.withdraw(part, scope.now);
        }
    }

    /// Keeps that all tasks of a part have ended, if the engine says so.
    pub(super) fn close_ended(&mut self, part: JobId, of: Origin, scope: &Scope<'_>) {
        let Some(view) = self.engine.job(part) else {
            return;
        };
        let open = self.journal.image().jobs.contains_key(&part);
        if open && matches!(view.state, engine::State::Ended(_)) {
            self.close_part(part, of, view.ended, scope);
        }
    }

    fn close_part(&mut self, part: JobId, of: Origin, counts: Counts, scope: &Scope<'_>) {
        if !self.is_unsettled(part) {
            let record = Record::Closed { part, of, counts };
            // The home asks until the end is kept, and each order tries again.
            let _ = self.push(record, Pending::Closed { part }, scope.now);
        }
    }

    /// Returns whether a record that decides about a part is on its way.
    fn is_unsettled(&self, id: JobId) -> bool {
        let about = |pending: &Pending| {
            matches!(
                pending,
                Pending::Host { part } | Pending::Closed { part } if *part == id
            )
        };
        self.pending.values().any(about)
    }

    /// Returns what this shard knows of a part.
    fn local(&self, part: JobId) -> Local {
        let image = self.journal.image();
        if let Some(closed) = image.closed.get(&part) {
            return Local::Ended(closed.counts);
        }
        if !self.is_settled() || self.is_unsettled(part) {
            return Local::Unsettled;
        }
        let Some(held) = image.jobs.get(&part) else {
            return Local::Absent;
        };
        match self.engine.job(part) {
            Some(view) if !matches!(view.state, engine::State::Ended(_)) => Local::Open {
                waiting: view.waiting,
                running: view.starting + view.running,
                ended: view.ended,
                cancelled: held.cancelled,
            },
            // Its recovery waits for a worker, or its end is to be kept.
            _ => Local::Unsettled,
        }
    }
}
