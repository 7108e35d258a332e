//! When to append a snapshot again.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    id::NodeId, //
};

/// A snapshot is due after this part of the retention, as a divisor, so that several are always kept.
const PART: u32 = 4;
/// A snapshot is due after this many proposals, so that a node that starts reads little.
const MAX_PROPOSALS: u32 = 64;
/// How many proposals more each later turn waits.
const PROPOSALS_A_TURN: u32 = 4;
/// The nodes' turns are spread over the wait by this many steps.
const TURNS: u32 = 8;

/// When this node should append a snapshot of the configuration.
///
/// Any node may; each waits a little longer than the one before it, so that usually one does, and
/// a second copy does no harm. Ages count from when this node read a snapshot, which is later than it
/// was written; so the first wait after a start is cut to an eighth of the usual one.
#[derive(Clone, Debug)]
pub struct Refresh {
    wait: Duration,
    delay: Duration,
    due_at: Timestamp,
    proposals: u32,
    most: u32,
}

impl Refresh {
    /// Makes the schedule of a node that starts to read at `now`.
    pub fn new(node: NodeId, retention: Duration, now: Timestamp) -> Self {
        let wait = retention / PART;
        let turn = node.get() % TURNS;
        let delay = wait / TURNS / TURNS * turn;
        Self {
            wait,
            delay,
            due_at: now + wait / TURNS + delay,
            proposals: 0,
            most: MAX_PROPOSALS + PROPOSALS_A_TURN * turn,
        }
    }

    /// Notes a proposal that was read.
    pub const fn proposal(&mut self) {
        self.proposals = self.proposals.saturating_add(1);
    }

    /// Notes a snapshot that was read, whoever wrote it.
    pub fn snapshot(&mut self, now: Timestamp) {
        self.proposals = 0;
        self.due_at = now + self.wait + self.delay;
    }

    /// Returns whether a snapshot is due.
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.due_at || self.proposals >= self.most
    }

    /// Notes that a snapshot was sent; until it is read back the next one waits an eighth.
    pub fn sent(&mut self, now: Timestamp) {
        self.proposals = 0;
        self.due_at = now + self.wait / TURNS + self.delay;
    }
}
