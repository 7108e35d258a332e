//! What inventories show after a takeover: reality wins over the record.

use std::time::Duration;

use super::{
    core::Engine,
    effect::{
        Act,
        Effect,
        End, //
    },
    job::Stage,
    task::{
        Phase,
        Task, //
    },
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        TaskId,
        WorkerId, //
    },
    resource::Resources,
};

/// A task was found running in two places; the older start has to be stopped at once.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{task} runs twice: attempt {} on {} is kept, attempt {} on {} must stop",
    kept.0, kept.1, stop.0, stop.1
)]
pub struct Twice {
    /// The task.
    pub task: TaskId,
    /// The newer start, which goes on.
    pub kept: (Attempt, WorkerId),
    /// The older start, which has to be stopped.
    pub stop: (Attempt, WorkerId),
}

/// A start that belongs to no task, with the capacity it uses until it has ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ghost {
    pub(super) worker: WorkerId,
    pub(super) size: Resources,
    /// Whether its size is reserved in the index.
    pub(super) reserved: bool,
}

impl Engine {
    /// Takes a start on record that an inventory shows to run.
    ///
    /// A start of a job that is not known or has ended is told to stop; what it uses stays
    /// reserved until it has ended.
    ///
    /// # Errors
    ///
    /// [`Twice`] where the task is known to run elsewhere, with the newer start chosen. The engine
    /// is in order then; the owner stops the older start and reports the fault.
    pub fn adopt(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        size: Resources,
        age: Duration,
        now: Timestamp,
    ) -> Result<Vec<Effect>, Twice> {
        if let Some(task) = self.task(id) {
            if task.is(attempt, worker) {
                return Ok(self.started(id, attempt, worker, now));
            }
            return self.adopt_second(id, attempt, worker, size, age, now);
        }
        if !self.wants(id) {
            self.add_ghost(id, attempt, worker, size);
            self.act(id, attempt, worker, Act::Stop);
            return Ok(self.drain());
        }
        self.adopt_new(id, attempt, worker, size, age, now);
        Ok(self.drain())
    }

    /// Takes an end on record that an inventory shows.
    pub fn adopt_ended(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        end: End,
        age: Duration,
        now: Timestamp,
    ) -> Vec<Effect> {
        if self.task(id).is_none() && self.wants(id) {
            let size = self.jobs.get(&id.job).map(|job| job.spec.size);
            let size = size.unwrap_or(Resources::ZERO);
            self.adopt_new(id, attempt, worker, size, age, now);
        }
        self.ended(id, attempt, worker, end, age, now)
    }

    /// Takes a start on record that the journal shows, without evidence that it runs.
    ///
    /// Its capacity is reserved and it is settled as one whose answer was lost.
    pub fn recall(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        now: Timestamp,
    ) -> Vec<Effect> {
        if self.task(id).is_none() && self.wants(id) {
            let size = self.jobs.get(&id.job).map(|job| job.spec.size);
            let size = size.unwrap_or(Resources::ZERO);
            self.adopt_new(id, attempt, worker, size, Duration::ZERO, now);
            if let Some(task) = self.task_mut(id) {
                task.phase = Phase::Suspect;
            }
            self.forget_victim(id);
        }
        self.drain()
    }

    /// Returns whether a task could be running by the record.
    fn wants(&self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let open = matches!(job.stage, Stage::Open | Stage::Held(_));
        open && id.index < job.size && !job.has_ended(id.index)
    }

    fn adopt_new(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        size: Resources,
        age: Duration,
        now: Timestamp,
    ) {
        self.drop_reservations_of(id.job, now);
        self.dequeue(id.job);
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        job.again.retain(|(index, _)| *index != id.index);
        job.delayed.remove(&id.index);
        // Tasks below this one that were never heard of are still to be started.
        while job.next <= id.index {
            if job.next < id.index {
                job.again.push((job.next, Attempt::default()));
            }
            job.next += 1;
        }
        let begun = now.saturating_sub(age);
        self.place(id, attempt, worker, Phase::Running, begun);
        if let Some(task) = self.task_mut(id) {
            // Whether its worker had shown it to a former owner isn't known.
            task.shown = true;
        }
        let reserved = self.index.reserve(worker, size).is_ok();
        self.resize(id, size, reserved);
        if !reserved && let Some(host) = self.hosts.get_mut(&worker) {
            host.overfull = true;
        }
        self.reopen(worker);
        self.note_victim(id);
        self.enqueue(id.job, now);
    }

    /// Sets what a task was really given.
    pub(super) fn resize(&mut self, id: TaskId, size: Resources, reserved: bool) {
        let slot = self.jobs.get(&id.job).map(|job| job.slot);
        let Some(task) = self.task_mut(id) else {
            return;
        };
        task.reserved = reserved;
        let before = std::mem::replace(&mut task.size, size);
        if let Some(slot) = slot.filter(|_| before != size) {
            self.ledger.credit(slot, before);
            self.ledger.charge(slot, size);
            self.queue.reprice(slot, self.ledger.share(slot), true);
        }
    }

    /// A task that is on record elsewhere was found: the newer start is kept.
    fn adopt_second(
        &mut self,
        id: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        size: Resources,
        age: Duration,
        now: Timestamp,
    ) -> Result<Vec<Effect>, Twice> {
        let Some(known) = self.task(id).cloned() else {
            return Ok(self.drain());
        };
        let found = (attempt, worker);
        let other = (known.attempt, known.worker);
        let (kept, stop) = match attempt > known.attempt {
            true => (found, other),
            false => (other, found),
        };
        if kept == found {
            self.turn_to_ghost(id, &known);
            self.adopt_new(id, attempt, worker, size, age, now);
        } else {
            self.add_ghost(id, attempt, worker, size);
        }
        let task = id;
        Err(Twice { task, kept, stop })
    }

    /// Takes a start off its task but keeps its capacity reserved until it has ended.
    fn turn_to_ghost(&mut self, id: TaskId, known: &Task) {
        self.vacate(id);
        if let Some(job) = self.jobs.get_mut(&id.job) {
            job.again.push((id.index, known.attempt));
        }
        self.add_ghost(id, known.attempt, known.worker, known.size);
    }

    /// Keeps the capacity of a start reserved that belongs to no task any more.
    fn add_ghost(&mut self, id: TaskId, attempt: Attempt, worker: WorkerId, size: Resources) {
        if self.ghosts.contains_key(&(id, attempt)) {
            return;
        }
        let reserved = self.index.reserve(worker, size).is_ok();
        let ghost = Ghost {
            worker,
            size,
            reserved,
        };
        self.ghosts.insert((id, attempt), ghost);
        if !reserved && let Some(host) = self.hosts.get_mut(&worker) {
            host.overfull = true;
        }
        self.reopen(worker);
    }

    /// Releases the capacity of a start that belongs to no task, now that it has ended.
    pub(super) fn drop_ghost(&mut self, id: TaskId, attempt: Attempt) {
        let Some(ghost) = self.ghosts.remove(&(id, attempt)) else {
            return;
        };
        if ghost.reserved {
            // It was reserved when the start was found.
            let _ = self.index.release(ghost.worker, ghost.size);
        }
        self.freed(ghost.worker);
    }

    /// Returns the starts on a worker that belong to no task.
    pub(super) fn ghosts_on(&self, worker: WorkerId) -> Vec<(TaskId, Attempt)> {
        let on = self
            .ghosts
            .iter()
            .filter(|(_, ghost)| ghost.worker == worker);
        on.map(|(id, _)| *id).collect()
    }
}
