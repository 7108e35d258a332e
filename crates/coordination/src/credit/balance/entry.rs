//! What a gate holds of one target.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId, //
    },
};

use super::{
    End,
    penalty::Penalty, //
};
use crate::platform::target::Target;

/// How long after its lapse a target without requests is still kept in mind: for its owner to renew,
/// and so that a late reply of a former owner is known for what it is.
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
    /// Requests sent under an earlier epoch are not counted: a former owner's grant lapsed before
    /// the present one was known, whose doubt covers them.
    since: Epoch,
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
            since: epoch,
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

    /// Takes a slot, which [`Self::is_usable`] has allowed.
    pub(super) const fn take(&mut self) {
        self.in_use += 1;
    }

    /// Puts a slot back that was taken under `epoch`.
    pub(super) fn put_back(&mut self, epoch: Epoch, end: End, now: Timestamp) {
        match end {
            End::Answered => self.penalty.succeed(),
            End::Unsent => {}
            End::Refused | End::Unknown => self.penalty.fail(now),
        }
        if epoch < self.since {
            return;
        }
        self.in_use = self.in_use.saturating_sub(1);
        if end == End::Unknown {
            self.slots = self.slots.saturating_sub(1);
            self.abandoned += 1;
        }
    }

    /// Notes that another owner holds the target now.
    ///
    /// What the former one granted stays until it lapses, and the next statement claims it. Where it
    /// has lapsed already, the former owner may have given it to another gate before it went, so
    /// nothing is claimed.
    pub(super) fn succeed(&mut self, owner: NodeId, epoch: Epoch, now: Timestamp) {
        self.owner = owner;
        self.epoch = epoch;
        self.reported = 0;
        if now >= self.expiry {
            self.slots = 0;
            self.in_use = 0;
            self.abandoned = 0;
            self.since = epoch;
            self.expiry = now;
        }
    }

    /// Takes in what the owner grants.
    pub(super) fn grant(&mut self, slots: u16, expiry: Timestamp) {
        // What was abandoned since the statement still counts against the total.
        self.slots = slots.saturating_sub(self.abandoned);
        self.expiry = expiry;
    }

    /// Returns whether a statement to the owner lists the target.
    pub(super) fn is_stated_to(&self, owner: NodeId) -> bool {
        self.owner == owner && !self.is_over()
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
