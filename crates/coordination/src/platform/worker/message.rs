//! The messages between the owner of a shard and a worker.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        TaskId,
        WorkerId, //
    },
    job::Payload,
    resource::Resources, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// One task to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: TaskId,
    /// Which start of the task this is.
    pub attempt: Attempt,
    /// What the task may use.
    pub size: Resources,
    /// What to run.
    pub payload: Payload,
    /// The slots of a target, for a task of a service.
    pub slots: Option<u16>,
    /// The port asked for, for a task of a service; zero lets the worker choose.
    pub port: u16,
    /// How long to run, where the declaration says so; stand-ins use it as the true run time.
    pub runtime: Option<Duration>,
}

/// What is done to one running task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Act {
    /// Save its work and stop; it can be resumed by a later start.
    Checkpoint,
    /// Reduce its processor time to this share in thousandths.
    Throttle(u16),
    /// Stop, after the grace given with the call.
    Stop,
}

/// An inventory that the caller has taken in: a state of one life of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    /// The life of the worker.
    pub life: Incarnation,
    /// The version of the inventory, within that life.
    pub version: u64,
}

/// The one call to a worker: everything for it in one message.
///
/// With no orders it still takes the worker at the epoch, renews leases and asks for the inventory.
/// What is empty is left out of the encoding.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The caller's epoch; lower than the worker's is refused.
    pub epoch: Epoch,
    /// Orders are void when the worker's own clock is past this. Zero when there are no starts.
    pub start_by: Timestamp,
    /// How long the leases of all renewed and started tasks last from receipt.
    pub lease: Duration,
    /// Running tasks whose lease is renewed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub renew: Vec<(TaskId, Attempt)>,
    /// What the caller has taken in last, so that the answer may be relative to it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known: Option<Known>,
    /// Whether all tasks are renewed that ran in the inventory `known`, without naming them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub renew_known: bool,
    /// Tasks to start.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub start: Vec<Start>,
    /// Things to do to running tasks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub act: Vec<(TaskId, Attempt, Act)>,
    /// The grace for tasks that are stopped.
    pub grace: Duration,
    /// Ended tasks whose result has been kept; the worker may forget them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub acknowledge: Vec<(TaskId, Attempt)>,
}

/// How the start of one task was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// It runs, or this very start was already taken.
    Started,
    /// Too late: the start-by time has passed. It was not run.
    Late,
    /// It would overfill the worker. It was not run.
    Full,
    /// Another attempt of the task is held here. It was not run.
    Held,
    /// The worker could not start it. It was not run.
    Failed,
}

/// A task that runs on the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Which start of the task this is.
    pub attempt: Attempt,
    /// The epoch under which it was started.
    pub epoch: Epoch,
    /// What it was given.
    pub size: Resources,
    /// What it was last seen to use.
    pub usage: Resources,
    /// How long it has run.
    pub age: Duration,
    /// How long its lease still lasts.
    pub lease: Duration,
    /// Where its target listens, for a task of a service.
    pub target: Option<SocketAddr>,
    /// How many slots of its target are taken.
    pub busy: u16,
}

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

/// A task that has ended and whose result was not yet acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The task.
    pub task: TaskId,
    /// Which start of the task this was.
    pub attempt: Attempt,
    /// How it ended.
    pub end: End,
    /// How long it ran.
    pub age: Duration,
}

/// What a worker holds.
///
/// It is whole, or relative to an inventory that the caller has taken in: then a running task is
/// left out where nothing but its age and its lease has changed since. Ended tasks are never left
/// out, so that it makes no difference which of the answers in between were lost. [`View`] makes
/// it whole again.
///
/// [`View`]: super::View
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker.
    pub worker: WorkerId,
    /// Which life of the worker this is.
    pub incarnation: Incarnation,
    /// The highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// The worker's own clock.
    pub clock: Timestamp,
    /// What it offers.
    pub capacity: Resources,
    /// Rises when a task begins or ends, or its report changes; zero on a worker whose inventories
    /// are always whole.
    #[serde(default)]
    pub version: u64,
    /// The version that this inventory is relative to; `None` where it is whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// The tasks that run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<Running>,
    /// The tasks that ended and were not acknowledged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Ended>,
}

/// The answer to a [`Sync`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// One answer for each start, in the order of the call.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub started: Vec<Answer>,
    /// What the worker holds after the call.
    pub inventory: Inventory,
}

/// The ways in which a call to a worker can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing listens there; the call had no effect.
    #[error("the worker refuses connections")]
    Refused,
    /// No answer came; the call may have taken effect.
    #[error("no answer from the worker; the effect is unknown")]
    Unknown,
    /// The worker has seen a higher epoch; the call had no effect.
    #[error("the worker is taken at {epoch}")]
    Fenced {
        /// The worker's epoch.
        epoch: Epoch,
    },
    /// The worker's answer could not be understood; the call may have taken effect.
    #[error("the worker's answer is malformed: {reason}")]
    Malformed {
        /// What was wrong with it.
        reason: String,
    },
}
