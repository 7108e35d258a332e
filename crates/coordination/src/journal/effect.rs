//! What a journal asks its runtime to do.

use fulmarpier_state::id::Epoch;

use crate::platform::log;

use super::{
    CodecError,
    Token, //
};

/// What a journal asks its runtime to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append to the log and report with `appended` or `failed`; there is never more than one call
    /// in flight.
    Append(log::Append),
    /// Read from the log and report with `on_page` or `failed`.
    Read(log::Read),
    /// The records behind these tokens are kept for good, in this order.
    Commit(Vec<Token>),
    /// The log refused this very record; it is not kept.
    Rejected(Token),
    /// Another owner has taken the stream, or the journal can't go on; it stays closed.
    Fenced(Fence),
}

/// Why a journal closed, and what became of each record that was not committed before.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Fence {
    /// The epoch of the owner that was seen, where there was one.
    pub epoch: Option<Epoch>,
    /// Kept in front of the other owner's first record: they count.
    pub kept: Vec<Token>,
    /// Not kept, or ignored by every replay: they never count.
    pub dropped: Vec<Token>,
    /// Nobody can tell at the moment.
    pub unsettled: Vec<Token>,
    /// The record that could not be read, where that was the cause.
    pub cause: Option<CodecError>,
}
