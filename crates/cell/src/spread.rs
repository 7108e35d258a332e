//! Decides over how many partitions the nodes of a cell spread the jobs that they accept.
//!
//! It serves a large cell with a slow store: a partition carries out one append at a time, which takes 0.3 s in such a
//! store, and nodes that share a partition wait for each other. A small cell uses only the first partitions, since each
//! partition that may be written to has to be read continuously.

use serde::{
    Deserialize,
    Serialize, //
};

/// A cell with more nodes than this uses all partitions.
const MAX_NODES_IN_SMALL_CELL: usize = 16;
/// The number of claim renewals after which a cell that has become small is treated as small.
const SHRINK_RENEWALS: u16 = 200;
/// The count at which nodes return to the first partitions. Until the count reaches zero the owner still reads the
/// other partitions, since a node may miss the change for some seconds.
const READ_ALL_RENEWALS: u16 = 100;

/// How far jobs are spread, as stored in the owner's claim; each owner passes it on to the next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread(u16);

impl Spread {
    /// Returns the value for the next claim renewal of an owner that knows this many nodes, itself included.
    #[must_use]
    pub const fn renew(self, nodes: usize) -> Self {
        match nodes > MAX_NODES_IN_SMALL_CELL {
            true => Self(SHRINK_RENEWALS),
            false => Self(self.0.saturating_sub(1)),
        }
    }

    /// Returns whether nodes write to all partitions.
    pub const fn uses_all_partitions(self) -> bool {
        self.0 > READ_ALL_RENEWALS
    }

    /// Returns whether a node may write to other partitions than the first ones.
    pub const fn may_use_all_partitions(self) -> bool {
        self.0 > 0
    }
}
