//! How a call can fail, and what that proves.

use std::net::SocketAddr;

use capnp::ErrorKind;

use super::eviction;

/// The ways in which a call can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The address refused a connection: no process listens there. Nothing was sent.
    #[error("{address} refuses connections")]
    Refused {
        /// The address called.
        address: SocketAddr,
    },
    /// No connection could be made for another reason, which proves nothing about the process.
    /// Nothing was sent.
    #[error("{address} can't be reached")]
    Unreachable {
        /// The address called.
        address: SocketAddr,
    },
    /// Too many calls are in progress here or there. The call was not run.
    #[error("too many calls are in progress")]
    Overloaded,
    /// The other side did not understand the call. It was not run.
    #[error("the call was rejected: {reason}")]
    Rejected {
        /// What the other side said.
        reason: String,
    },
    /// The other side closed the connection, idle until then, for another peer. The call was not run.
    #[error("the peer evicted the idle connection; the call was not run")]
    Evicted,
    /// This side is closing. Nothing was sent.
    #[error("the client is closed")]
    Closed,
    /// No answer came in time; the call may have run.
    #[error("no answer in time; the effect is unknown")]
    Timeout,
    /// The connection was lost before the answer; the call may have run.
    #[error("the connection was lost; the effect is unknown")]
    Disconnected,
    /// The answer could not be understood; the call may have run.
    #[error("the answer is malformed: {reason}")]
    Malformed {
        /// What was wrong with it.
        reason: String,
    },
    /// The other side failed while it ran the call.
    #[error("the other side failed: {reason}")]
    Failed {
        /// What the other side said.
        reason: String,
    },
}

impl Error {
    /// Returns whether the failure proves that the call was not run.
    pub const fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. }
                | Self::Unreachable { .. }
                | Self::Overloaded
                | Self::Rejected { .. }
                | Self::Evicted
                | Self::Closed
        )
    }

    /// Returns the bare word, for logs and counters.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Refused { .. } => "refused",
            Self::Unreachable { .. } => "unreachable",
            Self::Overloaded => "overloaded",
            Self::Rejected { .. } => "rejected",
            Self::Evicted => "evicted",
            Self::Closed => "closed",
            Self::Timeout => "timeout",
            Self::Disconnected => "disconnected",
            Self::Malformed { .. } => "malformed",
            Self::Failed { .. } => "failed",
        }
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        match error.kind {
            ErrorKind::Disconnected if eviction::is_evicted(&error) => Self::Evicted,
            ErrorKind::Disconnected => Self::Disconnected,
            ErrorKind::Overloaded => Self::Overloaded,
            ErrorKind::Unimplemented => Self::Rejected {
                reason: error.extra,
            },
            _ => Self::Failed {
                reason: error.to_string(),
            },
        }
    }
}
