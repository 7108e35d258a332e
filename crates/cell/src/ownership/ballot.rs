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
}

impl Ballot {
    /// Creates the ballot of a process that starts now.
    pub const fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            highest: Epoch(0),
        }
    }

    /// Notes an ownership. Owners of earlier epochs are not confirmed any more.
    pub fn fence(&mut self, epoch: Epoch) {
        self.highest = self.highest.max(epoch);
    }

    /// Returns whether the node confirms the owner of an epoch.
    pub fn confirms(&self, epoch: Epoch, now: Timestamp) -> bool {
        self.highest <= epoch && now.since(self.started_at) >= RESTART_SILENCE
    }

    /// Returns the highest epoch that the node was told of.
    pub const fn highest(&self) -> Epoch {
        self.highest
    }
}
