//! What a node has promised as a voter.

use fulmarpier_state::clock::Timestamp;

use super::RESTART_SILENCE;
use crate::id::Epoch;

/// The votes of one node. It never confirms an owner of an earlier epoch than the highest that it was told of.
#[derive(Clone, Copy, Debug)]
pub struct Ballot {
    /// When the process was started.
    started_at: Timestamp,
    /// The highest epoch that the node was told of.
    highest: Epoch,
    /// Whether the node has read the newest claim since its start.
    is_recovered: bool,
}

impl Ballot {
    /// Creates the ballot of a process that starts now.
    pub const fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            highest: Epoch(0),
            is_recovered: false,
        }
    }

    /// Notes an ownership. Owners of earlier epochs are not confirmed any more.
    pub fn fence(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    /// Notes the epoch of the newest claim, which the node has read from the store since its start. The owners that
    /// it was told of before had claimed the cell by then.
    pub fn recover(&mut self, newest: Epoch) {
        self.fence(newest);
        self.is_recovered = true;
    }

    /// Returns whether the node confirms the owner of an epoch.
    pub fn confirms(&self, epoch: Epoch, now: Timestamp) -> bool {
        let knows_owners = self.is_recovered || now.since(self.started_at) >= RESTART_SILENCE;
        self.highest <= epoch && knows_owners
    }

    /// Returns the highest epoch that the node was told of.
    pub const fn highest(&self) -> Epoch {
        self.highest
    }
}
