//! The recovery of a shard: its steps, applied to the scheduling state.

use std::time::Duration;

use fulmarpier_coordination::{
    journal::Record,
    platform::worker::Ended,
    recovery::{
        Effect,
        Step,
        TaskState, //
    },
};
use fulmarpier_state::{
    engine::{
        self,
        Cause, //
    },
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    worker::Condition, //
};

use super::{
    Live,
    Scope,
    inventory::engine_end,
    link::Key, //
};
use crate::node::Note;

impl Live {
    /// Does what the recovery asks for.
    pub(super) fn pump_recovery(&mut self, scope: &mut Scope<'_>) {
        let mut submitted = Vec::new();
        while let Some(effect) = self.recovery.as_mut().and_then(|r| r.poll(scope.now)) {
            match effect {
                Effect::Take(workers) => self.take(&workers, scope),
                Effect::Step(step) => {
                    if let Step::Submit { job, .. } = &step {
                        submitted.push(*job);
                    }
                    self.step(step, scope);
                }
            }
        }
        self.cancel_late(&submitted, scope);
        self.divide_late(&submitted, scope);
    }

    /// Cancels jobs whose cancellation was kept while their recovery waited for a worker.
    fn cancel_late(&mut self, jobs: &[JobId], scope: &mut Scope<'_>) {
        for job in jobs {
            let held = self.journal.image().jobs.get(job);
            if held.is_some_and(|held| held.cancelled) {
                let effects = self.engine.cancel(*job, scope.now).unwrap_or_default();
                self.carry_out(effects, scope);
            }
        }
    }

    /// Asks workers for their inventories at the new epoch.
    fn take(&mut self, workers: &[WorkerId], scope: &Scope<'_>) {
        for worker in workers {
            if let Some(link) = self.links.get_mut(worker) {
                link.hurry(scope.now);
            }
        }
    }

    fn step(&mut self, step: Step, scope: &mut Scope<'_>) {
        let now = scope.now;
        let effects = match step {
            Step::Submit {
                job,
                spec,
                accepted,
            } => {
                self.engine.submit(job, spec.as_ref().clone(), accepted);
                Vec::new()
            }
            Step::Restore { task, state } => self.restore(task, state, scope),
            Step::Waiting { task, attempt } => self.wait_again(task, attempt, scope),
            Step::Recall {
                task,
                attempt,
                worker,
            } => self.engine.recall(task, attempt, worker, now),
            Step::Release {
                task,
                attempt,
                worker,
            } => self
                .engine
                .not_run(task, attempt, worker, Cause::Absent, now),
            Step::Adopt { worker, running } => return self.adopt(worker, &running, scope),
            Step::Ended {
                task,
                attempt,
                worker,
                end,
                age,
            } => {
                let ended = Ended {
                    task,
                    attempt,
                    end,
                    age,
                };
                return self.take_ended(worker, &ended, scope);
            }
            Step::Unknown {
                task,
                attempt,
                worker,
            } => {
                let record = Record::Unknown {
                    task,
                    attempt,
                    worker,
                };
                self.keep(record, now);
                let end = engine::End::Lapsed;
                self.engine
                    .adopt_ended(task, attempt, worker, end, Duration::ZERO, now)
            }
            Step::Cancel { job } => self.engine.cancel(job, now).unwrap_or_default(),
            Step::WorkerGone { worker } => {
                if let Some(link) = self.links.get_mut(&worker) {
                    link.lost = true;
                }
                let mut effects = self.engine.set_condition(worker, Condition::Lost, now);
                effects.extend(self.engine.worker_lost(worker, now));
                effects
            }
            Step::WorkerOpen { worker } => self.open(worker, scope),
            Step::Ready => {
                self.report.ready = true;
                self.note("ready", scope);
                Vec::new()
            }
            Step::Settled => {
                self.note("settled", scope);
                Vec::new()
            }
        };
        self.carry_out(effects, scope);
    }

    fn open(&mut self, worker: WorkerId, scope: &mut Scope<'_>) -> Vec<engine::Effect> {
        let state = "open";
        scope.out.note(Note::Worker { worker, state });
        let condition = self.wanted_condition(worker);
        self.engine.set_condition(worker, condition, scope.now)
    }

    /// Brings the engine to what the record says of a task that no worker can hold.
    fn restore(
        &mut self,
        task: TaskId,
        state: TaskState,
        scope: &mut Scope<'_>,
    ) -> Vec<engine::Effect> {
        match state {
            TaskState::Starting { attempt, .. } | TaskState::NotStarted { attempt } => {
                self.wait_again(task, attempt, scope)
            }
            TaskState::Ended {
                attempt,
                worker,
                end,
            } => self.restore_end((task, attempt), worker, engine_end(end), scope),
            TaskState::Unknown { attempt, worker } => {
                self.restore_end((task, attempt), worker, engine::End::Lapsed, scope)
            }
        }
    }

    fn restore_end(
        &mut self,
        key: Key,
        worker: WorkerId,
        end: engine::End,
        scope: &mut Scope<'_>,
    ) -> Vec<engine::Effect> {
        let (task, attempt) = key;
        self.engine
            .adopt_ended(task, attempt, worker, end, Duration::ZERO, scope.now)
    }

    /// Lets a task be started again, with a higher attempt than the one on record.
    fn wait_again(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        scope: &mut Scope<'_>,
    ) -> Vec<engine::Effect> {
        let worker = WorkerId::default();
        let mut effects = self.engine.recall(task, attempt, worker, scope.now);
        let cause = Cause::Absent;
        effects.extend(self.engine.not_run(task, attempt, worker, cause, scope.now));
        effects
    }

    /// Takes over a task that a worker runs.
    fn adopt(
        &mut self,
        worker: WorkerId,
        running: &fulmarpier_coordination::platform::worker::Running,
        scope: &mut Scope<'_>,
    ) {
        let key = (running.task, running.attempt);
        self.watch(key, worker, running.age, scope.now);
        if let Some(link) = self.links.get_mut(&worker) {
            // An earlier owner may have renewed it long ago.
            link.hurry(scope.now);
        }
        let adopted = self.engine.adopt(
            running.task,
            running.attempt,
            worker,
            running.size,
            running.age,
            scope.now,
        );
        match adopted {
            Ok(effects) => self.carry_out(effects, scope),
            Err(fault) => {
                let (attempt, at) = fault.stop;
                self.stop_second((running.task, attempt), at);
                scope.out.note(Note::Twice { fault });
            }
        }
        if let Some((service, target, slots)) = self.target(running) {
            scope
                .credits
                .adopt(service, target, self.epoch, slots, scope.now);
        }
        self.keep_adopted(key, worker, scope);
    }

    fn stop_second(&mut self, key: Key, worker: WorkerId) {
        if let Some(link) = self.links.get_mut(&worker) {
            link.act(key, fulmarpier_coordination::platform::worker::Act::Stop);
        }
    }

    /// Puts an adopted start on record, in case the earlier owner did not.
    fn keep_adopted(&mut self, key: Key, worker: WorkerId, scope: &mut Scope<'_>) {
        let (task, attempt) = key;
        let record = Record::Starting {
            task,
            attempt,
            worker,
        };
        self.keep(record, scope.now);
    }
}
