//! A bounded amount, shared between threads.

use std::sync::{
    Arc,
    atomic::{
        AtomicU64,
        Ordering, //
    },
};

/// A bounded amount, shared between threads; cheap to clone.
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
        self.take_below(amount, self.most)
    }

    /// Takes nothing, for a share that grows.
    pub fn nothing(&self) -> Share {
        Share {
            bound: self.clone(),
            amount: 0,
        }
    }

    /// Takes an amount; `None` where it would pass `most`, which is at most the bound.
    fn take_below(&self, amount: u64, most: u64) -> Option<Share> {
        let more = |used: u64| used.checked_add(amount).filter(|sum| *sum <= most);
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

    /// Returns the bound.
    pub const fn most(&self) -> u64 {
        self.most
    }
}

impl Share {
    /// Adds to the share; returns whether the bound allows it.
    pub fn grow(&mut self, amount: u64) -> bool {
        let most = self.bound.most;
        self.grow_below(amount, most)
    }

    /// Adds to the share; returns whether what is used of the bound then stays within `most`.
    pub fn grow_below(&mut self, amount: u64, most: u64) -> bool {
        let Some(mut more) = self.bound.take_below(amount, most.min(self.bound.most)) else {
            return false;
        };
        self.amount += std::mem::take(&mut more.amount);
        true
    }

    /// Gives all of it back but this much.
    pub fn shrink(&mut self, amount: u64) {
        let spare = self.amount.saturating_sub(amount);
        self.amount -= spare;
        self.bound.used.fetch_sub(spare, Ordering::Relaxed);
    }

    /// Returns how much it is.
    pub const fn amount(&self) -> u64 {
        self.amount
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.bound.used.fetch_sub(self.amount, Ordering::Relaxed);
    }
}
