//! Why a sched can't start.

use std::{
    io,
    net::AddrParseError, //
};

use fulmarpier_coordination::member::TimingError;
use fulmarpier_transport::{
    http,
    metrics,
    platform::SetupError, //
};

/// Why a sched can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A platform address is not an IP address and a port.
    #[error("`{setting}` must name an IP address and a port, found `{found}`")]
    Address {
        /// The setting.
        setting: &'static str,
        /// What was found.
        found: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The spans of ownership don't fit together.
    #[error("the spans of ownership don't fit together")]
    Timing(#[from] TimingError),
    /// The shard count is out of range.
    #[error("the shard count is out of range")]
    Count(#[from] fulmarpier_coordination::topology::CountError),
    /// A thread or a runtime can't be started, or the RPC address can't be listened on.
    #[error("the system refused a thread, a runtime or the RPC address")]
    System(#[from] io::Error),
    /// An HTTP client can't be set up.
    #[error(transparent)]
    Setup(#[from] SetupError),
    /// The HTTP address can't be listened on.
    #[error(transparent)]
    Http(#[from] http::Error),
    /// The counters can't be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}
