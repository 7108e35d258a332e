//! Short tasks on capacity that is held for another job.

use super::core::Engine;
use crate::{
    clock::Timestamp,
    id::WorkerId,
    queue::Entry,
    resource::Resources, //
};

/// How many waiting jobs a pass looks at.
const DEPTH: usize = 64;
/// About how many pieces of held capacity a pass looks at.
const LENDERS: usize = 64;

/// Held capacity that can be lent until a time.
struct Lender {
    reservation: u64,
    worker: WorkerId,
    held: Resources,
    until: Timestamp,
}

impl Engine {
    /// Lets short tasks use what reservations hold and can't use yet.
    pub(super) fn backfill(&mut self, end: u64, now: Timestamp) {
        if !self.policy.backfill || self.reservations.is_empty() {
            return;
        }
        let mut lenders = self.lenders();
        if lenders.is_empty() {
            return;
        }
        for entry in self.queue.sample(DEPTH) {
            while self.counters.starts < end && self.backfill_one(&entry, &mut lenders, now) {}
        }
    }

    /// Returns what can be lent, up to a bound.
    fn lenders(&self) -> Vec<Lender> {
        let mut lenders = Vec::new();
        let kept = self.reservations.iter().filter(|(_, r)| !r.evicts);
        for (id, reservation) in kept {
            let parts = reservation.parts.iter().filter(|p| !p.held.is_zero());
            lenders.extend(parts.map(|part| Lender {
                reservation: *id,
                worker: part.worker,
                held: part.held,
                until: reservation.until,
            }));
            if lenders.len() >= LENDERS {
                break;
            }
        }
        lenders
    }

    /// Starts one task of a job on held capacity; returns whether it did.
    fn backfill_one(&mut self, entry: &Entry, lenders: &mut [Lender], now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&entry.job) else {
            return false;
        };
        let movable = job.spec.idempotent && !job.is_gang() && !job.is_service();
        if !movable || job.ready() == 0 || !self.ledger.admits(entry.team, entry.size) {
            return false;
        }
        let runtime = self.estimator.runtime(&job.key, job.spec.runtime);
        let until = now + runtime.p90;
        let mut fitting = lenders.iter_mut();
        let lender = fitting.find(|l| entry.size.fits(&l.held) && until <= l.until);
        let Some(lender) = lender else {
            return false;
        };
        lender.held = lender.held.checked_sub(entry.size).unwrap_or_default();
        let (id, worker) = (lender.reservation, lender.worker);
        self.lend(id, worker, entry.size);
        self.begin(entry.job, worker, Some(id), now);
        self.counters.backfills += 1;
        self.dequeue_if_idle(entry.job);
        true
    }

    /// Takes a size off what a reservation holds; it stays reserved in the index for the task.
    fn lend(&mut self, id: u64, worker: WorkerId, size: Resources) {
        self.complete.remove(&id);
        let Some(reservation) = self.reservations.get_mut(&id) else {
            return;
        };
        let parts = &mut reservation.parts;
        if let Some(part) = parts.iter_mut().find(|part| part.worker == worker) {
            part.held = part.held.checked_sub(size).unwrap_or(part.held);
        }
    }
}
