//! What the engine counts.

use std::collections::BTreeMap;

use crate::refusal::Reason;

/// Counts since the engine was made.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Refusals by reason.
    pub refusals: BTreeMap<Reason, u64>,
    /// Tasks whose start was decided.
    pub starts: u64,
    /// Failed or lost tasks that start again.
    pub retries: u64,
    /// Tasks that were checkpointed, throttled or stopped for urgent work.
    pub preemptions: u64,
    /// Tasks that used capacity held for another job.
    pub backfills: u64,
    /// Reservations that were made.
    pub reservations: u64,
    /// Reservations that were given up or planned again.
    pub replans: u64,
    /// Run time of tasks that was lost to preemption, in microseconds.
    pub work_lost: u64,
}

impl Counters {
    /// Counts a refusal.
    pub(super) fn refuse(&mut self, reason: Reason) {
        *self.refusals.entry(reason).or_default() += 1;
    }
}
