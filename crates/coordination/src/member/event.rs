//! What can happen to a node.

use std::sync::Arc;

use fulmarpier_state::id::{
    Epoch,
    Offset,
    ShardId, //
};

use crate::{
    peer,
    platform::log,
    topology::Map, //
};

/// Ties an answer to the effect that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub(super) u64);

/// How a question failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreachable {
    /// The address refused the connection, so no process listens there.
    Refused,
    /// Anything else; it proves nothing.
    Timeout,
}

/// What can happen to a node.
///
/// Each [`super::Effect::Append`], [`super::Effect::Read`] and [`super::Effect::Ask`] is answered
/// by exactly one event; late, doubled and misordered ones do no harm.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; see [`super::Machine::next_wake`].
    Tick,
    /// There is a newer map.
    Topology(Arc<Map>),
    /// An append took effect.
    Appended {
        /// The append.
        token: Token,
        /// The offset of its first record.
        offset: Offset,
    },
    /// An append failed, or its effect is unknown.
    AppendFailed {
        /// The append.
        token: Token,
        /// How.
        error: log::Error,
    },
    /// The answer to the read.
    Page {
        /// The read.
        token: Token,
        /// What was read.
        page: log::Page,
    },
    /// The read failed.
    ReadFailed {
        /// The read.
        token: Token,
        /// How.
        error: log::Error,
    },
    /// The answer to a question; also where another node than the one asked answered.
    Answered {
        /// The question.
        token: Token,
        /// The answer.
        reply: peer::Reply,
    },
    /// A question got no answer.
    Unreachable {
        /// The question.
        token: Token,
        /// How.
        how: Unreachable,
    },
    /// The recovery of a shard has ended: every worker that answers is taken at the epoch.
    Ready {
        /// The shard.
        shard: ShardId,
        /// The epoch that was recovered.
        epoch: Epoch,
    },
    /// A worker of the shard refused this node's epoch since it has seen a higher one.
    Fenced {
        /// The shard.
        shard: ShardId,
        /// The worker's epoch.
        epoch: Epoch,
    },
    /// The node leaves: hand everything over and claim nothing more.
    Drain,
    /// The node stays after all, and takes on shards again.
    Undrain,
}
