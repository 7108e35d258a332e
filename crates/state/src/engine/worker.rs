//! Workers that come, change and go.

use super::{
    core::Engine,
    effect::Effect,
    host::Host, //
};
use crate::{
    clock::Timestamp,
    id::{
        TaskId,
        WorkerId, //
    },
    resource::Resources,
    worker::{
        Condition,
        Spec, //
    },
};

impl Engine {
    /// Adds a worker, or takes note of its new capacity or place.
    ///
    /// Starts that a snapshot placed on the worker get their capacity reserved.
    pub fn upsert_worker(&mut self, spec: Spec, now: Timestamp) -> Vec<Effect> {
        let worker = spec.id;
        if self
            .hosts
            .get(&worker)
            .is_some_and(|host| host.spec == spec)
        {
            return self.drain();
        }
        let condition = self.hosts.get(&worker).map(|host| host.condition);
        if condition.is_some() {
            self.detach(worker, now);
        }
        self.attach(spec, condition.unwrap_or_default());
        self.wake_unplaceable(now);
        self.freed(worker);
        self.drain()
    }

    /// Sets what a worker may be used for.
    ///
    /// Other than [`Condition::Open`] means that nothing new goes there; what runs there goes on.
    pub fn set_condition(
        &mut self,
        worker: WorkerId,
        condition: Condition,
        now: Timestamp,
    ) -> Vec<Effect> {
        let Some(host) = self.hosts.get_mut(&worker) else {
            return self.drain();
        };
        let before = std::mem::replace(&mut host.condition, condition);
        if condition == Condition::Quarantined && before != condition {
            self.book.quarantine(worker, now);
        }
        if before == Condition::Quarantined && condition == Condition::Open {
            self.book.release(worker);
        }
        self.reopen(worker);
        if self.index.is_open(worker) {
            self.freed(worker);
        } else {
            self.drop_reservations_on(worker, now);
        }
        self.drain()
    }

    /// Removes a worker that is gone for good; its tasks' leases must have lapsed.
    ///
    /// See also [`Self::worker_lost`], which this does first.
    pub fn remove_worker(&mut self, worker: WorkerId, now: Timestamp) -> Vec<Effect> {
        self.lose_tasks_of(worker, now);
        self.detach(worker, now);
        self.hosts.remove(&worker);
        self.book.forget_worker(worker);
        self.drain()
    }

    /// Returns the workers in order of their ids, with their condition.
    pub fn workers(&self) -> impl Iterator<Item = (&Spec, Condition)> {
        self.hosts.values().map(|host| (&host.spec, host.condition))
    }

    /// Returns what a worker has left.
    pub fn free(&self, worker: WorkerId) -> Option<Resources> {
        self.index.free(worker)
    }

    /// Returns the tasks that hold capacity of a worker.
    pub fn tasks_on(&self, worker: WorkerId) -> impl Iterator<Item = TaskId> + '_ {
        let tasks = self.listing.get(&worker);
        tasks.into_iter().flat_map(|tasks| tasks.iter().copied())
    }

    /// Opens or closes a worker in the index by all that is known of it.
    pub(super) fn reopen(&mut self, worker: WorkerId) {
        let Some(host) = self.hosts.get(&worker) else {
            return;
        };
        let trusted = !self.book.is_quarantined(worker);
        let open = host.condition.is_open() && !host.overfull && trusted;
        // The index knows every worker that has a host.
        let _ = self.index.set_open(worker, open);
    }

    /// Puts a worker into the index with all that runs on it.
    fn attach(&mut self, spec: Spec, condition: Condition) {
        let worker = spec.id;
        if self.index.insert(spec).is_err() {
            return;
        }
        self.ledger.grow(spec.capacity);
        *self.shapes.entry(shape(&spec)).or_default() += 1;
        let mut host = Host::new(spec);
        host.condition = condition;
        self.hosts.insert(worker, host);
        self.reserve_running(worker);
        self.reopen(worker);
    }

    /// Takes a worker out of the index; its tasks stay on record without a reservation.
    fn detach(&mut self, worker: WorkerId, now: Timestamp) {
        self.drop_reservations_on(worker, now);
        self.drop_holds_on(worker);
        let Ok(spec) = self.index.remove(worker) else {
            return;
        };
        self.ledger.shrink(spec.capacity);
        if let Some(count) = self.shapes.get_mut(&shape(&spec)) {
            *count -= 1;
            if *count == 0 {
                self.shapes.remove(&shape(&spec));
            }
        }
        let tasks: Vec<TaskId> = self.tasks_on(worker).collect();
        for task in tasks {
            if let Some(task) = self.task_mut(task) {
                task.reserved = false;
            }
        }
        for ghost in self.ghosts.values_mut() {
            ghost.reserved &= ghost.worker != worker;
        }
    }

    /// Reserves the capacity of all that runs on a worker, as far as it goes.
    pub(super) fn reserve_running(&mut self, worker: WorkerId) {
        let tasks: Vec<TaskId> = self.tasks_on(worker).collect();
        let mut overfull = false;
        for id in tasks {
            let Some(task) = self.task(id) else {
                continue;
            };
            if task.reserved {
                continue;
            }
            let reserved = self.index.reserve(worker, task.size).is_ok();
            overfull |= !reserved;
            if let Some(task) = self.task_mut(id) {
                task.reserved = reserved;
            }
        }
        let ghosts = self.ghosts.values_mut();
        for ghost in ghosts.filter(|ghost| ghost.worker == worker && !ghost.reserved) {
            ghost.reserved = self.index.reserve(worker, ghost.size).is_ok();
            overfull |= !ghost.reserved;
        }
        if let Some(host) = self.hosts.get_mut(&worker) {
            host.overfull = overfull;
        }
    }

    /// Puts jobs back into the queue that fit no worker until now.
    fn wake_unplaceable(&mut self, now: Timestamp) {
        let jobs = std::mem::take(&mut self.unplaceable);
        for job in jobs {
            self.enqueue(job, now);
        }
    }
}

const fn shape(spec: &Spec) -> (u32, u64, u16) {
    let capacity = &spec.capacity;
    (capacity.cpu.0, capacity.memory.0, capacity.accelerators)
}
