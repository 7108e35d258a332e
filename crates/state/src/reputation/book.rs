//! The book itself.

use std::collections::BTreeMap;

use crate::{
    clock::Timestamp,
    id::{
        JobId,
        WorkerId, //
    }, //
};

use super::{
    Verdict,
    docket::Docket,
    evidence::{
        Rate,
        SUCCESS,
        TO_HOLD,
        TO_QUARANTINE, //
    },
    quarantine::Quarantine,
    recent::Recent,
    record::{
        Kind,
        Record, //
    },
};

/// On how many different workers a job must fail before it is held.
const WORKERS_TO_HOLD: usize = 3;
/// A job that does well on one worker for each few where it fails doesn't fail everywhere.
const FAILING_FOR_EACH_GOOD: usize = 4;
/// One in this many of the known workers may be under quarantine by evidence at once, since a fault
/// that many share is not theirs.
const QUARANTINED_PART: usize = 4;

/// Who failed with whom.
///
/// It keeps 16 outcomes for each worker and 32 for each of at most 8,192 jobs. An event costs
/// O(log workers + log jobs), a failure at most 16 × 32 comparisons more.
#[derive(Clone, Debug, Default)]
pub struct Book {
    workers: BTreeMap<WorkerId, Record>,
    jobs: Docket,
    recent: Recent,
    quarantined: BTreeMap<WorkerId, Quarantine>,
}

impl Book {
    /// Makes an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a task of the job has started on the worker.
    ///
    /// A start says little yet: it may fail at once. See [`Self::completed`].
    pub fn started_ok(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        self.jobs.tally(job).start(worker, now);
        if let Some(quarantine) = self.quarantined.get_mut(&worker) {
            quarantine.run(now);
        }
        Verdict::None
    }

    /// Notes that a task of the job has come to a good end on the worker.
    pub fn completed(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        self.jobs.tally(job).succeed(worker, now);
        let record = self.workers.entry(worker).or_default();
        record.add(job, Kind::Succeeded, now);
        self.recent.add(worker, false, now);
        if self.quarantined.contains_key(&worker) {
            self.end_quarantine(worker, now);
            return Verdict::Release(worker);
        }
        Verdict::None
    }

    /// Notes that a task of the job has failed on the worker for no reason of the system's own.
    pub fn failed(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        self.jobs.tally(job).fail(worker, now);
        let record = self.workers.entry(worker).or_default();
        record.add(job, Kind::Failed, now);
        self.recent.add(worker, true, now);
        let excused = self.elsewhere(job, worker, now).is_poor();
        if let Some(quarantine) = self.quarantined.get_mut(&worker) {
            quarantine.fail(excused, now);
            return Verdict::None;
        }
        if self.is_job_bad(job, now) {
            self.acquit(job, now);
            return Verdict::Hold(job);
        }
        self.judge(worker, now)
    }

    /// Notes that a task of the job was stopped or lost, which tells nothing of either.
    pub fn stopped(&mut self, worker: WorkerId, job: JobId) {
        self.jobs.stop(job, worker);
    }

    /// Notes that the worker refused a start, so that nothing ran.
    pub fn refused(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        let record = self.workers.entry(worker).or_default();
        record.add(job, Kind::Refused, now);
        if let Some(quarantine) = self.quarantined.get_mut(&worker) {
            quarantine.fail(false, now);
            return Verdict::None;
        }
        self.judge(worker, now)
    }

    /// Puts a worker under quarantine, as an operator may.
    pub fn quarantine(&mut self, worker: WorkerId, now: Timestamp) {
        let quarantine = Quarantine::new(Vec::new(), None, now);
        self.quarantined.insert(worker, quarantine);
    }

    /// Ends a worker's quarantine, as an operator may; returns whether there was one.
    pub fn release(&mut self, worker: WorkerId) -> bool {
        self.workers.remove(&worker);
        self.quarantined.remove(&worker).is_some()
    }

    /// Ends the quarantine of each worker whose probe has run long enough, and returns these.
    pub fn release_proven(&mut self, now: Timestamp) -> Vec<WorkerId> {
        let is_proven = |quarantine: &Quarantine| quarantine.proof_at().is_some_and(|at| at <= now);
        let proven = self.quarantined.iter().filter(|(_, q)| is_proven(q));
        let workers: Vec<WorkerId> = proven.map(|(worker, _)| *worker).collect();
        for worker in &workers {
            self.end_quarantine(*worker, now);
        }
        workers
    }

