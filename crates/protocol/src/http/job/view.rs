//! A job as callers see it.

use fulmarpier_state::{
    id::JobId,
    job::Priority,
    name::Team, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::problem::Problem;

/// Where a job is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task runs yet.
    #[default]
    Waiting,
    /// It fails everywhere and is held until an operator or its owner acts.
    Held,
    /// At least one task runs.
    Running,
    /// All tasks ran to their end and succeeded.
    Succeeded,
    /// It ended, and not all tasks succeeded.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl State {
    /// Returns whether nothing more will happen to the job.
    pub const fn is_ended(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// How many tasks of a job are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Tasks {
    /// They wait for a place.
    pub waiting: u32,
    /// They run, or their start is under way.
    pub running: u32,
    /// They ran and succeeded.
    pub succeeded: u32,
    /// They ran and failed.
    pub failed: u32,
    /// They were cancelled before they ran to their end.
    pub cancelled: u32,
    /// They may have run; nobody can tell.
    pub unknown: u32,
}

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: JobId,
    /// Where it is in its life.
    pub state: State,
}

/// The answer to a question for one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The job.
    pub job: JobId,
    /// Where it is in its life.
    pub state: State,
    /// The team that owns it.
    pub team: Team,
    /// `batch`, `gang` or `service`.
    pub kind: String,
    /// How urgent it is.
    pub priority: Priority,
    /// Its tasks by state.
    pub tasks: Tasks,
    /// Why it waits or how it ended, one sentence an entry.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub explanation: Vec<String>,
    /// Why it was refused after it had been accepted, as by a passed deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Problem>,
}
