//! A target: a task of a service that answers requests over plain HTTP.

use std::{
    fmt,
    net::SocketAddr, //
};

use fulmarpier_state::id::{
    Attempt,
    TaskId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The identity of one target: the start of a task of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The task.
    pub task: TaskId,
    /// Which start of the task this is.
    pub attempt: Attempt,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

/// A target and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Which target it is.
    pub id: Id,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The ways in which sending a request to a target can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection was made, so nothing was sent; the request was not run.
    #[error("the target refuses connections; nothing was sent")]
    Refused,
    /// The target said that it took nothing on; the request was not run.
    #[error("the target turned the request away")]
    Busy,
    /// Something was sent and no whole answer came; the request may have run.
    #[error("no whole answer from the target; the request may have run")]
    Unknown,
}
