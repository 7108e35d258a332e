//! What may be sent again.

use fulmarpier_state::refusal::Outcome;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
}

impl Class {
    /// Returns whether the request may be sent again after an attempt that ended so.
    ///
    /// What ran is never sent again; what may have run only where that does no harm.
    pub const fn may_repeat(self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::NotRun => true,
            Outcome::Unknown => matches!(self, Self::Idempotent),
            Outcome::Ran => false,
        }
    }
}
