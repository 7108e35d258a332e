//! What the owner learns from workers and from the advice service.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::resource::Resources;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::id::{
    DataCentre,
    Incarnation,
    PoolName,
    Run,
    TaskId,
    WorkerId, //
};

/// A worker as it reports itself to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its id.
    pub id: WorkerId,
    /// Which incarnation tells this, where the platform says so.
    pub incarnation: Option<Incarnation>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// What it can hold.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Where it stands, where it says so.
    pub data_centre: Option<DataCentre>,
    /// How long it goes on at least, where it is about to leave.
    pub leaving: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// It succeeded.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

impl How {
    /// Returns the bare word, for logs.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that a worker holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// The newest checkpoint, where there is one.
    pub checkpoint: Option<Arc<str>>,
    /// A rough figure of the last half second: for a task with a target for its response times, their tail
    /// in milliseconds; for any other, the processor time in use in thousandths of a core.
    pub load: u32,
}

/// A run that has ended and that the worker still tells of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The place of the end in the worker's list; it only rises.
    pub serial: u64,
    /// The task.
    pub task: TaskId,
    /// Which start of it.
    pub run: Run,
    /// How it ended.
    pub how: How,
    /// The last checkpoint, where there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// What a worker holds and what has ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// Which incarnation tells this, where the platform says so.
    pub incarnation: Option<Incarnation>,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Running>,
    /// What has ended since the last acknowledged end.
    pub ended: Vec<Ended>,
}

/// What came of asking a worker for its inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HoldAnswer {
    /// It told what it holds.
    Listed(Inventory),
    /// It has seen a higher epoch.
    Fenced,
    /// Another incarnation answers at the address: this one is gone with all that it ran.
    Gone,
    /// No answer came in time; the lease may have been extended.
    Silent,
    /// The connection broke or was refused before that time was over; the lease may have been extended.
    Broken,
    /// It refused; nothing was done.
    Refused,
}

/// What came of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// It is there.
    Started,
    /// The worker has seen a higher epoch.
    Fenced,
    /// A run as high has ended or was stopped there.
    Old,
    /// The lease that it asked for had passed.
    Late,
    /// There is no room.
    Full,
    /// The ticket is not valid.
    Ticket,
    /// The worker turns work away; nothing was done.
    Unhealthy,
    /// The order was not understood; nothing was done.
    Malformed,
    /// Another incarnation answers at the address.
    Gone,
    /// The connection was refused: nothing was sent.
    Unsent,
    /// No answer came; it may have started, or may start later.
    Silent,
}

impl HoldAnswer {
    /// Returns the bare word, for logs.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Listed(_) => "listed",
            Self::Fenced => "fenced",
            Self::Gone => "gone",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Refused => "refused",
        }
    }
}

impl StopAnswer {
    /// Returns the bare word, for logs.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Fenced => "fenced",
            Self::Gone => "gone",
            Self::Silent => "silent",
        }
    }
}

impl StartAnswer {
    /// Returns the bare word, for logs.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Fenced => "fenced",
            Self::Old => "old",
            Self::Late => "late",
            Self::Full => "full",
            Self::Ticket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::Malformed => "malformed",
            Self::Gone => "gone",
            Self::Unsent => "unsent",
            Self::Silent => "silent",
        }
    }
}

/// What came of an order to stop or to pace a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopAnswer {
    /// It was taken; a run that is to be stopped ends, or will be refused where it isn't there yet.
    Confirmed,
    /// The worker has seen a higher epoch.
    Fenced,
    /// Another incarnation answers at the address.
    Gone,
    /// No answer came, or one that settles nothing.
    Silent,
}

/// A worker that may run a step, with the ticket that its orders carry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advised {
    /// The worker.
    pub worker: WorkerId,
    /// What starts of the step on it carry.
    pub ticket: Arc<str>,
}
