//! Over how many partitions the nodes of a cell spread the jobs that they take. A pure decision.
//!
//! It answers a large cell whose store is slow: a partition carries out one append at a time, in 0.3 s then, and nodes that
//! share one wait for each other. A small cell keeps to the first partitions, since each that may be written to has to be
//! read all the time.

use serde::{
    Deserialize,
    Serialize, //
};

/// A cell with more nodes uses all partitions.
const FEW_NODES: usize = 16;
/// How many renewals of its claim an owner needs to take a cell for small that was large.
const FULL: u16 = 200;
/// From then on nodes keep to the first partitions. Until it has counted down the owner goes on reading the others: a node may
/// not have heard of it for some seconds.
const NARROWED: u16 = 100;

/// How far jobs are spread, as it stands in the owner's claim; owners hand it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread(u16);

impl Spread {
    /// Returns what stands in the next renewal of an owner that knows so many nodes, itself included.
    #[must_use]
    pub const fn renew(self, nodes: usize) -> Self {
        match nodes > FEW_NODES {
            true => Self(FULL),
            false => Self(self.0.saturating_sub(1)),
        }
    }

    /// Returns whether nodes write to all partitions.
    pub const fn is_wide(self) -> bool {
        self.0 > NARROWED
    }

    /// Returns whether a node may write to other partitions than the first.
    pub const fn may_be_wide(self) -> bool {
        self.0 > 0
    }
}
