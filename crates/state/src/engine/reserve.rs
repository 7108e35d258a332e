//! Capacity that is held for one job until all of it is free.
//!
//! A reservation names workers and what it needs of each. Whatever becomes free there goes to the
//! reservation first, so nothing placed later can push it back. Until it is complete, short tasks
//! may borrow what it holds; those that have not ended by its time are stopped.

use super::{
    core::Engine,
    effect::Act,
    task::Halt,
    timer::Timer, //
};
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        TaskId,
        WorkerId, //
    },
    job::Priority,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

/// How often a reservation may be late before it is planned again elsewhere.
const MOST_SLIPS: u32 = 6;

/// What a reservation needs of one worker.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub(super) worker: WorkerId,
    /// How many tasks will start there.
    pub(super) tasks: u32,
    pub(super) need: Resources,
    pub(super) held: Resources,
    /// What was held before a search that looks at all room, and zero between searches.
    pub(super) aside: Resources,
}

impl Part {
    fn is_full(&self) -> bool {
        self.held == self.need
    }
}

/// Capacity that is gathered for one job.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) job: JobId,
    pub(super) class: Priority,
    /// The size of one task.
    pub(super) size: Resources,
    pub(super) parts: Vec<Part>,
    /// When it should be complete.
    pub(super) until: Timestamp,
    /// Whether running tasks were told to stop for it.
    pub(super) evicts: bool,
    /// How often it was not complete by its time.
    pub(super) slips: u32,
}

impl Reservation {
    /// Returns how many tasks it is for.
    pub(super) fn tasks(&self) -> u32 {
        self.parts.iter().map(|part| part.tasks).sum()
    }

    /// Returns its place in the counts of reservations; those that evict are not counted.
    fn kind(&self) -> Option<usize> {
        (!self.evicts).then(|| usize::from(self.tasks() > 1))
    }

    fn is_complete(&self) -> bool {
        self.parts.iter().all(Part::is_full)
    }
}

impl Engine {
    /// Puts a reservation into force and gives it what is free already.
    pub(super) fn add_reservation(&mut self, reservation: Reservation) {
        self.serial += 1;
        let id = self.serial;
        let job = reservation.job;
        let workers: Vec<WorkerId> = reservation.parts.iter().map(|p| p.worker).collect();
        self.set_timer(reservation.until, Timer::Reservation(id));
        if let Some(job) = self.jobs.get_mut(&job) {
            job.claimed += reservation.tasks();
        }
        self.dequeue_if_idle(job);
        if let Some(kind) = reservation.kind() {
            self.kept[kind] += 1;
        }
        self.reservations.insert(id, reservation);
        self.counters.reservations += 1;
        for worker in &workers {
            if let Some(host) = self.hosts.get_mut(worker) {
                host.reservations.insert(id);
            }
        }
        for worker in workers {
            self.fill_reservations_on(worker);
        }
    }

    /// Gives what is free on a worker to the reservations there, the oldest first.
    pub(super) fn fill_reservations_on(&mut self, worker: WorkerId) {
        let Some(host) = self.hosts.get(&worker) else {
            return;
        };
        if host.reservations.is_empty() {
            return;
        }
        let ids: Vec<u64> = host.reservations.iter().copied().collect();
        for id in ids {
            let Some(free) = self.index.free(worker) else {
                return;
            };
            let Some(reservation) = self.reservations.get_mut(&id) else {
                continue;
            };
            let parts = &mut reservation.parts;
            let Some(part) = parts.iter_mut().find(|part| part.worker == worker) else {
                continue;
            };
            let missing = saturating_sub(part.need, part.held);
            let take = least(missing, free);
            if !take.is_zero() && self.index.reserve(worker, take).is_ok() {
                part.held = part.held.checked_add(take).unwrap_or(part.held);
            }
            if reservation.is_complete() {
                self.complete.insert(id);
            }
        }
    }

    /// Starts the jobs whose reservations are complete.
    pub(super) fn start_complete(&mut self, now: Timestamp) {
        while let Some(id) = self.complete.pop_first() {
            let Some(reservation) = self.reservations.get(&id) else {
                continue;
            };
            if !reservation.is_complete() {
                continue;
            }
            let (job, size) = (reservation.job, reservation.size);
            let admitted = self.admits(job, size, reservation.tasks());
            if admitted {
                self.start_reserved(id, now);
            } else {
                self.drop_reservation(id, now);
            }
        }
    }

