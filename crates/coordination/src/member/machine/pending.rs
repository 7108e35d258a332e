//! What is on its way: appends, claims, releases, questions and the read.

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        ShardId, //
    },
};

use super::{
    Holder,
    Holding,
    Token, //
};

/// What an append on its way holds.
#[derive(Debug)]
pub(super) enum Sent {
    /// A renewal, by its sequence.
    Renewal(u64),
    /// A claim.
    Claim(ShardId),
    /// A release.
    Release(ShardId),
}

/// A claim whose outcome has not been read yet.
#[derive(Debug)]
pub(super) struct Bid {
    pub(super) sequence: u64,
    pub(super) sent: Timestamp,
}

/// A release that has not been read back yet.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) sent: Timestamp,
    /// Whether an earlier release of the same tenure may still take effect.
    pub(super) uncertain: bool,
}

/// Why a question was asked.
#[derive(Debug)]
pub(super) enum Purpose {
    /// To have this node's lease extended.
    Vouch(Vec<Holding>),
    /// To learn whether a silent owner's process lives.
    Probe(Holder, Vec<(ShardId, Epoch)>),
    /// To learn whether a peer vouched for a silent owner.
    Inquire(Option<Holder>),
}

/// A question on its way.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) to: NodeId,
    pub(super) sent: Timestamp,
    pub(super) purpose: Purpose,
}

/// How far the claims stream has been read.
#[derive(Debug, Default)]
pub(super) struct Reader {
    /// The read on its way, and when it was sent.
    pub(super) sent: Option<(Token, Timestamp)>,
    /// Not before this time may the next read be sent.
    pub(super) retry_at: Timestamp,
    /// When the last read was sent that reached the end of the stream.
    pub(super) current: Option<Timestamp>,
}
