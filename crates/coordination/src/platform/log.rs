//! The platform's append-only log.

use std::{
    fmt,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_state::id::Offset;
use serde::{
    Deserialize,
    Serialize, //
};

/// The name of a stream of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stream(pub String);

impl fmt::Display for Stream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Records to append to one stream in one go; either all are kept, in order, or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append {
    /// The stream to append to.
    pub stream: Stream,
    /// The records, at least one.
    pub records: Vec<Bytes>,
}

/// One kept record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream.
    pub offset: Offset,
    /// Its content.
    pub data: Bytes,
}

/// A request to read a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Read {
    /// The stream to read.
    pub stream: Stream,
    /// The first offset wanted.
    pub from: Offset,
    /// The most records wanted.
    pub max: u32,
    /// How long to wait for a first record when there is none yet.
    pub wait: Duration,
}

/// The answer to a [`Read`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The records found, in order of offset.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: Offset,
    /// The offset behind the last record of the stream when the page was made.
    pub end: Offset,
}

/// The ways in which the log can fail a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The call certainly had no effect.
    #[error("the log is unavailable: {reason}")]
    Unavailable {
        /// What the transport said.
        reason: String,
    },
    /// No answer came; an append may or may not have taken effect.
    #[error("no answer from the log; the effect is unknown")]
    Unknown,
    /// The offset asked for is no longer kept.
    #[error("the log keeps nothing before {earliest}")]
    Truncated {
        /// The earliest offset still kept.
        earliest: Offset,
    },
    /// The log refused the call as malformed or too large.
    #[error("the log refused the call: {reason}")]
    Refused {
        /// What the log said.
        reason: String,
    },
}
