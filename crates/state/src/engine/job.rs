//! One job as the engine keeps it.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    effect::Outcome,
    task::Task, //
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        WorkerId, //
    },
    job::{
        Kind,
        Spec, //
    },
    learn,
    placement::Presence,
    quota::Slot, //
};

/// How many tasks of a job have reached each final state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// They ran and succeeded.
    pub succeeded: u32,
    /// They failed and are not tried again.
    pub failed: u32,
    /// They may have run; nobody can tell.
    pub unknown: u32,
    /// They were cancelled.
    pub cancelled: u32,
}

impl Counts {
    /// Returns how many tasks have reached a final state.
    pub const fn total(&self) -> u32 {
        self.succeeded + self.failed + self.unknown + self.cancelled
    }

    pub(super) fn add(&mut self, outcome: Outcome, count: u32) {
        match outcome {
            Outcome::Succeeded => self.succeeded += count,
            Outcome::Failed => self.failed += count,
            Outcome::Unknown => self.unknown += count,
            Outcome::Cancelled => self.cancelled += count,
        }
    }

    /// Returns the final state of the job as a whole.
    pub(super) const fn outcome(&self) -> Outcome {
        if self.unknown > 0 {
            Outcome::Unknown
        } else if self.failed > 0 {
            Outcome::Failed
        } else if self.cancelled > 0 {
            Outcome::Cancelled
        } else {
            Outcome::Succeeded
        }
    }
}

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Stage {
    /// Its tasks are started as room is found.
    Open,
    /// It fails on several workers; nothing is started before the given time.
    Held(Timestamp),
    /// Nothing more is started; it ends when what runs has ended.
    Closing,
    /// Its retries are spent; nothing more is started and it fails.
    Doomed,
    /// It has ended.
    Ended(Outcome),
}

impl Stage {
    /// Returns whether nothing more is started, now or later.
    pub(super) const fn is_closing(self) -> bool {
        matches!(self, Self::Closing | Self::Doomed | Self::Ended(_))
    }
}

/// A job with the tasks that have been started and have not ended.
///
/// A task that has never been started takes no memory of its own: `next` counts them off. One that
/// is neither below `next` and in `again`, `delayed` or `active`, nor from `next` on, has ended.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) spec: Arc<Spec>,
    pub(super) key: learn::Key,
    pub(super) slot: Slot,
    pub(super) submitted: Timestamp,
    pub(super) stage: Stage,
    /// How many tasks it has; only a service changes it.
    pub(super) size: u32,
    /// The first task that was never started.
    pub(super) next: u32,
    /// Tasks to start again, with the number of their last start.
    pub(super) again: Vec<(u32, Attempt)>,
    /// Tasks that wait before they start again.
    pub(super) delayed: BTreeMap<u32, (Timestamp, Attempt)>,
    pub(super) active: BTreeMap<u32, Task>,
    /// How many tasks that could start wait for a reservation of theirs.
    pub(super) claimed: u32,
    pub(super) counts: Counts,
    /// Failures so far, against the retry budget.
    pub(super) failures: u32,
    /// How many workers in a row went down under the start of a task, where any did.
    pub(super) crashes: BTreeMap<u32, u32>,
    /// Where a task of it last failed; avoided by the next start.
    pub(super) avoid: Vec<WorkerId>,
    pub(super) presence: Presence,
}

impl Job {
    pub(super) fn new(spec: Spec, slot: Slot, now: Timestamp) -> Self {
        let key = learn::Key::new(spec.team.clone(), &spec.payload.program);
        let size = spec.tasks;
        Self {
            spec: Arc::new(spec),
            key,
            slot,
            submitted: now,
            stage: Stage::Open,
            size,
            next: 0,
            again: Vec::new(),
            delayed: BTreeMap::new(),
            active: BTreeMap::new(),
            claimed: 0,
            counts: Counts::default(),
            failures: 0,
            crashes: BTreeMap::new(),
            avoid: Vec::new(),
            presence: Presence::new(),
        }
    }

    pub(super) fn is_gang(&self) -> bool {
        self.spec.kind == Kind::Gang
    }

    pub(super) fn is_service(&self) -> bool {
        matches!(self.spec.kind, Kind::Service { .. })
    }

    /// Returns whether a task may be started again after it may have run.
    ///
    /// The tasks of a service answer requests that carry their own keys, so they always may.
    pub(super) fn restarts(&self) -> bool {
        self.spec.idempotent || self.is_service()
    }

    /// Returns how many tasks could be started now.
    pub(super) fn ready(&self) -> u32 {
        if self.stage != Stage::Open {
            return 0;
        }
        self.startable().saturating_sub(self.claimed)
    }

    /// Returns how many tasks could be started, claimed ones included.
    pub(super) fn startable(&self) -> u32 {
        let again = u32::try_from(self.again.len()).unwrap_or(u32::MAX);
        self.size.saturating_sub(self.next).saturating_add(again)
    }

    /// Takes the next task to start with the number of the start.
    pub(super) fn take(&mut self) -> Option<(u32, Attempt)> {
        if let Some((index, last)) = self.again.pop() {
            return Some((index, last.next()));
        }
        if self.next >= self.size {
            return None;
        }
        let index = self.next;
        self.next += 1;
        Some((index, Attempt(1)))
    }

    /// Returns how many tasks wait for their start or their retry.
    pub(super) fn waiting(&self) -> u32 {
        let delayed = u32::try_from(self.delayed.len()).unwrap_or(u32::MAX);
        self.startable().saturating_add(delayed)
    }

    /// Returns whether a task is known to be neither waiting nor started.
    pub(super) fn has_ended(&self, index: u32) -> bool {
        index < self.next
            && !self.active.contains_key(&index)
            && !self.delayed.contains_key(&index)
            && !self.again.iter().any(|(waiting, _)| *waiting == index)
    }
}