    fn start_reserved(&mut self, id: u64, now: Timestamp) {
        let Some(reservation) = self.unlist(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&reservation.job) {
            job.claimed = job.claimed.saturating_sub(reservation.tasks());
        }
        for part in &reservation.parts {
            for _ in 0..part.tasks {
                // The whole size is held in the index and passes to the task.
                self.begin(reservation.job, part.worker, None, now);
            }
        }
        self.enqueue(reservation.job, now);
        self.dequeue_if_idle(reservation.job);
    }

    /// Gives a reservation up; its job waits in the queue again.
    pub(super) fn drop_reservation(&mut self, id: u64, now: Timestamp) {
        let Some(reservation) = self.unlist(id) else {
            return;
        };
        self.counters.replans += 1;
        if let Some(job) = self.jobs.get_mut(&reservation.job) {
            job.claimed = job.claimed.saturating_sub(reservation.tasks());
        }
        for part in &reservation.parts {
            if !part.held.is_zero() {
                // What a part holds is reserved in the index.
                let _ = self.index.release(part.worker, part.held);
            }
        }
        for part in &reservation.parts {
            self.freed(part.worker);
        }
        self.enqueue(reservation.job, now);
    }

    /// Takes a reservation off all lists.
    fn unlist(&mut self, id: u64) -> Option<Reservation> {
        let reservation = self.reservations.remove(&id)?;
        self.complete.remove(&id);
        if let Some(kind) = reservation.kind() {
            self.kept[kind] -= 1;
        }
        self.timers
            .remove(&(reservation.until, Timer::Reservation(id)));
        for part in &reservation.parts {
            if let Some(host) = self.hosts.get_mut(&part.worker) {
                host.reservations.remove(&id);
            }
        }
        Some(reservation)
    }

    pub(super) fn drop_reservations_of(&mut self, job: JobId, now: Timestamp) {
        let of_job = |(id, r): (&u64, &Reservation)| (r.job == job).then_some(*id);
        let ids: Vec<u64> = self.reservations.iter().filter_map(of_job).collect();
        for id in ids {
            self.drop_reservation(id, now);
        }
    }

    pub(super) fn drop_reservations_on(&mut self, worker: WorkerId, now: Timestamp) {
        let host = self.hosts.get(&worker);
        let ids = host.map(|host| host.reservations.clone());
        for id in ids.unwrap_or_default() {
            self.drop_reservation(id, now);
        }
    }

    /// The time of a reservation has come: stops what borrows from it, or plans it again.
    pub(super) fn reservation_due(&mut self, id: u64, now: Timestamp) {
        for task in self.borrowers(id) {
            self.preempt(task, now);
        }
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        if reservation.slips >= MOST_SLIPS {
            self.drop_reservation(id, now);
            return;
        }
        // What it holds it keeps, so that an overrun delays it and nobody overtakes it.
        reservation.slips += 1;
        let until = now + self.policy.grace.get() * (1 << reservation.slips);
        reservation.until = until;
        self.set_timer(until, Timer::Reservation(id));
    }

    /// Returns the running tasks that use capacity of a reservation.
    fn borrowers(&self, id: u64) -> Vec<TaskId> {
        let Some(reservation) = self.reservations.get(&id) else {
            return Vec::new();
        };
        let workers = reservation.parts.iter().map(|part| part.worker);
        let tasks = workers.flat_map(|worker| self.tasks_on(worker));
        let borrows = |task: &TaskId| {
            let task = self.task(*task);
            task.is_some_and(|task| task.borrowed == Some(id) && task.halt.is_none())
        };
        tasks.filter(borrows).collect()
    }

    /// Tells a task to make room: to save its work where it can, else to stop.
    pub(super) fn preempt(&mut self, id: TaskId, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let act = match job.spec.checkpoint {
            true => Act::Checkpoint,
            false => Act::Stop,
        };
        let Some(attempt) = self.task(id).map(|task| task.attempt) else {
            return;
        };
        self.counters.preemptions += 1;
        self.halt(id, Halt::Preempted, act);
        let at = now + self.policy.grace.get();
        self.set_timer(at, Timer::Overstay(id, attempt));
    }
}

/// Subtracts resource by resource, down to zero.
pub(super) const fn saturating_sub(from: Resources, amount: Resources) -> Resources {
    Resources::new(
        Millicores(from.cpu.0.saturating_sub(amount.cpu.0)),
        Bytes(from.memory.0.saturating_sub(amount.memory.0)),
        from.accelerators.saturating_sub(amount.accelerators),
    )
}

/// Returns the lesser amount of each resource.
fn least(one: Resources, other: Resources) -> Resources {
    Resources::new(
        one.cpu.min(other.cpu),
        one.memory.min(other.memory),
        one.accelerators.min(other.accelerators),
    )
}
