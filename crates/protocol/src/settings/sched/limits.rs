//! Bounds on the memory of a sched.

use fulmarpier_state::unit::Bytes;

use crate::settings::form::{
    Form,
    Section, //
};

const MAX_COUNT: u32 = 100_000_000;

/// Bounds on memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of records, in one shard, that wait for the log.
    pub journal_buffer: Bytes,
    /// The most jobs that wait in one shard.
    pub waiting_jobs: u32,
    /// The most tasks that wait in one shard.
    pub waiting_tasks: u32,
    /// The largest answer that is kept for an idempotency key.
    pub kept_answer: Bytes,
    /// The most idempotency keys that are remembered in one shard.
    pub kept_keys: u32,
}

impl Form for Limits {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let journal_buffer = section.within(
            "journal_buffer",
            Bytes::from_mib(4),
            Bytes(64 << 10)..=Bytes::from_gib(4),
        );
        let waiting_jobs = section.within("waiting_jobs", 50_000, 1..=MAX_COUNT);
        let waiting_tasks = section.within("waiting_tasks", 500_000, 1..=MAX_COUNT);
        let kept_answer = section.within(
            "kept_answer",
            Bytes(2 << 10),
            Bytes(0)..=Bytes(64 << 10), //
        );
        let kept_keys = section.within("kept_keys", 100_000, 1..=MAX_COUNT);
        Some(Self {
            journal_buffer: journal_buffer?,
            waiting_jobs: waiting_jobs?,
            waiting_tasks: waiting_tasks?,
            kept_answer: kept_answer?,
            kept_keys: kept_keys?,
        })
    }
}
