//! The explanation of one job.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    clock::Timestamp,
    id::JobId,
    placement::Total,
    resource::Resources, //
};

/// Why a job waits, or that it does not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "reason")]
pub enum Explanation {
    /// Every task has been started.
    Started,
    /// The job has ended.
    Ended,
    /// It has not been tried yet; its turn comes in the fair order.
    Turn,
    /// The last attempt found no worker with enough room.
    NoRoom {
        /// The size that found no room.
        size: Resources,
        /// What all workers had left together.
        free: Total,
        /// When that was.
        since: Timestamp,
    },
    /// Its team holds as much as it may.
    QuotaFull {
        /// What the team's tasks hold.
        used: Resources,
        /// What they may hold.
        limit: Resources,
    },
    /// Capacity is held for it and becomes free about then.
    Reserved {
        /// When all of it should be free.
        until: Timestamp,
    },
    /// Capacity is held for another job that comes first.
    BehindReservation {
        /// The job that comes first.
        job: JobId,
        /// When it should start.
        until: Timestamp,
    },
    /// A failed task waits before its retry.
    Backoff {
        /// When it is tried again.
        until: Timestamp,
    },
    /// It fails on several workers and is held.
    Held {
        /// When it is tried again.
        until: Timestamp,
    },
    /// It was cancelled and some of its tasks still run.
    Cancelling,
    /// No worker that is up is large enough, or none is up.
    AwaitingWorkers {
        /// The size of one task.
        size: Resources,
    },
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started => f.write_str("every task has been started"),
            Self::Ended => f.write_str("the job has ended"),
            Self::Turn => {
                f.write_str("it has not been tried yet; its turn comes in the fair order")
            }
            Self::NoRoom { size, free, .. } => {
                write!(
                    f,
                    "no worker has room for {size}; free on all together: {free}"
                )
            }
            Self::QuotaFull { used, limit } => {
                write!(f, "its team holds {used} of at most {limit}")
            }
            Self::Reserved { until } => {
                write!(f, "capacity is held for it and should be free at {until}")
            }
            Self::BehindReservation { job, until } => {
                write!(f, "capacity is held for job {job} until {until}")
            }
            Self::Backoff { until } => write!(f, "a failed task is tried again at {until}"),
            Self::Held { until } => {
                write!(f, "it fails on several workers and is held until {until}")
            }
            Self::Cancelling => f.write_str("it was cancelled; some of its tasks still run"),
            Self::AwaitingWorkers { size } => {
                write!(f, "no worker that is up is large enough for {size}")
            }
        }
    }
}
