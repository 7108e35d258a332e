//! The invariants, checked against the whole state.

use super::{
    core::Engine,
    job::{
        Job,
        Stage, //
    },
    requeue::is_whole,
};
use crate::{
    alias::HashMap,
    id::{
        JobId,
        TaskId,
        WorkerId, //
    },
    name::Team,
    quota::Slot,
    resource::Resources,
};

/// An invariant that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// What is reserved on a worker is not what its tasks, reservations and holds take.
    #[error("{worker} offers {capacity}, has {free} free and holds {taken}")]
    Capacity {
        /// The worker.
        worker: WorkerId,
        /// What it offers.
        capacity: Resources,
        /// What the index has left.
        free: Resources,
        /// What is taken by the record.
        taken: Resources,
    },
    /// A sum of sizes is too large to be true.
    #[error("the sizes on {worker} overflow")]
    Overflow {
        /// The worker.
        worker: WorkerId,
    },
    /// A task is in two places, or in none.
    #[error("{task} is in {places} places")]
    Place {
        /// The task.
        task: TaskId,
        /// How many places list it.
        places: usize,
    },
    /// The tasks of a job do not add up.
    #[error("job {job} has {size} tasks and accounts for {sum}")]
    Sum {
        /// The job.
        job: JobId,
        /// How many tasks it has.
        size: u32,
        /// How many it accounts for.
        sum: u32,
    },
    /// A task is listed on another worker than its own.
    #[error("{task} is not listed on {worker}")]
    Listing {
        /// The task.
        task: TaskId,
        /// Its worker.
        worker: WorkerId,
    },
    /// What a team is charged is not what its tasks hold.
    #[error("team `{team}` is charged {charged}, its tasks hold {held}")]
    Quota {
        /// The team.
        team: Team,
        /// What the ledger says.
        charged: Resources,
        /// What its tasks hold.
        held: Resources,
    },
    /// A job that could start is in no queue, or one that could not is.
    #[error("job {job} could start {ready} tasks; queued: {queued}")]
    Queue {
        /// The job.
        job: JobId,
        /// How many of its tasks could start.
        ready: u32,
        /// Whether it is queued.
        queued: bool,
    },
}

impl Engine {
    /// Checks all invariants; costs time linear in the whole state.
    ///
    /// # Errors
    ///
    /// The first [`Violation`] that is found.
    pub fn audit(&self) -> Result<(), Violation> {
        self.audit_workers()?;
        self.audit_teams()?;
        for (id, job) in &self.jobs {
            self.audit_job(*id, job)?;
        }
        Ok(())
    }

    fn audit_workers(&self) -> Result<(), Violation> {
        let mut taken: HashMap<WorkerId, Resources> = HashMap::default();
        for (worker, size) in self.takers() {
            let sum = taken.entry(worker).or_default();
            *sum = sum
                .checked_add(size)
                .ok_or(Violation::Overflow { worker })?;
        }
        for worker in self.hosts.keys().copied() {
            let capacity = self.index.capacity(worker).unwrap_or_default();
            let free = self.index.free(worker).unwrap_or_default();
            let taken = taken.get(&worker).copied().unwrap_or_default();
            if taken.checked_add(free) != Some(capacity) {
                return Err(Violation::Capacity {
                    worker,
                    capacity,
                    free,
                    taken,
                });
            }
        }
        Ok(())
    }

    /// Returns all that is reserved, piece by piece.
    fn takers(&self) -> impl Iterator<Item = (WorkerId, Resources)> + '_ {
        let tasks = self.jobs.values().flat_map(|job| job.active.values());
        let tasks = tasks.filter(|task| task.reserved);
        let tasks = tasks.map(|task| (task.worker, task.size));
        let ghosts = self.ghosts.values().filter(|ghost| ghost.reserved);
        let ghosts = ghosts.map(|ghost| (ghost.worker, ghost.size));
        let parts = self.reservations.values().flat_map(|r| r.parts.iter());
        let parts = parts.map(|part| (part.worker, part.held));
        tasks.chain(ghosts).chain(parts).chain(self.held())
    }

    fn audit_teams(&self) -> Result<(), Violation> {
        let mut held: HashMap<Slot, Resources> = HashMap::default();
        for job in self.jobs.values() {
            for task in job.active.values() {
                let sum = held.entry(job.slot).or_default();
                *sum = sum.checked_add(task.size).unwrap_or(*sum);
            }
        }
        for (slot, account) in self.ledger.accounts() {
            let held = held.get(&slot).copied().unwrap_or_default();
            if held != account.used {
                return Err(Violation::Quota {
                    team: account.team.clone(),
                    charged: account.used,
                    held,
                });
            }
        }
        Ok(())
    }

    fn audit_job(&self, id: JobId, job: &Job) -> Result<(), Violation> {
        let active = u32::try_from(job.active.len()).unwrap_or(u32::MAX);
        let sum = job.counts.total() + active + job.waiting();
        if sum != job.size {
            let size = job.size;
            return Err(Violation::Sum { job: id, size, sum });
        }
        let again = job.again.iter().map(|(index, _)| *index);
        for index in again.chain(job.active.keys().copied()) {
            self.audit_place(TaskId::new(id, index), job)?;
        }
        for (index, task) in &job.active {
            let task_id = TaskId::new(id, *index);
            if !self.tasks_on(task.worker).any(|listed| listed == task_id) {
                let worker = task.worker;
                return Err(Violation::Listing {
                    task: task_id,
                    worker,
                });
            }
        }
        self.audit_queued(id, job)
    }

    fn audit_place(&self, task: TaskId, job: &Job) -> Result<(), Violation> {
        let index = task.index;
        let again = job.again.iter().filter(|(i, _)| *i == index).count();
        let active = usize::from(job.active.contains_key(&index));
        let delayed = usize::from(job.delayed.contains_key(&index));
        let fresh = usize::from(index >= job.next);
        let places = again + active + delayed + fresh;
        if places != 1 {
            return Err(Violation::Place { task, places });
        }
        Ok(())
    }

    fn audit_queued(&self, id: JobId, job: &Job) -> Result<(), Violation> {
        let queued = self.queue.get(id).is_some() || self.unplaceable.contains(&id);
        let ready = job.ready();
        let expected = ready > 0 && is_whole(job) && job.stage == Stage::Open;
        if queued != expected {
            return Err(Violation::Queue {
                job: id,
                ready,
                queued,
            });
        }
        Ok(())
    }
}
