//! How often a request may still be sent, carried from hop to hop.

use fulmarpier_state::clock::Timestamp;

/// How often and until when a request may still be sent.
///
/// The layer that retries keeps the count; what it sends on is [`Self::last`], so that a layer behind
/// it never retries as well and attempts don't multiply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempts {
    left: u8,
    deadline: Timestamp,
}

impl Attempts {
    /// Makes the count for a request that may be sent `most` times in all.
    pub const fn new(most: u8, deadline: Timestamp) -> Self {
        Self {
            left: most,
            deadline,
        }
    }

    /// Returns how often the request may still be sent.
    pub const fn left(self) -> u8 {
        self.left
    }

    /// Returns when the answer is no longer wanted.
    pub const fn deadline(self) -> Timestamp {
        self.deadline
    }

    /// Returns what is left after one more send, or `None` where none is left.
    #[must_use]
    pub const fn spend(self) -> Option<Self> {
        match self.left.checked_sub(1) {
            Some(left) => Some(Self { left, ..self }),
            None => None,
        }
    }

    /// Returns what the next hop may do: handle it once, by the same deadline.
    #[must_use]
    pub const fn last(self) -> Self {
        Self { left: 1, ..self }
    }
}
