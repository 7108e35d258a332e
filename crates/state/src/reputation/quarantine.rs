//! A worker under quarantine and its probes.

use std::time::Duration;

use crate::{
    clock::Timestamp,
    id::JobId, //
};

use super::evidence::PROOF;

/// The wait before the first probe.
const FIRST_WAIT: Duration = Duration::from_secs(30);
/// The longest wait between probes.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);
/// A worker that fails again within this span goes on where its waits had ended.
const RELAPSE: Duration = Duration::from_secs(3_600);

/// A quarantined worker: when it is probed next, and what led to it.
#[derive(Clone, Debug)]
pub(super) struct Quarantine {
    pub(super) probe_at: Timestamp,
    wait: Duration,
    /// The jobs whose failures led to it; none where an operator did.
    causes: Vec<JobId>,
    /// Since when the last probe has run.
    running: Option<Timestamp>,
}

impl Quarantine {
    /// Makes a quarantine that begins now, given the end of the last one and its wait.
    pub(super) fn new(
        causes: Vec<JobId>,
        last: Option<(Timestamp, Duration)>,
        now: Timestamp,
    ) -> Self {
        let relapse = last.filter(|(end, _)| now.since(*end) < RELAPSE);
        let wait = relapse.map_or(FIRST_WAIT, |(_, wait)| doubled(wait));
        Self {
            probe_at: now + wait,
            wait,
            causes,
            running: None,
        }
    }

    /// Returns the present wait between probes.
    pub(super) const fn wait(&self) -> Duration {
        self.wait
    }

    /// Returns whether it was imposed by evidence rather than by an operator.
    pub(super) fn is_automatic(&self) -> bool {
        !self.causes.is_empty()
    }

    /// Notes that a probe was sent.
    pub(super) fn probe(&mut self, now: Timestamp) {
        self.probe_at = now + self.wait;
    }

    /// Notes that a probe runs.
    pub(super) fn run(&mut self, now: Timestamp) {
        self.running = Some(now);
        self.probe_at = now + self.wait.max(PROOF);
    }

    /// Notes that a probe failed; the job's own failures elsewhere excuse the worker.
    pub(super) fn fail(&mut self, excused: bool, now: Timestamp) {
        self.running = None;
        if !excused {
            self.wait = doubled(self.wait);
        }
        self.probe_at = now + self.wait;
    }

    /// Notes that a job is at fault itself, so that a worker it was held against is probed soon.
    pub(super) fn acquit(&mut self, job: JobId, now: Timestamp) {
        if self.causes.contains(&job) {
            self.wait = FIRST_WAIT;
            self.probe_at = self.probe_at.min(now);
        }
    }

    /// Returns when the running probe will have proved the worker, if one runs.
    pub(super) fn proof_at(&self) -> Option<Timestamp> {
        self.running.map(|since| since + PROOF)
    }
}

fn doubled(wait: Duration) -> Duration {
    wait.saturating_mul(2).min(LONGEST_WAIT)
}
