//! One started task.

use std::cmp::Reverse;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        WorkerId, //
    },
    job::Priority,
    resource::Resources, //
};

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The start was decided; no answer yet.
    Starting,
    /// The start may have arrived; its answer is lost.
    Suspect,
    /// The worker has said that it runs.
    Running,
}

/// Why a task was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Halt {
    /// Its job was cancelled.
    Cancelled,
    /// More urgent work needs its room.
    Preempted,
    /// Its service has been made smaller.
    Resized,
    /// Another task of its gang failed.
    Regrouped,
}

/// What is lost when a task is stopped; the least is stopped first.
///
/// Tasks that can be checkpointed lose nothing. Of the others those of low priority go first, and
/// of these the ones that have run for the shortest time.
pub(super) type Loss = (bool, Priority, Reverse<Timestamp>);

/// A start of a task, from its decision until evidence that it has ended.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) attempt: Attempt,
    pub(super) worker: WorkerId,
    pub(super) size: Resources,
    pub(super) phase: Phase,
    pub(super) begun: Timestamp,
    /// When it should have ended.
    pub(super) end: Timestamp,
    /// Set while it may be preempted.
    pub(super) loss: Option<Loss>,
    /// The reservation whose capacity it uses until it ends.
    pub(super) borrowed: Option<u64>,
    /// Set once its worker has shown it at work; until then the worker may go down under its start.
    pub(super) shown: bool,
    /// Set once it was told to stop.
    pub(super) halt: Option<Halt>,
    /// Whether its size is reserved in the index.
    pub(super) reserved: bool,
}

impl Task {
    /// Returns whether an event is about this very start.
    pub(super) fn is(&self, attempt: Attempt, worker: WorkerId) -> bool {
        self.attempt == attempt && self.worker == worker
    }
}
