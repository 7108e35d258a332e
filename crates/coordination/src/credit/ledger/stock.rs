//! The slots of one target.

use std::{
    collections::BTreeMap,
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
    doubt::Doubt, //
};
use crate::platform::target::Target;

/// How long slots stay in doubt before the target is emptied to settle them.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a target that was emptied is left alone.
const RESPITE: Duration = Duration::from_secs(30);

/// The slots of one target, apart from what gates hold.
#[derive(Debug)]
pub(super) struct Stock {
    pub(super) service: Service,
    pub(super) target: Target,
    epoch: Epoch,
    pub(super) slots: u16,
    pub(super) leaving: bool,
    pub(super) doubt: Doubt,
    /// Reserved slots: ticket and deadline.
    pub(super) reserved: BTreeMap<u64, Timestamp>,
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
            reserved: BTreeMap::new(),
            quiet: false,
            quiet_after: Timestamp::ZERO,
            recovers_until: Timestamp::ZERO,
        }
    }

    /// Returns the slots that gates can't have: in doubt or reserved.
    pub(super) fn withheld(&self) -> u16 {
        let reserved = u16::try_from(self.reserved.len()).unwrap_or(u16::MAX);
        self.doubt.total().saturating_add(reserved)
    }

    /// Returns the slots that gates may share.
    pub(super) fn usable(&self) -> u16 {
        if self.leaving || self.quiet {
            return 0;
        }
        self.slots.saturating_sub(self.withheld())
    }

    /// Takes in an inventory; `idle` says that no gate holds anything of the target.
    pub(super) fn evidence(&mut self, busy: u16, asked_at: Timestamp, idle: bool) {
        self.doubt.evidence(busy, asked_at);
        let settled = idle && self.reserved.is_empty() || self.doubt.total() == 0;
        if self.quiet && settled {
            self.quiet = false;
            self.quiet_after = asked_at + RESPITE;
        }
    }

    /// Moves reservations past their deadline into doubt.
    pub(super) fn lapse(&mut self, now: Timestamp, settle: Duration) {
        let before = self.reserved.len();
        self.reserved.retain(|_, deadline| *deadline > now);
        let lapsed = u16::try_from(before - self.reserved.len()).unwrap_or(u16::MAX);
        self.doubt.add(lapsed, now + settle);
    }

    /// Returns whether slots have been in doubt for so long that the target should be emptied.
    pub(super) fn is_stuck(&self, now: Timestamp) -> bool {
        let waited = self.doubt.since_before(now.saturating_sub(PATIENCE));
        waited && !self.quiet && !self.leaving && self.quiet_after <= now
    }

    /// Puts all slots in doubt until the credits of an earlier owner have lapsed at `ready`.
    pub(super) fn recover(&mut self, ready: Timestamp) {
        self.doubt.add(self.slots, ready);
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
            "service={} slots={} doubt={} reserved={} leaving={} quiet={}",
            self.service,
            self.slots,
            self.doubt.total(),
            self.reserved.len(),
            self.leaving,
            self.quiet
        )
    }
}
