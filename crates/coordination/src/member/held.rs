//! A tenure in any phase in which this node is the owner.

use fulmarpier_state::{
    clock::Timestamp,
    id::Epoch, //
};

use super::{
    Cause,
    tenure::{
        Active,
        Lost,
        Recovering,
        Suspended,
        Tenure, //
    },
};
use crate::claim::Holding;

/// A tenure in any phase in which this node is the owner.
#[derive(Debug)]
pub(super) enum Held {
    /// Recovery goes on.
    Recovering(Tenure<Recovering>),
    /// Starts are allowed while the lease holds.
    Active(Tenure<Active>),
    /// Starts are not allowed.
    Suspended(Tenure<Suspended>),
}

impl Held {
    /// Returns the shard and the epoch.
    pub(super) const fn holding(&self) -> Holding {
        match self {
            Self::Recovering(tenure) => tenure.holding(),
            Self::Active(tenure) => tenure.holding(),
            Self::Suspended(tenure) => tenure.holding(),
        }
    }

    /// Returns the epoch.
    pub(super) const fn epoch(&self) -> Epoch {
        self.holding().epoch
    }

    /// Returns when the lease lapses.
    pub(super) const fn until(&self) -> Timestamp {
        match self {
            Self::Recovering(tenure) => tenure.until(),
            Self::Active(tenure) => tenure.until(),
            Self::Suspended(tenure) => tenure.until(),
        }
    }

    /// Lets the lease last until `until`, by what was sent at `sent`.
    pub(super) fn extend(&mut self, sent: Timestamp, until: Timestamp) {
        match self {
            Self::Recovering(tenure) => tenure.extend(sent, until),
            Self::Active(tenure) => tenure.extend(sent, until),
            Self::Suspended(tenure) => tenure.extend(sent, until),
        }
    }

    /// Notes that this node said at `now` that the lease has lapsed.
    pub(super) fn disown(&mut self, now: Timestamp) {
        match self {
            Self::Recovering(tenure) => tenure.disown(now),
            Self::Active(tenure) => tenure.disown(now),
            Self::Suspended(tenure) => tenure.disown(now),
        }
    }

    /// Returns until when work may be started, where it may be at `now`.
    pub(super) fn may_start(&self, now: Timestamp) -> Option<Timestamp> {
        match self {
            Self::Active(tenure) if tenure.until() > now => Some(tenure.until()),
            _ => None,
        }
    }

    /// Returns why nothing may be started, where the tenure is suspended.
    pub(super) const fn suspended(&self) -> Option<Cause> {
        match self {
            Self::Suspended(tenure) => Some(tenure.cause()),
            _ => None,
        }
    }

    /// Returns whether recovery has ended.
    pub(super) const fn is_recovered(&self) -> bool {
        !matches!(self, Self::Recovering(_))
    }

    /// Ends the ownership against this node's will.
    pub(super) fn lose(self) -> Tenure<Lost> {
        match self {
            Self::Recovering(tenure) => tenure.lose(),
            Self::Active(tenure) => tenure.lose(),
            Self::Suspended(tenure) => tenure.lose(),
        }
    }
}
