//! At most once: the ledger of idempotency keys.
//!
//! A non-idempotent request is sent only after its intent is kept on the log, or, in a log outage,
//! if the key's own time proves that no other owner can have begun it.

mod answer;
mod entry;
mod home;
mod key;
mod ledger;
mod refuse;
mod settings;
mod ticket;
mod verdict;

pub use self::{
    answer::{
        Answer,
        Digest, //
    },
    home::shard_of,
    key::{
        Key,
        KeyError, //
    },
    ledger::Ledger,
    settings::{
        Outage,
        Settings, //
    },
    ticket::Ticket,
    verdict::{
        Ask,
        Claim,
        Due,
        Granted,
        Verdict, //
    },
};
