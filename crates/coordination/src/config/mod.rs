//! The agreed configuration: versions, conflicts, checks and progress.
//!
//! Operators publish a [`Proposal`], which is a record in one stream of the platform's log. Every
//! node folds the stream with a [`Register`] and reaches the same [`Verdict`] on every proposal, so
//! the order of the log settles races. Before a proposal is appended, [`check`] says what it would
//! do to what runs.

mod change;
pub mod check;
mod document;
mod invalid;
mod key;
pub mod limits;
pub mod policy;
mod progress;
mod proposal;
mod record;
mod refresh;
mod register;
pub mod service;
mod share;
mod snapshot;
pub mod team;
mod verdict;
mod version;
pub mod weights;

pub use self::{
    change::Change,
    document::{
        Document,
        Drained, //
    },
    invalid::Invalid,
    key::{
        Key,
        Touch, //
    },
    limits::Limits,
    policy::Policy,
    progress::{
        InForce,
        Progress,
        Report, //
    },
    proposal::Proposal,
    record::{
        DecodeError,
        Record, //
    },
    refresh::Refresh,
    register::{
        Event,
        Fault,
        Register, //
    },
    service::Service,
    share::{
        ParseError as ShareError,
        Share, //
    },
    snapshot::Snapshot,
    team::Team,
    verdict::{
        Conflict,
        Rejection,
        Verdict, //
    },
    version::Version,
    weights::Weights,
};

/// The name of the stream that carries the configuration.
pub const STREAM: &str = "config";
