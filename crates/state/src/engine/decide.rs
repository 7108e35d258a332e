//! The decisions.

use std::time::Duration;

use super::{
    core::Engine,
    effect::Effect, //
};
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        WorkerId, //
    },
    job::{
        Priority,
        Spread, //
    },
    placement::Rule,
    queue::{
        Entry,
        Park, //
    },
    resource::Resources,
};

/// Classes of work in the order in which they are served.
const CLASSES: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Low];
/// One start in this many may go to the job that has waited beyond the starvation bound.
const TURNS: u64 = 8;
/// A gang gets its reservation after this part of the patience.
const GANG_PART: u32 = 8;
/// Against a team that floods the queue, capacity is held on up to this part of the workers, so
/// that its small tasks don't take every room before a larger task of another team fits.
const FAIR_PART: usize = 4;
/// The wait before a quarantined worker without a probe is looked at again.
const PROBE_AGAIN: Duration = Duration::from_secs(1);
/// A deadline presses when its job has to start within this time.
const PRESSING: Duration = Duration::from_secs(5);

impl Engine {
    /// Runs what is due and decides up to `limit` starts.
    ///
    /// Urgent work is decided at once; the rest is gathered over the window that the weights set.
    ///
    /// A call costs O(log n) in jobs and workers for each start, and one failed search for each
    /// size of task that waits and fits nowhere.
    pub fn decide(&mut self, now: Timestamp, limit: usize) -> Vec<Effect> {
        self.decided = now;
        self.run_timers(now);
        self.start_complete(now);
        self.start_elsewhere(now);
        let end = self.counters.starts.saturating_add(limit as u64);
        self.serve(Priority::Urgent, end, now);
        if now >= self.tick {
            self.serve_overdue(end, now);
            self.serve_pressing(end, now);
            self.serve(Priority::Normal, end, now);
            self.serve(Priority::Low, end, now);
            self.probe(now);
            self.backfill(end, now);
            self.tick = now + self.tuning.window;
        }
        self.start_complete(now);
        self.drain()
    }

