//! What a gate holds of one target.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId, //
    },
};

use super::penalty::Penalty;
use crate::platform::target::Target;

/// How long after its lapse a target without requests is still kept in mind, for its owner to renew.
const KEEP: Duration = Duration::from_secs(60);

/// What a gate holds of one target.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) target: Target,
    /// The node that granted it.
    pub(super) owner: NodeId,
    pub(super) epoch: Epoch,
    /// The most slots that may be filled.
    pub(super) slots: u16,
    /// Slots that are filled; more than `slots` while a cut is being worked off.
    pub(super) in_use: u16,
    /// Slots given up without knowing whether they are free, not yet known to the owner.
    pub(super) abandoned: u16,
    /// How many of those the statement under way mentions.
    pub(super) reported: u16,
    /// Nothing new is sent from then on.
    pub(super) expiry: Timestamp,
    pub(super) penalty: Penalty,
}

impl Entry {
    pub(super) fn new(target: Target, owner: NodeId, epoch: Epoch) -> Self {
        Self {
            target,
            owner,
            epoch,
            slots: 0,
            in_use: 0,
            abandoned: 0,
            reported: 0,
            expiry: Timestamp::ZERO,
            penalty: Penalty::default(),
        }
    }

    /// Returns whether it has slots, full or empty, under a lease.
    pub(super) fn is_live(&self, now: Timestamp) -> bool {
        self.slots > 0 && now < self.expiry
    }

    /// Returns whether a request may be sent.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        self.in_use < self.slots && now < self.expiry
    }

    /// Returns the slots that are held and empty.
    pub(super) const fn spare(&self) -> u16 {
        self.slots.saturating_sub(self.in_use)
    }

    /// Returns what the gate needs to keep at least.
    pub(super) fn kept(&self) -> u16 {
        self.slots.max(self.in_use)
    }

    /// Returns whether the owner has not renewed the target for so long that it must be gone; the
    /// owner's side has long put the slots in doubt.
    pub(super) fn is_stale(&self, now: Timestamp) -> bool {
        self.in_use == 0 && self.expiry + KEEP < now
    }

    /// Returns whether nothing is left to tell the owner.
    pub(super) const fn is_over(&self) -> bool {
        self.slots == 0 && self.in_use == 0 && self.abandoned == 0
    }
}
