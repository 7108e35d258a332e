//! What befalls workers: crashes under their tasks, rooms that shrink, and replacements.

use std::time::Duration;

use fulmarpier_cell::{
    event::HoldAnswer,
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
    AWAY,
    Event,
    LISTED,
    WAY,
    World,
    worker::Worker, //
};

impl World {
    /// Has a worker go down by itself; another incarnation is back after a while.
    pub(crate) fn go_down(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.remove(&id) {
            self.leave_place(id, &worker);
        }
    }

    /// Has one task of a job crash each worker that starts it.
    pub(super) fn make_crasher(&mut self, job: JobId, spec: &Spec) {
        let step = self.rng.random_range(0..spec.steps.len());
        let index = self.rng.random_range(0..spec.steps[step].count);
        let step = StepId {
            job,
            occurrence: 0,
            step: u16::try_from(step).unwrap(),
        };
        self.crashers.insert(step.task(index));
    }

    /// Has a task crash the worker that has started it; another incarnation is back after a while.
    pub(super) fn crash(&mut self, id: WorkerId, task: TaskId) {
        let Some(worker) = self.workers.remove(&id) else {
            return;
        };
        *self.crashed.entry(task).or_default() += 1;
        let others = worker.tasks().filter(|other| *other != task).count();
        self.taken_along.push((task, others));
        if let Some(restart) = self.crash_restart {
            return self.end_worker(id, &worker, restart);
        }
        if self.faults.restarts > 0 && self.chance(500) {
            let restart = self.draw_restart();
            return self.end_worker(id, &worker, restart);
        }
        self.leave_place(id, &worker);
    }

    fn leave_place(&mut self, id: WorkerId, worker: &Worker) {
        self.note_under(worker);
        self.break_calls(&id);
        self.down.insert(id.clone(), self.now + AWAY);
        self.later(LISTED, Event::Unlisted(id));
        // The place of one that leaves is taken already.
        if worker.leaves.is_none() {
            self.later(AWAY, Event::Back(worker.place));
        }
    }

    fn step(&self, id: StepId) -> Option<&Step> {
        let mut jobs = self.accepted.iter();
        let job = jobs.find(|accepted| accepted.job == id.job)?;
        job.spec.steps.get(usize::from(id.step))
    }

    pub(super) fn lasts(&self, id: StepId) -> bool {
        self.step(id).is_some_and(|step| step.lasting)
    }

    /// Returns whether the members of a gang can't ever be there together.
    pub(super) fn waits_in_vain(&self, id: StepId) -> bool {
        let is_gang = self.step(id).is_some_and(|step| step.gang);
        is_gang && self.crashers.iter().any(|task| task.step == id)
    }

    pub(super) fn note_under(&mut self, worker: &Worker) {
        for task in worker.tasks() {
            *self.under.entry(task).or_default() += 1;
        }
    }

    /// Breaks the connections to a worker.
    pub(super) fn break_calls(&mut self, id: &WorkerId) {
        let calls = self.calls.iter().filter(|(worker, _)| worker == id);
        for (id, asked) in calls.cloned().collect::<Vec<_>>() {
            self.later(WAY, Event::Held(id, asked, HoldAnswer::Broken));
        }
    }

    /// Returns whether nothing answers where a worker was that is gone.
    pub(super) fn is_down(&self, id: &WorkerId) -> bool {
        self.down.get(id).is_some_and(|until| *until > self.now)
    }

    /// Leaves all workers room for so many tasks.
    pub(crate) fn resize(&mut self, tasks: u32) {
        for worker in self.workers.values_mut() {
            worker.resize(tasks, self.now);
        }
    }

    /// Changes the room of some workers.
    pub(super) fn resize_workers(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            if self.chance(self.faults.shrinks) {
                let tasks = self.rng.random_range(1..=4);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.resize(tasks, self.now);
                }
            }
        }
    }

    /// Has all workers report themselves, as they do while the store is there.
    pub(super) fn report_workers(&mut self) {
        if self.now < self.store_back || self.is_list_away {
            return;
        }
        for worker in self.workers.values() {
            if worker.foreign_until.is_none() {
                self.engine.register(worker.entry(self.now), self.now);
            }
        }
    }

    /// Has workers that leave be gone, and others begin to leave.
    pub(super) fn release_workers(&mut self) {
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            let worker = &self.workers[&id];
            let (place, leaves) = (worker.place, worker.leaves);
            match leaves {
                Some(leaves) if leaves <= self.now => {
                    self.workers.remove(&id);
                    self.engine.unregister(&id, self.now);
                }
                Some(_) => {}
                None if self.chance(self.faults.releases) => {
                    self.add_worker(place);
                    let span = Duration::from_millis(self.rng.random_range(2_000..4_000));
                    let leaves = self.now + span;
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.leave(leaves);
                    }
                    self.tell_of(place);
                }
                None => {}
            }
        }
    }

    /// Has the workers at a place report themselves.
    pub(super) fn tell_of(&mut self, place: u32) {
        for worker in self.workers.values() {
            if worker.place == place && worker.foreign_until.is_none() {
                self.engine.register(worker.entry(self.now), self.now);
            }
        }
    }
}