    /// Returns when [`Self::decide`] is due next without any event, if ever.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let end = self.ends.first().map(|(at, _)| *at);
        let open = CLASSES.iter().any(|class| self.queue.is_open(*class));
        let tick = open.then_some(self.tick);
        // What a pass at its limit has left over needs no window.
        let at_once = self.queue.is_open(Priority::Urgent) || !self.complete.is_empty();
        let at_once = at_once.then_some(self.decided);
        // A probe that is due and finds no task to try is looked at again a little later.
        let probe = self.book.next_probe();
        let probe = probe.map(|at| at.max(self.decided + PROBE_AGAIN));
        [timer, end, tick, at_once, probe]
            .into_iter()
            .flatten()
            .min()
    }

    /// Places the jobs of one class in fair order until none fits.
    fn serve(&mut self, class: Priority, end: u64, now: Timestamp) {
        while self.counters.starts < end {
            let Some(entry) = self.queue.next(class).copied() else {
                return;
            };
            if self.has_expired(&entry, now) {
                continue;
            }
            self.attempt(&entry, now);
        }
    }

    /// Places jobs whose deadline presses ahead of the fair order.
    fn serve_pressing(&mut self, end: u64, now: Timestamp) {
        let until = now + PRESSING;
        while self.counters.starts < end {
            let Some(entry) = self.queue.pressing(until).copied() else {
                return;
            };
            if self.has_expired(&entry, now) {
                continue;
            }
            self.attempt(&entry, now);
        }
    }

    /// Places a job that has waited too long ahead of the fair order, now and then.
    fn serve_overdue(&mut self, end: u64, now: Timestamp) {
        let Some(entry) = self.queue.oldest().copied() else {
            return;
        };
        let waited = now.since(entry.arrival);
        let parked = self.queue.parked(&entry).is_some();
        if parked && self.deserves_reservation(&entry, now) {
            self.reserve_if_allowed(&entry, now);
        }
        let due = self.counters.starts >= self.in_turn + TURNS;
        if waited < self.policy.starvation.get() || !due || self.counters.starts >= end {
            return;
        }
        self.in_turn = self.counters.starts;
        if !self.queue.capped(&entry) && self.queue.get(entry.job).is_some() {
            self.attempt(&entry, now);
        }
    }

    /// Tries to start a job, or records why it waits.
    fn attempt(&mut self, entry: &Entry, now: Timestamp) {
        let Some(total) = self.wanted(entry) else {
            self.dequeue(entry.job);
            return;
        };
        if !self.ledger.admits(entry.team, total) {
            self.queue.cap(entry);
            return;
        }
        let started = match entry.gang {
            true => self.place_gang(entry, now),
            false => self.place_one(entry, now),
        };
        if !started {
            self.find_no_room(entry, now);
        }
    }

    /// Returns what the next start of a job takes in all.
    fn wanted(&self, entry: &Entry) -> Option<Resources> {
        let job = self.jobs.get(&entry.job)?;
        match (job.ready(), entry.gang) {
            (0, _) => None,
            (count, true) => entry.size.checked_mul(count),
            (_, false) => Some(entry.size),
        }
    }

    fn place_one(&mut self, entry: &Entry, now: Timestamp) -> bool {
        let Some(worker) = self.find_worker(entry.job, entry.size, now) else {
            return false;
        };
        if self.index.reserve(worker, entry.size).is_err() {
            return false;
        }
        self.begin(entry.job, worker, None, now);
        self.dequeue_if_idle(entry.job);
        true
    }

    /// Returns the worker for one task of a job, if any has room.
    pub(super) fn find_worker(
        &self,
        job: JobId,
        size: Resources,
        now: Timestamp,
    ) -> Option<WorkerId> {
        let job = self.jobs.get(&job)?;
        let spread = match (job.spec.spread, job.is_service()) {
            (Spread::Any, true) => self.policy.spread,
            (spread, _) => spread,
        };
        let end = match job.is_service() {
            true => Timestamp::MAX,
            false => now + self.estimator.runtime(&job.key, job.spec.runtime).p90,
        };
        let rule = Rule::new()
            .weights(self.policy.weights)
            .spread(spread, &job.presence)
            .runs(now, end);
        let wary = rule.avoid(&job.avoid);
        let found = self.index.find(&size, &wary);
        // A worker where the job failed once is better than none.
        found.or_else(|| self.index.find(&size, &rule))
    }

    /// A job fits nowhere: makes room if it is urgent, holds capacity if it is due, else parks it.
    fn find_no_room(&mut self, entry: &Entry, now: Timestamp) {
        if entry.class == Priority::Urgent && self.evict_for(entry, now) {
            return;
        }
        if self.deserves_reservation(entry, now) && self.reserve_if_allowed(entry, now) {
            return;
        }
        let park = Park {
            size: entry.size,
            free: self.index.total_free(),
            since: now,
        };
        self.queue.park(entry, park);
    }

    /// Returns whether a job has waited long enough to have capacity held for it.
    ///
    /// A single task finds room sooner or later where tasks of its size end; a gang may never.
    fn deserves_reservation(&self, entry: &Entry, now: Timestamp) -> bool {
        let waited = now.since(entry.arrival);
        let patience = self.tuning.reserve_after;
        match entry.gang {
            true => waited >= patience / GANG_PART,
            false => waited >= patience || self.queue.yields_to(entry.team),
        }
    }

    /// Holds capacity for a job unless that is done for enough jobs of its kind.
    fn reserve_if_allowed(&mut self, entry: &Entry, now: Timestamp) -> bool {
        let most = match entry.gang {
            true => self.policy.gang_reservations as usize,
            false if self.queue.yields_to(entry.team) => self.index.len() / FAIR_PART,
            false => self.policy.task_reservations as usize,
        };
        self.kept[usize::from(entry.gang)] < most && self.reserve_for(entry.job, now)
    }

    /// Lets a job that can't meet its deadline any more queue behind those that can.
    fn has_expired(&mut self, entry: &Entry, now: Timestamp) -> bool {
        let job = self.jobs.get(&entry.job);
        let deadline = job.and_then(|job| job.spec.deadline);
        if deadline.is_none_or(|deadline| deadline > now) || entry.latest > now {
            return false;
        }
        self.requeue_late(entry.job, now);
        true
    }

    fn requeue_late(&mut self, job: JobId, now: Timestamp) {
        self.dequeue(job);
        self.enqueue(job, now);
    }
}
