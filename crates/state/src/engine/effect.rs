//! What the engine asks its owner to do, and what its owner tells it.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    resource::Resources, //
};

/// What is done to a running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Save its work and stop.
    Checkpoint,
    /// Reduce its processor time to this share in thousandths.
    Throttle(u16),
    /// Stop.
    Stop,
}

/// How a task that ran came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It ran to its end and succeeded.
    Succeeded,
    /// It ran and failed.
    Failed,
    /// It saved its work and stopped.
    Checkpointed,
    /// It was stopped by order.
    Stopped,
    /// Its lease lapsed and the worker stopped it.
    Lapsed,
}

/// Why a start certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The start came after its start-by time.
    Late,
    /// It would have overfilled the worker.
    Full,
    /// The worker holds another attempt of the task.
    Held,
    /// The worker could not start it.
    Failed,
    /// The worker refused the connection.
    Refused,
    /// The worker had seen a higher epoch.
    Fenced,
    /// The worker's inventory shows that it never arrived.
    Absent,
}

impl Cause {
    /// Returns whether the worker itself is to blame.
    pub const fn blames_worker(self) -> bool {
        matches!(self, Self::Failed | Self::Refused)
    }
}

/// The final state of a task or of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran and succeeded.
    Succeeded,
    /// It failed and is not tried again.
    Failed,
    /// It may have run; nobody can tell.
    Unknown,
    /// It was cancelled.
    Cancelled,
}

impl Outcome {
    /// Returns the bare word for the outcome, for reports and counters.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Cancelled => "cancelled",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// What the owner of the engine is asked to do or to note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Start a task; its capacity is reserved.
    Start {
        /// The task.
        task: TaskId,
        /// Which start of it this is.
        attempt: Attempt,
        /// Where.
        worker: WorkerId,
        /// What it may use.
        size: Resources,
    },
    /// Do something to a task that was started.
    Act {
        /// The task.
        task: TaskId,
        /// Which start of it is meant.
        attempt: Attempt,
        /// Where it runs.
        worker: WorkerId,
        /// What to do.
        act: Act,
    },
    /// A task has reached its final state.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// Its last start; zero where it was never started.
        attempt: Attempt,
        /// Its final state.
        outcome: Outcome,
    },
    /// All tasks of a job have reached their final state.
    JobEnded {
        /// The job.
        job: JobId,
        /// Its final state.
        outcome: Outcome,
    },
    /// A worker fails what works elsewhere and gets only probes from now on.
    Quarantined {
        /// The worker.
        worker: WorkerId,
    },
    /// A quarantined worker takes tasks again.
    Released {
        /// The worker.
        worker: WorkerId,
    },
    /// A job fails on several workers and is held.
    Held {
        /// The job.
        job: JobId,
    },
}
