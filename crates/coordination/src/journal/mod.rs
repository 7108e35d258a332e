//! A shard's journal: group append, read-back, snapshots and replay.
//!
//! One stream of the platform's log belongs to each shard and only the shard's owner writes to it.
//! The log has no conditional append, so a replaced owner may still append; [`Fold`] therefore
//! ignores every record whose epoch is lower than the highest epoch seen before it, and a
//! [`Journal`] commits a batch only once it knows every record in front of it.

mod batch;
mod effect;
mod envelope;
mod fold;
mod opening;
mod record;
mod replay;
mod settings;
mod snapshot;
mod token;
mod writer;

pub use self::{
    effect::{
        Effect,
        Fence, //
    },
    envelope::{
        CodecError,
        Envelope,
        Header, //
    },
    fold::{
        Fold,
        Standing, //
    },
    opening::{
        Opened,
        Opening,
        Stage, //
    },
    record::{
        JobEnd,
        Record, //
    },
    replay::{
        Replay,
        ReplayError, //
    },
    settings::Settings,
    snapshot::Part,
    token::{
        Refused,
        Token,
        Urgency,
        Withdrawn, //
    },
    writer::Journal, //
};
