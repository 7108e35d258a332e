//! The refusals of the ledger.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};

/// The longest span after which a caller is told to ask again about a request in progress.
const BUSY_RETRY_MAX: Duration = Duration::from_secs(1);
/// When to ask again while the ledger is full.
const FULL_RETRY: Duration = Duration::from_secs(5);

/// The deadline has passed.
pub(super) fn late() -> Refusal {
    Refusal::new(Reason::Deadline, "the deadline has passed")
}

/// Nothing can be dropped to remember one more request.
pub(super) fn full() -> Refusal {
    Refusal::new(Reason::QueueFull, "too many keys are remembered").retry_after(FULL_RETRY)
}

/// The key may have been used before what is remembered.
pub(super) fn aged() -> Refusal {
    let detail = "the key may have been used before what is remembered";
    Refusal::new(Reason::KeyAged, detail).outcome(Outcome::Unknown)
}

/// The key's own time lies far ahead.
pub(super) fn future() -> Refusal {
    Refusal::new(Reason::Malformed, "the key's own time lies in the future")
}

/// The key stands for another request.
pub(super) fn reused() -> Refusal {
    let detail = "the key stands for a request with another method, path or body";
    Refusal::new(Reason::KeyReused, detail)
}

/// The request is in progress.
pub(super) fn busy(deadline: Timestamp, now: Timestamp) -> Refusal {
    let span = now.until(deadline).min(BUSY_RETRY_MAX);
    Refusal::new(
        Reason::KeyBusy,
        "the first request with the key has not ended",
    )
    .outcome(Outcome::Unknown)
    .retry_after(span)
}

/// Nobody can tell whether the request ran.
pub(super) fn unknown() -> Refusal {
    let detail = "the request may have run and its answer was lost";
    Refusal::new(Reason::KeyUnknown, detail).outcome(Outcome::Unknown)
}
