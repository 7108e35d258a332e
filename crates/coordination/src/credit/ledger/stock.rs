//! The slots of one target.

use std::{
    fmt,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::Epoch,
    name::Service, //
};

use super::{
    Grant,
    doubt::{
        Doubt,
        Origin, //
    }, //
};
use crate::platform::target::Target;

/// How long slots stay in doubt before the target is emptied to settle them.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a target that was emptied is left alone.
const RESPITE: Duration = Duration::from_secs(30);
/// How long an ended target is kept.
const KEEP: Duration = Duration::from_secs(60);

/// The slots of one target, apart from what gates hold.
#[derive(Debug)]
pub(super) struct Stock {
    pub(super) service: Service,
    pub(super) target: Target,
    pub(super) epoch: Epoch,
    slots: u16,
    pub(super) leaving: bool,
    pub(super) doubt: Doubt,
    /// When the target ended; it is kept for a while, so that gates are told.
    pub(super) ended_at: Option<Timestamp>,
    /// Whether this node may not act as the owner at the moment.
    pub(super) suspended: bool,
    /// Whether gates are asked to leave the target for a while, so that an inventory shows exactly
    /// what is in doubt.
    pub(super) quiet: bool,
    /// The target is not made quiet before this.
    quiet_after: Timestamp,
    /// Until then gates may hold slots that an earlier owner granted.
    recovers_until: Timestamp,
}

impl Stock {
    pub(super) const fn new(service: Service, target: Target, epoch: Epoch, slots: u16) -> Self {
        Self {
            service,
            target,
            epoch,
            slots,
            leaving: false,
            doubt: Doubt::EMPTY,
            ended_at: None,
            suspended: false,
            quiet: false,
            quiet_after: Timestamp::ZERO,
            recovers_until: Timestamp::ZERO,
        }
    }

    /// Returns the slots that gates may share.
    pub(super) fn usable(&self) -> u16 {
        if self.leaving || self.quiet || self.suspended || self.ended_at.is_some() {
            return 0;
        }
        self.slots.saturating_sub(self.doubt.total())
    }

    /// Returns whether the target ended so long ago that every gate has been told.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.ended_at.is_some_and(|ended| ended + KEEP < now)
    }

    /// Takes in an inventory; `idle` says that no gate holds anything of the target.
    pub(super) fn evidence(&mut self, busy: u16, asked_at: Timestamp, idle: bool) {
        self.doubt.evidence(busy, asked_at);
        let settled = idle || self.doubt.total() == 0;
        if self.quiet && settled {
            self.quiet = false;
            self.quiet_after = asked_at + RESPITE;
        }
    }

    /// Returns whether slots have been in doubt for so long that the target should be emptied.
    pub(super) fn is_stuck(&self, now: Timestamp) -> bool {
        let waited = self.doubt.since_before(now.saturating_sub(PATIENCE));
        waited && !self.quiet && !self.leaving && self.quiet_after <= now
    }

    /// Puts all slots in doubt until the credits of an earlier owner have lapsed at `ready`.
    pub(super) fn recover(&mut self, ready: Timestamp) {
        self.doubt.add(self.slots, ready, Origin::Former);
        self.recovers_until = ready;
    }

    /// Returns whether gates may hold slots that an earlier owner granted.
    pub(super) fn is_recovering(&self, now: Timestamp) -> bool {
        now < self.recovers_until
    }

    pub(super) fn grant(&self, slots: u16, lease: Duration) -> Grant {
        Grant {
            service: self.service.clone(),
            target: self.target,
            epoch: self.epoch,
            slots,
            lease,
        }
    }
}

impl fmt::Display for Stock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "service={} slots={} doubt={} leaving={} quiet={}",
            self.service,
            self.slots,
            self.doubt.total(),
            self.leaving,
            self.quiet
        )
    }
}