    /// Returns whether the worker is under quarantine.
    pub fn is_quarantined(&self, worker: WorkerId) -> bool {
        self.quarantined.contains_key(&worker)
    }

    /// Returns whether a quarantined worker is due for a probe.
    pub fn may_probe(&self, worker: WorkerId, now: Timestamp) -> bool {
        let quarantine = self.quarantined.get(&worker);
        quarantine.is_some_and(|quarantine| quarantine.probe_at <= now)
    }

    /// Returns when the next probe of any worker is due or proves it, or `None` without quarantines.
    pub fn next_probe(&self) -> Option<Timestamp> {
        let quarantines = self.quarantined.values();
        let times = quarantines.flat_map(|q| [Some(q.probe_at), q.proof_at()]);
        times.flatten().min()
    }

    /// Notes that a probe was sent, so that the next one waits.
    pub fn probed(&mut self, worker: WorkerId, now: Timestamp) {
        if let Some(quarantine) = self.quarantined.get_mut(&worker) {
            quarantine.probe(now);
        }
    }

    /// Returns the quarantined workers in order of their ids.
    pub fn quarantined(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.quarantined.keys().copied()
    }

    /// Forgets a worker that is gone.
    pub fn forget_worker(&mut self, worker: WorkerId) {
        self.workers.remove(&worker);
        self.quarantined.remove(&worker);
    }

    /// Forgets a job that has ended, was cancelled, or is released from its hold.
    pub fn forget_job(&mut self, job: JobId) {
        self.jobs.remove(job);
    }

    /// Quarantines a worker if there is evidence enough and not too many are already.
    fn judge(&mut self, worker: WorkerId, now: Timestamp) -> Verdict {
        let Some(record) = self.workers.get(&worker) else {
            return Verdict::None;
        };
        let evidence = record.evidence(now, |job| self.elsewhere(job, worker, now));
        if evidence < TO_QUARANTINE || !self.may_quarantine() {
            return Verdict::None;
        }
        let quarantine = Quarantine::new(record.failed_jobs(), record.released, now);
        self.quarantined.insert(worker, quarantine);
        Verdict::Quarantine(worker)
    }

    fn may_quarantine(&self) -> bool {
        let automatic = self.quarantined.values().filter(|q| q.is_automatic());
        let most = (self.workers.len() / QUARANTINED_PART).max(1);
        automatic.count() < most
    }

    /// Returns whether the job fails on several workers that do well with other jobs.
    fn is_job_bad(&self, job: JobId, now: Timestamp) -> bool {
        let Some(tally) = self.jobs.get(job) else {
            return false;
        };
        let mut evidence = 0.0;
        let mut failing = 0;
        let mut good = 0;
        let shares = tally.shares(now);
        for (vote, share) in shares.filter(|(vote, _)| !self.is_quarantined(vote.worker)) {
            let record = self.workers.get(&vote.worker);
            let others = record.map(|record| record.rate_without(job, now));
            let against = others.unwrap_or(Rate::of_worker()).evidence();
            evidence += share * against + (1.0 - share) * SUCCESS;
            failing += usize::from(vote.failed > 0);
            good += usize::from(share < 0.5);
        }
        let everywhere = failing >= WORKERS_TO_HOLD.max(FAILING_FOR_EACH_GOOD * good);
        everywhere && evidence >= TO_HOLD
    }

    /// Returns how often the job fails on other workers that aren't under quarantine.
    fn elsewhere(&self, job: JobId, worker: WorkerId, now: Timestamp) -> Rate {
        let mut rate = Rate::of_job(self.recent.rate_elsewhere(worker, now));
        let is_trusted = |other| !self.is_quarantined(other);
        if let Some(tally) = self.jobs.get(job) {
            tally.add_elsewhere(&mut rate, worker, now, is_trusted);
        }
        rate
    }

    /// Has workers probed soon that a job's failures were held against.
    fn acquit(&mut self, job: JobId, now: Timestamp) {
        for quarantine in self.quarantined.values_mut() {
            quarantine.acquit(job, now);
        }
    }

    fn end_quarantine(&mut self, worker: WorkerId, now: Timestamp) {
        let Some(quarantine) = self.quarantined.remove(&worker) else {
            return;
        };
        let record = self.workers.entry(worker).or_default();
        record.clear();
        record.released = Some((now, quarantine.wait()));
    }
}
