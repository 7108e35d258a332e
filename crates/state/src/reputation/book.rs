//! The book itself.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use crate::{
    clock::Timestamp,
    id::{
        JobId,
        WorkerId, //
    }, //
};

use super::Verdict;

/// How many different jobs must fail on a worker before it is quarantined.
const JOBS_TO_QUARANTINE: usize = 3;
/// On how many different workers a job must fail before it is held.
const WORKERS_TO_HOLD: usize = 3;
/// The wait before the first probe.
const FIRST_PROBE: Duration = Duration::from_secs(30);
/// The longest wait between probes.
const LAST_PROBE: Duration = Duration::from_secs(3600);

/// Who failed with whom.
#[derive(Clone, Debug, Default)]
pub struct Book {
    workers: BTreeMap<WorkerId, BTreeSet<JobId>>,
    jobs: BTreeMap<JobId, BTreeSet<WorkerId>>,
    quarantined: BTreeMap<WorkerId, Quarantine>,
}

#[derive(Clone, Copy, Debug)]
struct Quarantine {
    probe_at: Timestamp,
    wait: Duration,
}

impl Book {
    /// Makes an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a task of the job started well on the worker.
    pub fn started_ok(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        let _ = now;
        self.workers.remove(&worker);
        self.jobs.remove(&job);
        if self.quarantined.remove(&worker).is_some() {
            return Verdict::Release(worker);
        }
        Verdict::None
    }

    /// Notes that a task of the job failed on the worker for no reason of ours.
    pub fn failed(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        if let Some(quarantine) = self.quarantined.get_mut(&worker) {
            quarantine.wait = (quarantine.wait * 2).min(LAST_PROBE);
            quarantine.probe_at = now + quarantine.wait;
            return Verdict::None;
        }
        let workers = self.jobs.entry(job).or_default();
        workers.insert(worker);
        if workers.len() >= WORKERS_TO_HOLD {
            return Verdict::Hold(job);
        }
        let jobs = self.workers.entry(worker).or_default();
        jobs.insert(job);
        if jobs.len() >= JOBS_TO_QUARANTINE {
            self.quarantine(worker, now);
            return Verdict::Quarantine(worker);
        }
        Verdict::None
    }

    /// Notes that the worker refused a start; nothing ran.
    pub fn refused(&mut self, worker: WorkerId, job: JobId, now: Timestamp) -> Verdict {
        self.failed(worker, job, now)
    }

    /// Puts a worker under quarantine, as an operator may.
    pub fn quarantine(&mut self, worker: WorkerId, now: Timestamp) {
        let wait = FIRST_PROBE;
        let probe_at = now + wait;
        self.workers.remove(&worker);
        self.quarantined
            .insert(worker, Quarantine { probe_at, wait });
    }

    /// Ends a worker's quarantine, as an operator may; returns whether there was one.
    pub fn release(&mut self, worker: WorkerId) -> bool {
        self.quarantined.remove(&worker).is_some()
    }

    /// Returns whether the worker is under quarantine.
    pub fn is_quarantined(&self, worker: WorkerId) -> bool {
        self.quarantined.contains_key(&worker)
    }

    /// Returns whether a quarantined worker is due for a probe.
    pub fn may_probe(&self, worker: WorkerId, now: Timestamp) -> bool {
        self.quarantined
            .get(&worker)
            .is_some_and(|quarantine| quarantine.probe_at <= now)
    }

    /// Returns when the next probe of any worker is due, or `None` without quarantines.
    pub fn next_probe(&self) -> Option<Timestamp> {
        self.quarantined.values().map(|q| q.probe_at).min()
    }

    /// Notes that a probe was sent, so that the next one waits.
    pub fn probed(&mut self, worker: WorkerId, now: Timestamp) {
        if let Some(quarantine) = self.quarantined.get_mut(&worker) {
            quarantine.probe_at = now + quarantine.wait;
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
        self.jobs.remove(&job);
    }
}
