//! How much one outcome says about who is at fault.
//!
//! A failure is evidence against a worker as far as the job does well elsewhere, and evidence
//! against the job as far as the worker does well with others. Evidence is a base-ten logarithm of
//! how much likelier the outcome is from a faulty party than from a sound one, so pieces add up.

use std::time::Duration;

use crate::clock::Timestamp;

/// Evidence to quarantine a worker: a hundred thousand to one, since each of many starts on many
/// workers gives chance another try.
pub(super) const TO_QUARANTINE: f64 = 5.0;
/// Evidence to hold a job: a thousand to one, less a hair for rounding. A job has few starts, and a
/// wrong hold only delays it.
pub(super) const TO_HOLD: f64 = 2.95;
/// What a success takes away: sound parties have about forty-five times more of them.
pub(super) const SUCCESS: f64 = -1.65;
/// What a refusal of a start adds: nothing ran, so the job is no suspect, but there are harmless
/// causes, such as a change of owner.
pub(super) const REFUSAL: f64 = 0.75;
/// How much a further failure of the same job on one worker counts, since both may share one cause.
pub(super) const REPEAT: f64 = 0.4;
/// Outcomes older than this count nothing.
pub(super) const MEMORY: Duration = Duration::from_secs(3_600);
/// A task that has run for this long has started well, where nothing else is known.
pub(super) const PROOF: Duration = Duration::from_secs(60);

/// The rate of failures assumed of a job that nothing is known of.
///
/// It is far above that of sound jobs, since jobs that are submitted together often share a fault,
/// and few new ones should not outweigh a worker.
const JOB_PRIOR: f64 = 0.25;
/// The rate of failures assumed of a worker that nothing is known of; workers seldom fail together.
const WORKER_PRIOR: f64 = 0.1;
/// No party is taken to fail less often than this, however good it was so far.
const LOWEST: f64 = 0.02;
/// How many outcomes such an assumption weighs as much as.
const PRIOR_OUTCOMES: f64 = 1.0;

/// Parts of outcomes that failed, each counted at most once for each counterpart.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    failures: f64,
    outcomes: f64,
    lowest: f64,
}

impl Rate {
    /// Makes the rate of a worker that nothing is known of.
    pub(super) const fn of_worker() -> Self {
        Self {
            failures: PRIOR_OUTCOMES * WORKER_PRIOR,
            outcomes: PRIOR_OUTCOMES,
            lowest: LOWEST,
        }
    }

    /// Makes the rate of a job of which nothing is known but how often others failed of late.
    pub(super) fn of_job(others: f64) -> Self {
        Self {
            failures: PRIOR_OUTCOMES * others.max(JOB_PRIOR),
            outcomes: PRIOR_OUTCOMES,
            lowest: others.max(LOWEST),
        }
    }

    /// Adds a counterpart of whose outcomes this share failed.
    pub(super) fn add(&mut self, share: f64) {
        self.failures += share;
        self.outcomes += 1.0;
    }

    /// Returns the evidence of one failure against one party, given this rate of the other.
    pub(super) fn evidence(&self) -> f64 {
        -self.get().log10()
    }

    /// Returns whether the party fails more often than not.
    pub(super) fn is_poor(&self) -> bool {
        self.get() > 0.5
    }

    /// Returns the rate at which further outcomes should fail.
    fn get(&self) -> f64 {
        (self.failures / self.outcomes).max(self.lowest)
    }
}

/// Returns whether an outcome is too old to count.
pub(super) fn is_stale(at: Timestamp, now: Timestamp) -> bool {
    now.since(at) > MEMORY
}
