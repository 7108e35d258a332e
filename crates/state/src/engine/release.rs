//! Capacity that becomes free.

use super::{
    core::Engine,
    task::Task, //
};
use crate::id::{
    TaskId,
    WorkerId, //
};

impl Engine {
    /// Takes a task off its worker, on evidence that it holds nothing there any more.
    pub(super) fn vacate(&mut self, id: TaskId) -> Option<Task> {
        self.forget_victim(id);
        let job = self.jobs.get_mut(&id.job)?;
        let task = job.active.remove(&id.index)?;
        if let Some(spec) = self.index.spec(task.worker) {
            job.presence.remove(spec);
        }
        let slot = job.slot;
        self.ends.remove(&(task.end, id));
        self.ledger.credit(slot, task.size);
        self.queue.reprice(slot, self.ledger.share(slot), true);
        if let Some(tasks) = self.listing.get_mut(&task.worker) {
            tasks.remove(&id);
            if tasks.is_empty() {
                self.listing.remove(&task.worker);
            }
        }
        if task.reserved {
            // The reservation was made when the task was placed, so the index knows it.
            let _ = self.index.release(task.worker, task.size);
        }
        self.freed(task.worker);
        Some(task)
    }

    /// Gives what is free on a worker to its reservations, and the rest to the queue.
    pub(super) fn freed(&mut self, worker: WorkerId) {
        let Some(host) = self.hosts.get(&worker) else {
            return;
        };
        if host.overfull {
            self.reserve_running(worker);
            self.reopen(worker);
        }
        self.fill_reservations_on(worker);
        if !self.index.is_open(worker) {
            return;
        }
        if let Some(free) = self.index.free(worker) {
            self.queue.unpark(&free);
        }
    }
}
