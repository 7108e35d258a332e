//! What is asked of a ledger and what it answers.

use fulmarpier_state::{
    clock::Timestamp,
    id::Epoch,
    name::Service,
    refusal::Refusal, //
};

use crate::{
    journal::Record,
    platform::target, //
};

use super::{
    Answer,
    Digest,
    Key,
    Ticket, //
};

/// A non-idempotent request that a gate wants to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The caller's key.
    pub key: Key,
    /// What is asked.
    pub digest: Digest,
    /// Names the one flow at a gate that serves the request, drawn at random. It asks again only
    /// while nothing of the request was sent, or what was sent certainly was not run.
    pub nonce: u64,
    /// The target that would get it.
    pub target: Option<target::Id>,
    /// The service called.
    pub service: Service,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Keep the intent first ([`super::Ledger::intent`]); once it is committed, ask [`super::Ledger::committed`].
    Journal(Ticket),
    /// Grant it now and keep the intent when the log is back.
    Send(Ticket),
    /// It ran before; this is its answer.
    Replay(Answer),
    /// It is refused.
    Refuse(Refusal),
}

/// What may happen once an intent is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Granted {
    /// The request may be sent, once.
    Send,
    /// Its deadline has passed and nothing was sent; keep the record.
    Late(Record),
    /// No such request waits.
    Absent,
}

/// When and after whom the shard was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The epoch of the claim.
    pub epoch: Epoch,
    /// When this node took the shard; every earlier owner had stopped by then.
    pub at: Timestamp,
    /// Whether the replay missed nothing.
    pub complete: bool,
}

/// What the passing of time brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Requests whose deadline passed before their intent was kept; none was sent.
    pub late: Vec<(Key, Ticket)>,
    /// Records to keep.
    pub records: Vec<Record>,
}
