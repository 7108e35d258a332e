//! Faults of workers: crashes, changes of capacity, and replacements.

use std::time::Duration;

use fulmarpier_cell::{
    event::HeartbeatAnswer,
    id::{
        JobId,
        StepId,
        TaskId,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
};
use rand::RngExt;

use super::{
    CRASH_DOWNTIME,
    CRASHED_LISTING_DURATION,
    Event,
    NETWORK_DELAY,
    World,
    worker::Worker, //
};

impl World {
    /// Crashes a worker; a new one starts in its slot later.
    pub(crate) fn take_down(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.remove(&id) {
            self.crash_worker(id, &worker);
        }
    }

    /// Chooses one task of a job to crash each worker that starts it.
    pub(super) fn choose_crashing_task(&mut self, job: JobId, spec: &Spec) {
        let step = self.rng.random_range(0..spec.steps.len());
        let index = self.rng.random_range(0..spec.steps[step].count);
        let step = StepId {
            job,
            occurrence: 0,
            step: u16::try_from(step).unwrap(),
        };
        self.crashing_task_ids.insert(step.task(index));
    }

    /// Crashes a worker because of a task that it has started; the worker restarts, or a new one starts in its slot
    /// later.
    pub(super) fn crash(&mut self, id: WorkerId, task: TaskId) {
        let Some(worker) = self.workers.remove(&id) else {
            return;
        };
        *self.crashed.entry(task).or_default() += 1;
        let others = worker.tasks().filter(|other| *other != task).count();
        self.tasks_lost_with.push((task, others));
        if let Some(restart) = self.crash_restart {
            return self.go_down_for_restart(id, &worker, restart);
        }
        if self.faults.restarts > 0 && self.chance(500) {
            let restart = self.random_restart();
            return self.go_down_for_restart(id, &worker, restart);
        }
        self.crash_worker(id, &worker);
    }

    fn crash_worker(&mut self, id: WorkerId, worker: &Worker) {
        self.count_crash_of_running_tasks(worker);
        self.break_connections(&id);
        self.down_until
            .insert(id.clone(), self.now + CRASH_DOWNTIME);
        self.schedule(CRASHED_LISTING_DURATION, Event::Unlisted(id));
        // The slot of a worker that leaves has its replacement already.
        if worker.leaves_at.is_none() {
            self.schedule(CRASH_DOWNTIME, Event::NewWorker(worker.slot));
        }
    }

    pub(super) fn step(&self, id: StepId) -> Option<&Step> {
        let mut jobs = self.accepted.iter();
        let job = jobs.find(|accepted| accepted.job == id.job)?;
        job.spec.steps.get(usize::from(id.step))
    }

    pub(super) fn is_long_running(&self, id: StepId) -> bool {
        self.step(id).is_some_and(|step| step.long_running)
    }

    /// Returns whether the members of a gang can never all run at once, since one of them crashes its workers.
    pub(super) fn can_never_assemble(&self, id: StepId) -> bool {
        let is_gang = self.step(id).is_some_and(|step| step.gang);
        is_gang && self.crashing_task_ids.iter().any(|task| task.step == id)
    }

    pub(super) fn count_crash_of_running_tasks(&mut self, worker: &Worker) {
        for task in worker.tasks() {
            *self.crashes_while_running.entry(task).or_default() += 1;
        }
    }

    /// Breaks the connections to a worker, which fails its heartbeats.
    pub(super) fn break_connections(&mut self, id: &WorkerId) {
        let in_flight = self.heartbeats.iter().filter(|(worker, _)| worker == id);
        for (id, sent_at) in in_flight.cloned().collect::<Vec<_>>() {
            self.schedule(
                NETWORK_DELAY,
                Event::HeartbeatAnswered(id, sent_at, HeartbeatAnswer::ConnectionLost),
            );
        }
    }

    /// Returns whether a worker has gone down and nothing answers at its address yet.
    pub(super) fn is_down(&self, id: &WorkerId) -> bool {
        self.down_until
            .get(id)
            .is_some_and(|until| *until > self.now)
    }

    /// Sets the capacity of all workers to a number of tasks.
    pub(crate) fn resize(&mut self, tasks: u32) {
        for worker in self.workers.values_mut() {
            worker.resize(tasks, self.now);
        }
    }

    /// Changes the capacity of some workers at random.
    pub(super) fn resize_workers(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            if self.chance(self.faults.capacity_changes) {
                let tasks = self.rng.random_range(1..=4);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.resize(tasks, self.now);
                }
            }
        }
    }

    /// Registers all workers, unless the list of workers is unavailable.
    pub(super) fn register_workers(&mut self) {
        if self.now < self.outage_end || self.is_list_unavailable {
            return;
        }
        for worker in self.workers.values() {
            if worker.overwritten_until.is_none() {
                self.engine.register(worker.entry(self.now), self.now);
            }
        }
    }

    /// Removes workers whose time to leave has come, and replaces others at random.
    pub(super) fn replace_workers(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let worker = &self.workers[&id];
            let (slot, leaves_at) = (worker.slot, worker.leaves_at);
            match leaves_at {
                Some(leaves_at) if leaves_at <= self.now => {
                    self.workers.remove(&id);
                    self.engine.unregister(&id, self.now);
                }
                Some(_) => {}
                None if self.chance(self.faults.replacements) => {
                    self.add_worker(slot);
                    let span = Duration::from_millis(self.rng.random_range(2_000..4_000));
                    let leaves_at = self.now + span;
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.announce_leaving(leaves_at);
                    }
                    self.register_slot(slot);
                }
                None => {}
            }
        }
    }

    /// Registers the workers in a slot.
    pub(super) fn register_slot(&mut self, slot: u32) {
        for worker in self.workers.values() {
            if worker.slot == slot && worker.overwritten_until.is_none() {
                self.engine.register(worker.entry(self.now), self.now);
            }
        }
    }
}
