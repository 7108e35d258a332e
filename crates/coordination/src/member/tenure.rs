//! The life cycle of one ownership, as types: a transition that is not allowed does not compile.
//!
//! ```text
//! Claimed -> Recovering -> Active <-> Suspended -> Released
//!    any of them -> Lost
//! ```
//!
//! A tenure that was released has no way back:
//!
//! ```compile_fail
//! use fulmarpier_coordination::member::tenure::{Released, Tenure};
//!
//! fn back(over: Tenure<Released>) {
//!     over.resume();
//! }
//! ```

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        ShardId, //
    },
};

use super::Cause;
use crate::claim::Holding;

/// The claim has won; nothing has been done yet.
#[derive(Clone, Copy, Debug)]
pub struct Claimed;

/// Journal and workers are being read.
#[derive(Clone, Copy, Debug)]
pub struct Recovering;

/// Work may be started while the lease holds.
#[derive(Clone, Copy, Debug)]
pub struct Active;

/// Nothing may be started.
#[derive(Clone, Copy, Debug)]
pub struct Suspended {
    /// Why.
    pub cause: Cause,
}

/// Given up by consent.
#[derive(Clone, Copy, Debug)]
pub struct Released;

/// Taken by another node.
#[derive(Clone, Copy, Debug)]
pub struct Lost;

/// The ownership of one shard under one epoch.
#[derive(Debug)]
pub struct Tenure<Phase> {
    holding: Holding,
    until: Timestamp,
    disowned: Option<Timestamp>,
    phase: Phase,
}

impl Tenure<Claimed> {
    /// Begins an ownership whose claim was read back from the log.
    pub fn new(shard: ShardId, epoch: Epoch, until: Timestamp) -> Self {
        Self {
            holding: Holding { shard, epoch },
            until,
            disowned: None,
            phase: Claimed,
        }
    }

    /// Begins recovery.
    pub fn recover(self) -> Tenure<Recovering> {
        self.enter(Recovering)
    }
}

impl Tenure<Recovering> {
    /// Ends recovery with a lease that holds.
    pub fn activate(self) -> Tenure<Active> {
        self.enter(Active)
    }

    /// Ends recovery without a lease, or for a handover.
    pub fn suspend(self, cause: Cause) -> Tenure<Suspended> {
        self.enter(Suspended { cause })
    }
}

impl Tenure<Active> {
    /// Stops new starts.
    pub fn suspend(self, cause: Cause) -> Tenure<Suspended> {
        self.enter(Suspended { cause })
    }
}

impl Tenure<Suspended> {
    /// Returns why nothing may be started.
    pub const fn cause(&self) -> Cause {
        self.phase.cause
    }

    /// Allows starts again.
    pub fn resume(self) -> Tenure<Active> {
        self.enter(Active)
    }

    /// Changes why nothing may be started.
    pub fn recast(self, cause: Cause) -> Self {
        self.enter(Suspended { cause })
    }

    /// Ends the ownership by consent.
    pub fn release(self) -> Tenure<Released> {
        self.enter(Released)
    }
}

impl<Phase> Tenure<Phase> {
    /// Returns the shard and the epoch.
    pub const fn holding(&self) -> Holding {
        self.holding
    }

    /// Returns when the lease lapses.
    pub const fn until(&self) -> Timestamp {
        self.until
    }

    /// Lets the lease last until `until`, by what was sent at `sent`.
    ///
    /// It never shortens the lease, and does nothing where the lease was disowned since `sent`.
    pub fn extend(&mut self, sent: Timestamp, until: Timestamp) {
        if self.disowned.is_none_or(|disowned| disowned < sent) {
            self.until = self.until.max(until);
        }
    }

    /// Notes that a peer was told at `now` that the lease has lapsed.
    pub fn disown(&mut self, now: Timestamp) {
        self.disowned = Some(now);
    }

    /// Ends the ownership against this node's will.
    pub fn lose(self) -> Tenure<Lost> {
        self.enter(Lost)
    }

    fn enter<Next>(self, phase: Next) -> Tenure<Next> {
        Tenure {
            holding: self.holding,
            until: self.until,
            disowned: self.disowned,
            phase,
        }
    }
}
