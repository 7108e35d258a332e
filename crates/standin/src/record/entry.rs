//! What is recorded of one task and of one request.

use fulmarpier_coordination::platform::{
    target,
    worker::End, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        TaskId,
        WorkerId, //
    },
};
use serde::Serialize;

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It ran to its end and succeeded.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It saved its work and stopped.
    Checkpointed,
    /// It was stopped by order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Its worker died.
    Lost,
}

impl From<End> for Ending {
    fn from(end: End) -> Self {
        match end {
            End::Succeeded => Self::Succeeded,
            End::Failed => Self::Failed,
            End::Checkpointed => Self::Checkpointed,
            End::Stopped => Self::Stopped,
            End::Lapsed => Self::Lapsed,
        }
    }
}

/// One run of a task on one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// Which start of the task it was.
    pub attempt: Attempt,
    /// The worker.
    pub worker: WorkerId,
    /// The epoch of the start.
    pub epoch: Epoch,
    /// When it started.
    pub start: Timestamp,
    /// When it ended, where it has.
    pub end: Option<Timestamp>,
    /// How it ended, where it has.
    pub ending: Option<Ending>,
}

/// One request that a target ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Request {
    /// The header `Fulmarpier-Request`.
    pub request: Option<String>,
    /// The header `Idempotency-Key`.
    pub key: Option<String>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The target.
    pub target: target::Id,
    /// The target's worker.
    pub worker: WorkerId,
    /// When its body had arrived whole and it was begun.
    pub start: Timestamp,
    /// When its answer was ready; never, where the caller or the target went away.
    pub end: Option<Timestamp>,
}
