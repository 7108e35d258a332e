//! The record in numbers.

use std::collections::BTreeMap;

use fulmarpier_coordination::platform::worker::Answer;
use serde::Serialize;

use super::entry::Run;
use crate::log::Count;

/// How many examples of each violation are named.
const EXAMPLES: usize = 10;

/// What must not be; each count is zero in a sound system.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Pairs of runs of one task that overlapped in time.
    pub doubled_tasks: u64,
    /// Starts that were taken although they overfilled the worker.
    pub overfilled: u64,
    /// Requests that ran although a non-idempotent request with the same key had run.
    pub doubled_keys: u64,
    /// Some of them, in words.
    pub examples: Vec<String>,
}

impl Violations {
    /// Returns the count of all violations.
    pub const fn total(&self) -> u64 {
        self.doubled_tasks + self.overfilled + self.doubled_keys
    }

    pub(super) fn example(&mut self, text: impl FnOnce() -> String) {
        if self.examples.len() < EXAMPLES {
            self.examples.push(text());
        }
    }

    /// Counts the runs of one task that overlap; the runs are in order of their start.
    pub(super) fn overlaps(&mut self, runs: &[&Run]) {
        for pair in runs.windows(2) {
            let [first, second] = pair else { continue };
            if first.end.is_none_or(|end| second.start < end) {
                self.doubled_tasks += 1;
                self.example(|| {
                    format!(
                        "{} ran on {} and {} at {}",
                        first.task, first.worker, second.worker, second.start
                    )
                });
            }
        }
    }
}

/// Starts that workers declined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Declined {
    /// The start-by time had passed.
    pub late: u64,
    /// It would have overfilled the worker.
    pub full: u64,
    /// Another attempt was held there.
    pub held: u64,
    /// The worker could not start it.
    pub failed: u64,
    /// Whole calls with too low an epoch.
    pub fenced: u64,
}

impl Declined {
    pub(super) const fn count(&mut self, answer: Answer) {
        match answer {
            Answer::Started => {}
            Answer::Late => self.late += 1,
            Answer::Full => self.full += 1,
            Answer::Held => self.held += 1,
            Answer::Failed => self.failed += 1,
        }
    }
}

/// The record in numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// What must not be.
    pub violations: Violations,
    /// Runs of tasks that began.
    pub started: u64,
    /// Runs that have not ended.
    pub running: u64,
    /// Runs by how they ended.
    pub ended: BTreeMap<String, u64>,
    /// Tasks that succeeded more than once, one run after another.
    pub repeated_tasks: u64,
    /// Starts that workers declined.
    pub declined: Declined,
    /// Requests that targets ran.
    pub requests: u64,
    /// Of these, those whose answer was ready.
    pub answered: u64,
    /// Requests that targets turned away for want of a slot.
    pub turned_away: u64,
    /// The largest share of a worker's resources that was ever taken, in thousandths.
    pub peak_use: u32,
    /// What each caller appended to the log.
    pub appends: BTreeMap<String, Count>,
    /// Runs and requests that were not recorded for want of room; the rest proves nothing for them.
    pub dropped: u64,
}
