//! The start of a task.

use std::cmp::Reverse;

use super::{
    core::Engine,
    effect::Effect,
    job::Job,
    task::{
        Loss,
        Phase,
        Task, //
    },
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::{
        Kind,
        Priority, //
    },
};

/// A task that was started this often is not preempted any more, so that it comes to its end.
const MOST_PREEMPTED: Attempt = Attempt(4);

impl Engine {
    /// Decides the start of a job's next task on a worker where its size is reserved already.
    pub(super) fn begin(
        &mut self,
        id: JobId,
        worker: WorkerId,
        borrowed: Option<u64>,
        now: Timestamp,
    ) -> Option<TaskId> {
        let (index, attempt) = self.jobs.get_mut(&id)?.take()?;
        let task = TaskId::new(id, index);
        let size = self.jobs.get(&id)?.spec.size;
        self.place(task, attempt, worker, Phase::Starting, now);
        if let Some(task) = self.task_mut(task) {
            task.borrowed = borrowed;
            task.reserved = true;
        }
        self.counters.starts += 1;
        self.pace.note(now);
        self.outbox.push(Effect::Start {
            task,
            attempt,
            worker,
            size,
        });
        Some(task)
    }

    /// Puts a started task on record and books it on its team; the index is left as it is.
    pub(super) fn place(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        phase: Phase,
        begun: Timestamp,
    ) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let estimate = self.estimator.runtime(&job.key, job.spec.runtime);
        let end = match job.is_service() {
            true => Timestamp::MAX,
            false => begun + estimate.p90,
        };
        let size = job.spec.size;
        let slot = job.slot;
        let task = Task {
            attempt,
            worker,
            size,
            phase,
            begun,
            end,
            loss: None,
            borrowed: None,
            shown: false,
            halt: None,
            reserved: false,
        };
        if let Some(spec) = self.index.spec(worker) {
            job.presence.add(spec);
        }
        job.active.insert(id.index, task);
        // A start can be on record before its worker is; then there is nothing to note.
        let _ = self.index.set_busy_until(worker, end);
        self.listing.entry(worker).or_default().insert(id);
        if end < Timestamp::MAX {
            self.ends.insert((end, id));
        }
        self.ledger.charge(slot, size);
        self.queue.reprice(slot, self.ledger.share(slot), false);
    }

    /// Makes a running task one that may be preempted, if it is.
    pub(super) fn note_victim(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(loss) = loss(job, id.index) else {
            return;
        };
        if let Some(task) = job.active.get_mut(&id.index) {
            task.loss = Some(loss);
            self.victims.insert((loss, id));
        }
    }

    /// Keeps a task from being preempted.
    pub(super) fn forget_victim(&mut self, id: TaskId) {
        let Some(task) = self.task_mut(id) else {
            return;
        };
        if let Some(loss) = task.loss.take() {
            self.victims.remove(&(loss, id));
        }
    }
}

/// Returns what stopping a task would lose, or `None` where it may not be stopped.
fn loss(job: &Job, index: u32) -> Option<Loss> {
    let task = job.active.get(&index)?;
    let spec = &job.spec;
    let movable = spec.kind == Kind::Batch && spec.idempotent;
    let lower = spec.priority < Priority::Urgent;
    let running = task.phase == Phase::Running && task.halt.is_none();
    let spared = task.attempt >= MOST_PREEMPTED;
    if !movable || !lower || !running || spared {
        return None;
    }
    Some((!spec.checkpoint, spec.priority, Reverse(task.begun)))
}
