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

use crate::{
    id::{
        DataCentre,
        Incarnation,
        PoolName,
        Run,
        TaskId,
        WorkerId, //
    },
    speed::Progress,
};

/// A worker as it registers itself in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Registration {
    /// Its id.
    pub id: WorkerId,
    /// The incarnation that registered, if the platform reports it.
    pub incarnation: Option<Incarnation>,
    /// The address where it takes orders.
    pub address: SocketAddr,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Its capacity.
    pub capacity: Resources,
    /// Its labels, which include its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// The data centre that it is in, if it reports one.
    pub data_centre: Option<DataCentre>,
    /// The minimum time until it leaves, if it is about to.
    pub leaving: Option<Duration>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    /// It succeeded.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not arrive in time.
    GangTimeout,
}

impl ExitReason {
    /// Returns the value that is written to logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "broken",
            Self::GangTimeout => "alone",
        }
    }
}

/// A run that a worker holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: Run,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// A rough measurement over the last half second. For a task with a target for its response times, it is their tail
    /// latency in milliseconds; for any other task, it is the processor time in use in thousandths of a core.
    pub load: u32,
    /// The share of its work that is done, if the worker reports it.
    #[serde(skip)]
    pub progress: Option<Progress>,
}

/// A run that has ended and that the worker still reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The serial number of the end in the worker's list; it only rises.
    pub serial: u64,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: Run,
    /// How it ended.
    pub reason: ExitReason,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// The runs that a worker holds and those that have ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The incarnation that reports this, if the platform reports it.
    pub incarnation: Option<Incarnation>,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The runs that the worker holds.
    pub running: Vec<Running>,
    /// The runs that have ended since the last acknowledged end, or the first of them.
    pub ended: Vec<Ended>,
    /// Whether later ends may be missing from that list. They are listed once those before them are acknowledged.
    #[serde(skip)]
    pub omits_ends: bool,
}

/// The result of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HeartbeatAnswer {
    /// The worker answered with its inventory.
    Inventory(Inventory),
    /// The worker has seen a higher epoch.
    Fenced,
    /// Another incarnation answers at the address: this one is gone, together with all of its runs.
    Replaced,
    /// No answer came in time; the lease may have been extended.
    NoAnswer,
    /// The connection broke or was refused before the timeout; the lease may have been extended.
    ConnectionLost,
    /// The worker refused the call and did nothing.
    Refused,
}

/// The result of an order to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartAnswer {
    /// The worker holds the run.
    Started,
    /// The worker has seen a higher epoch.
    Fenced,
    /// This run or a later one of the task has already ended or been stopped there.
    Stale,
    /// The requested lease had already expired.
    LeaseExpired,
    /// The worker has too little free capacity for the task.
    Full,
    /// The ticket is not valid.
    InvalidTicket,
    /// The worker does not accept new tasks at present and did nothing.
    Unhealthy,
    /// The worker could not parse the order and did nothing.
    Malformed,
    /// Another incarnation answers at the address.
    Replaced,
    /// The connection was refused, so nothing was sent.
    Unsent,
    /// No answer came; the task may have started, or may still start later.
    NoAnswer,
}

impl HeartbeatAnswer {
    /// Returns the value that is written to logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Inventory(_) => "listed",
            Self::Fenced => "fenced",
            Self::Replaced => "gone",
            Self::NoAnswer => "silent",
            Self::ConnectionLost => "broken",
            Self::Refused => "refused",
        }
    }
}

impl StopAnswer {
    /// Returns the value that is written to logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Fenced => "fenced",
            Self::Replaced => "gone",
            Self::NoAnswer => "silent",
        }
    }
}

impl StartAnswer {
    /// Returns the value that is written to logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Fenced => "fenced",
            Self::Stale => "old",
            Self::LeaseExpired => "late",
            Self::Full => "full",
            Self::InvalidTicket => "ticket",
            Self::Unhealthy => "unhealthy",
            Self::Malformed => "malformed",
            Self::Replaced => "gone",
            Self::Unsent => "unsent",
            Self::NoAnswer => "silent",
        }
    }
}

/// The result of an order to stop a task or to limit its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopAnswer {
    /// The worker accepted the order. A run that is to be stopped ends; if its start order arrives later, the worker
    /// refuses it.
    Confirmed,
    /// The worker has seen a higher epoch.
    Fenced,
    /// Another incarnation answers at the address.
    Replaced,
    /// No answer came, or one that leaves the result open.
    NoAnswer,
}

/// A worker that may run a step, with its ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The worker.
    pub worker: WorkerId,
    /// The ticket that orders to start the step on this worker carry.
    pub ticket: Arc<str>,
}
