//! The records of a claims stream.

use std::{
    fmt,
    net::SocketAddr, //
};

use bytes::Bytes;
use fulmarpier_state::id::{
    Epoch,
    Incarnation,
    NodeId,
    Offset,
    ShardId, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The version in front of each record.
///
/// A new version is rolled out in two steps, since a node skips what it can't read: first every
/// node learns to read it, then nodes write it.
const VERSION: u8 = 1;

/// One life of one node, and where it listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// Which life of its process this is.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Holder {
    /// Returns whether `self` is a later life of the same node at the same address, so that
    /// `earlier` must have ended.
    pub fn succeeds(&self, earlier: &Self) -> bool {
        let same_node = self.node == earlier.node;
        let later_life = self.incarnation > earlier.incarnation;
        same_node && later_life && self.address == earlier.address
    }
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.node, self.incarnation)
    }
}

/// A shard that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holding {
    /// The shard.
    pub shard: ShardId,
    /// The epoch under which it is held.
    pub epoch: Epoch,
}

/// Whether a node takes on shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It does.
    #[default]
    Staying,
    /// It drains and takes no more.
    Leaving,
}

/// One record of a claims stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Asks for a shard.
    ///
    /// It wins where no other claim of the shard and no other node's renewal of it lies between
    /// `base` and its own offset, which then is the epoch.
    Claim {
        /// The claimant.
        holder: Holder,
        /// The claimant's own count of its claims, to tell a repeated one.
        sequence: u64,
        /// The shard.
        shard: ShardId,
        /// The offset up to which, without it, the claimant had folded the stream.
        base: Offset,
    },
    /// Says that a node lives and restates all that it holds.
    Renew {
        /// The node.
        holder: Holder,
        /// The node's own count of its renewals.
        sequence: u64,
        /// Whether it takes on shards.
        standing: Standing,
        /// The offset as of which it holds them: it had folded all before this one.
        base: Offset,
        /// What it holds.
        holdings: Vec<Holding>,
    },
    /// Gives up a shard; its holder starts nothing there from before this record was sent.
    Release {
        /// The holder.
        holder: Holder,
        /// What is given up.
        holding: Holding,
        /// Who should take it over, where the holder named one.
        to: Option<NodeId>,
    },
}

/// The ways in which the bytes of a record can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// There are no bytes.
    #[error("the record is empty")]
    Empty,
    /// The record has a version that this program can't read.
    #[error("the record has version {found}, and {VERSION} is known")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The bytes behind the version are no record.
    #[error("the record is malformed: {0}")]
    Malformed(postcard::Error),
}

impl Record {
    /// Returns the holder that wrote the record.
    pub const fn holder(&self) -> &Holder {
        match self {
            Self::Claim { holder, .. }
            | Self::Renew { holder, .. }
            | Self::Release { holder, .. } => holder,
        }
    }

    /// Encodes the record, with its version in front.
    pub fn encode(&self) -> Bytes {
        let bytes = postcard::to_extend(self, vec![VERSION]);
        // The records hold only fixed fields and vectors of known length, which always encode.
        Bytes::from(bytes.expect("a claims record encodes"))
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Refuses an empty record, an unknown version and malformed content.
    pub fn decode(data: &[u8]) -> Result<Self, DecodeError> {
        let (version, content) = data.split_first().ok_or(DecodeError::Empty)?;
        if *version != VERSION {
            return Err(DecodeError::Version { found: *version });
        }
        postcard::from_bytes(content).map_err(DecodeError::Malformed)
    }
}
