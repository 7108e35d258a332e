//! What a journal gives its runtime to tell records apart, and its short answers.

use std::fmt;

/// A handle that the runtime chooses, given back once the record is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How long a record may wait for company.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Something waits for the record to be kept.
    Urgent,
    /// Nothing waits for it.
    Lazy,
}

/// Why a record was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Too much waits for the log already.
    #[error("the journal holds {pending} bytes that wait for the log, at most {limit}")]
    Full {
        /// What waits, in bytes.
        pending: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The record is over the log's cap.
    #[error("a record of {size} bytes, at most {limit}")]
    Large {
        /// The size of the record, in bytes.
        size: usize,
        /// The cap, in bytes.
        limit: usize,
    },
    /// The record can't be encoded.
    #[error("the record can't be encoded")]
    Malformed,
    /// Another owner has taken the stream.
    #[error("the journal is closed")]
    Closed,
}

/// What came of taking a record back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// It never left; it will not be kept.
    Removed,
    /// It may be kept already; the commit or the fence will tell.
    Sent,
    /// No record with this token waits.
    Absent,
}
