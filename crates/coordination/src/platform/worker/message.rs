//! What a worker understands: fenced orders, batched lease renewal and inventories.
//!
//! Every call carries an epoch. A worker remembers the highest epoch that it has seen and refuses a
//! call with a lower one. A task whose lease lapses is stopped by the worker itself.

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

/// The one call to a worker: everything for it in one message.
///
/// With no orders it still takes the worker at the epoch, renews leases and asks for the inventory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sync {
    /// The caller's epoch; lower than the worker's is refused.
    pub epoch: Epoch,
    /// Orders are void when the worker's own clock is past this. Zero when there are no starts.
    pub start_by: Timestamp,
    /// How long the leases of all renewed and started tasks last from receipt.
    pub lease: Duration,
    /// Running tasks whose lease is renewed.
    pub renew: Vec<(TaskId, Attempt)>,
    /// Tasks to start.
    pub start: Vec<Start>,
    /// Things to do to running tasks.
    pub act: Vec<(TaskId, Attempt, Act)>,
    /// The grace for tasks that are stopped.
    pub grace: Duration,
    /// Ended tasks whose result has been kept; the worker may forget them.
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
    /// The tasks that run.
    pub running: Vec<Running>,
    /// The tasks that ended and were not acknowledged.
    pub ended: Vec<Ended>,
}

/// The answer to a [`Sync`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// One answer for each start, in the order of the call.
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
