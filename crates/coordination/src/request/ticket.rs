//! Permissions to send.

use std::fmt;

use fulmarpier_state::id::Epoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// How many low bits count the tickets of one epoch.
const COUNT_BITS: u32 = 24;

/// The one permission to send a non-idempotent request.
///
/// The high bits hold the epoch, so that two owners of a shard never give the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ticket(pub u64);

impl Ticket {
    /// Makes the first ticket of an epoch.
    pub const fn first(epoch: Epoch) -> Self {
        Self(epoch.0 << COUNT_BITS)
    }

    /// Returns the next ticket.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
