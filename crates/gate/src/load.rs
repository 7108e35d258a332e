//! What the gate takes on at once: calls in progress and bytes of bodies in memory.

use std::time::Duration;

use fulmarpier_state::{
    refusal::{
        Reason,
        Refusal, //
    },
    unit::Bytes,
};
use fulmarpier_transport::bound::{
    Bound,
    Share, //
};

/// When asking again is of use.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The bounds of one gate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Calls in progress, waiting ones included.
    pub calls: Bound,
    /// Bytes of bodies that are held in memory.
    pub bytes: Bound,
}

impl Load {
    /// Makes the bounds.
    pub fn new(calls: u32, bytes: Bytes) -> Self {
        Self {
            calls: Bound::new(calls.into()),
            bytes: Bound::new(bytes.get()),
        }
    }

    /// Takes on one call.
    ///
    /// # Errors
    ///
    /// Refuses at once where as many calls are in progress as may be.
    pub fn enter(&self) -> Result<Share, Refusal> {
        self.calls.take(1).ok_or_else(|| {
            let detail = format!("{} calls are in progress already", self.calls.most());
            Refusal::new(Reason::QueueFull, detail).retry_after(RETRY_AFTER)
        })
    }
}

/// Makes the refusal where the memory for bodies is used up.
pub(crate) fn no_memory() -> Refusal {
    let refusal = Refusal::new(Reason::QueueFull, "the memory for bodies is used up");
    refusal.retry_after(RETRY_AFTER)
}
