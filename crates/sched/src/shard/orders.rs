//! From decisions to orders for workers.

use fulmarpier_coordination::{
    journal::{
        JobEnd,
        Record, //
    },
    platform::worker::{
        self,
        Start, //
    },
    recovery::TaskState,
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        Act,
        Cause,
        Effect,
        Outcome, //
    },
    id::{
        TaskId,
        WorkerId, //
    },
    job::Kind,
    resource::Resources, //
};

use super::{
    Live,
    Scope,
    commit::Pending,
    link::Key, //
};
use crate::node::Note;

impl Live {
    /// Carries out what the engine decided, and all that follows from it.
    pub(super) fn carry_out(&mut self, effects: Vec<Effect>, scope: &mut Scope<'_>) {
        for effect in effects {
            self.carry_out_one(effect, scope);
        }
    }

    fn carry_out_one(&mut self, effect: Effect, scope: &mut Scope<'_>) {
        match effect {
            Effect::Start {
                task,
                attempt,
                worker,
                size,
            } => self.begin_start((task, attempt), worker, size, scope),
            Effect::Act {
                task,
                attempt,
                worker,
                act,
            } => self.act((task, attempt), worker, act, scope),
            Effect::TaskEnded {
                task,
                attempt,
                outcome: Outcome::Unknown,
            } => self.keep_unknown((task, attempt), scope.now),
            Effect::TaskEnded { .. } => {}
            Effect::JobEnded { job, outcome } => self.job_ended(job, outcome, scope),
            Effect::Quarantined { worker } => scope.out.note(Note::Worker {
                worker,
                state: "quarantined",
            }),
            Effect::Released { worker } => scope.out.note(Note::Worker {
                worker,
                state: "released",
            }),
            Effect::Held { job } => scope.out.note(Note::Held { job }),
        }
    }

    /// Records a start and orders it: at once where it may be repeated, else once it is kept.
    fn begin_start(&mut self, key: Key, worker: WorkerId, size: Resources, scope: &mut Scope<'_>) {
        let (task, attempt) = key;
        let Some(spec) = self.engine.spec(task.job).cloned() else {
            return self.not_run(key, worker, Cause::Late, scope);
        };
        let (slots, port) = match &spec.kind {
            Kind::Service { slots, port, .. } => (Some(*slots), *port),
            Kind::Batch | Kind::Gang => (None, 0),
        };
        let start = Start {
            task,
            attempt,
            size,
            payload: spec.payload.clone(),
            slots,
            port,
            runtime: spec.runtime,
        };
        let record = Record::Starting {
            task,
            attempt,
            worker,
        };
        if spec.idempotent {
            self.keep(record, scope.now);
            return self.order(worker, start, scope);
        }
        let start = Box::new(start);
        let pending = Pending::Start { worker, start };
        if self.push(record, pending, scope.now).is_err() {
            self.not_run(key, worker, Cause::Late, scope);
        }
    }

    /// Puts an order to start on the line to its worker.
    pub(super) fn order(&mut self, worker: WorkerId, start: Start, scope: &mut Scope<'_>) {
        let key = (start.task, start.attempt);
        let active = self.is_active(scope.now);
        match self.links.get_mut(&worker) {
            Some(link) if active && !link.lost => {
                scope.out.counts_mut().starts += 1;
                link.start(start);
            }
            _ => self.not_run(key, worker, Cause::Late, scope),
        }
    }

    /// Tells the engine that a start certainly did not run, and keeps that.
    pub(super) fn not_run(
        &mut self,
        key: Key,
        worker: WorkerId,
        cause: Cause,
        scope: &mut Scope<'_>,
    ) {
        let (task, attempt) = key;
        self.keep(Record::NotStarted { task, attempt }, scope.now);
        let effects = self.engine.not_run(task, attempt, worker, cause, scope.now);
        self.carry_out(effects, scope);
    }

    fn act(&mut self, key: Key, worker: WorkerId, act: Act, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        let order = match act {
            Act::Checkpoint => worker::Act::Checkpoint,
            Act::Throttle(share) => worker::Act::Throttle(share),
            Act::Stop => worker::Act::Stop,
        };
        if link.act(key, order) {
            self.not_run(key, worker, Cause::Late, scope);
        }
    }

    fn keep_unknown(&mut self, key: Key, now: Timestamp) {
        let (task, attempt) = key;
        let worker = self.recorded_worker(task);
        let record = Record::Unknown {
            task,
            attempt,
            worker,
        };
        self.keep(record, now);
    }

    /// Returns the worker of the last start that is on record.
    fn recorded_worker(&self, task: TaskId) -> WorkerId {
        let job = self.journal.image().jobs.get(&task.job);
        let state = job.and_then(|job| job.tasks.get(&task.index));
        match state {
            Some(
                TaskState::Starting { worker, .. }
                | TaskState::Ended { worker, .. }
                | TaskState::Unknown { worker, .. },
            ) => *worker,
            Some(TaskState::NotStarted { .. }) | None => WorkerId::default(),
        }
    }
}

/// Returns how a job ended, as the journal keeps it.
pub(super) const fn job_end(outcome: Outcome) -> JobEnd {
    match outcome {
        Outcome::Succeeded => JobEnd::Succeeded,
        Outcome::Failed => JobEnd::Failed,
        Outcome::Unknown => JobEnd::Unknown,
        Outcome::Cancelled => JobEnd::Cancelled,
    }
}
