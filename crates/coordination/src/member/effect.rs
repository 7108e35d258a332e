//! What a node asks its surroundings to do.

use std::net::SocketAddr;

use fulmarpier_state::id::{
    Epoch,
    ShardId, //
};

use super::Token;
use crate::{
    peer,
    platform::log, //
};

/// Why work on a shard pauses or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The lease lapsed without a renewal in the log or a peer that vouched.
    Lapsed,
    /// The shard is being handed over.
    Handover,
    /// Another node owns the shard, or this node can no longer tell.
    Lost,
    /// This node claimed the shard anew, for a higher epoch.
    Raised,
}

/// What a node asks its surroundings to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append to the log.
    Append {
        /// Comes back with the answer.
        token: Token,
        /// The append.
        append: log::Append,
    },
    /// Read from the log; there is never more than one read on its way.
    Read {
        /// Comes back with the answer.
        token: Token,
        /// The read.
        read: log::Read,
    },
    /// Ask a peer.
    Ask {
        /// Comes back with the answer.
        token: Token,
        /// Where to ask.
        address: SocketAddr,
        /// The question.
        message: peer::Message,
    },
    /// The shard is won: read its journal and take its workers at the epoch, then say
    /// [`super::Event::Ready`].
    Recover {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Recovery is over and the lease holds: place work.
    Activate {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Start nothing new; go on renewing what runs.
    Suspend {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
        /// Why.
        cause: Cause,
    },
    /// Place work again.
    Resume {
        /// The shard.
        shard: ShardId,
        /// The epoch.
        epoch: Epoch,
    },
    /// The ownership is over: forget the shard and send its workers nothing more.
    Stop {
        /// The shard.
        shard: ShardId,
        /// The epoch that is over.
        epoch: Epoch,
        /// Why.
        cause: Cause,
    },
    /// The node drains and holds no shard any more.
    Drained,
}
