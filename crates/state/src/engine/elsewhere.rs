//! Room that comes up elsewhere before a reservation is complete.

use super::core::Engine;
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        WorkerId, //
    },
    resource::Resources, //
};

/// How many reservations are compared with the room elsewhere in one pass.
const MOST_COMPARED: usize = 16;

impl Engine {
    /// Starts jobs with an incomplete reservation where there is room for them now.
    pub(super) fn start_elsewhere(&mut self, now: Timestamp) {
        let ids: Vec<u64> = self
            .reservations
            .keys()
            .copied()
            .take(MOST_COMPARED)
            .collect();
        for id in ids {
            self.try_elsewhere(id, now);
        }
    }

    fn try_elsewhere(&mut self, id: u64, now: Timestamp) {
        let Some(reservation) = self.reservations.get(&id) else {
            return;
        };
        let (job, size, tasks) = (reservation.job, reservation.size, reservation.tasks());
        if !self.admits(job, size, tasks) {
            return;
        }
        let found = match tasks {
            // What its own worker has free is held already, so only other workers count.
            1 => self.find_one(job, size, now),
            _ => self.find_all(id, job, size, tasks),
        };
        let Some(workers) = found else {
            return;
        };
        self.drop_reservation(id, now);
        for worker in workers {
            self.begin(job, worker, None, now);
        }
        self.dequeue_if_idle(job);
    }

    fn find_one(&mut self, job: JobId, size: Resources, now: Timestamp) -> Option<Vec<WorkerId>> {
        let workers = vec![self.find_worker(job, size, now)?];
        self.reserve_all(&workers, size).then_some(workers)
    }

    /// Reserves room for all tasks of a reservation, wherever it is.
    fn find_all(
        &mut self,
        id: u64,
        job: JobId,
        size: Resources,
        tasks: u32,
    ) -> Option<Vec<WorkerId>> {
        self.lay_down(id);
        let job = self.jobs.get(&job);
        let workers = job.and_then(|job| self.plan_now(job, tasks));
        let workers = workers.filter(|workers| self.reserve_all(workers, size));
        if workers.is_none() {
            self.take_up(id);
        }
        workers
    }

    /// Returns whether the team of a job may hold `tasks` more of a size.
    pub(super) fn admits(&self, job: JobId, size: Resources, tasks: u32) -> bool {
        let slot = self.jobs.get(&job).map(|job| job.slot);
        let total = size.checked_mul(tasks);
        match (slot, total) {
            (Some(slot), Some(total)) => self.ledger.admits(slot, total),
            _ => false,
        }
    }

    /// Gives back what a reservation holds, for the time of one search.
    fn lay_down(&mut self, id: u64) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        for part in &mut reservation.parts {
            // What a part holds is reserved in the index.
            let _ = self.index.release(part.worker, part.held);
            part.aside = std::mem::take(&mut part.held);
        }
    }

    /// Takes back what [`Self::lay_down`] gave.
    fn take_up(&mut self, id: u64) {
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        for part in &mut reservation.parts {
            let aside = std::mem::take(&mut part.aside);
            if self.index.reserve(part.worker, aside).is_ok() {
                part.held = aside;
            }
        }
    }
}
