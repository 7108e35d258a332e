//! What the gate takes on at once: calls in progress and bytes of bodies in memory.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use fulmarpier_state::{
    refusal::{
        Reason,
        Refusal, //
    },
    unit::Bytes,
};

/// When asking again is of use.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A bounded amount, shared between threads.
#[derive(Clone, Debug)]
pub struct Bound {
    used: Arc<AtomicU64>,
    most: u64,
}

/// A part of a bounded amount, given back when it is dropped.
#[derive(Debug)]
#[must_use = "a share that is dropped is given back at once"]
pub struct Share {
    bound: Bound,
    amount: u64,
}

impl Bound {
    /// Makes a bound of which nothing is used.
    pub fn new(most: u64) -> Self {
        Self {
            used: Arc::default(),
            most,
        }
    }

    /// Takes an amount; `None` where it would pass the bound.
    ///
    /// See also [`Share::grow`].
    pub fn take(&self, amount: u64) -> Option<Share> {
        let more = |used: u64| used.checked_add(amount).filter(|sum| *sum <= self.most);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        taken.ok().map(|_| Share {
            bound: self.clone(),
            amount,
        })
    }

    /// Returns how much is used.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }
}

impl Share {
    /// Adds to the share; returns whether the bound allows it.
    pub fn grow(&mut self, amount: u64) -> bool {
        let Some(mut more) = self.bound.take(amount) else {
            return false;
        };
        self.amount += std::mem::take(&mut more.amount);
        true
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.bound.used.fetch_sub(self.amount, Ordering::Relaxed);
    }
}

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
            let detail = format!("{} calls are in progress already", self.calls.most);
            Refusal::new(Reason::QueueFull, detail).retry_after(RETRY_AFTER)
        })
    }
}

/// Makes the refusal where the memory for bodies is used up.
pub(crate) fn no_memory() -> Refusal {
    let refusal = Refusal::new(Reason::QueueFull, "the memory for bodies is used up");
    refusal.retry_after(RETRY_AFTER)
}
