//! One remembered request and the life it may have.

use fulmarpier_state::{
    clock::Timestamp,
    name::Service,
    refusal::Outcome, //
};

use crate::{
    platform::target,
    recovery::{
        Request,
        Settled, //
    },
};

use super::{
    Digest,
    Ticket, //
};

/// How far a remembered request has come.
///
/// `Intended` → `Granted` → `Settled`; a request that was not run leaves the ledger, so its key is
/// free again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Its intent is not kept yet, so nothing may be sent.
    Intended,
    /// It may have been sent.
    Granted,
    /// It is known to have run, or will never be known.
    Settled(Settled),
}

/// One remembered request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) digest: Digest,
    pub(super) nonce: u64,
    pub(super) ticket: Ticket,
    pub(super) target: Option<target::Id>,
    pub(super) service: Service,
    pub(super) at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) state: State,
}

impl Entry {
    /// Makes the entry of a request found in the journal; one that is not settled is `unknown`.
    pub(super) fn recovered(request: &Request, now: Timestamp) -> Self {
        let unknown = || Settled {
            outcome: Outcome::Unknown,
            answer: None,
            at: now,
        };
        Self {
            digest: request.digest,
            nonce: request.nonce,
            ticket: request.ticket,
            target: request.target,
            service: request.service.clone(),
            at: request.at,
            deadline: request.deadline,
            state: State::Settled(request.settled.clone().unwrap_or_else(unknown)),
        }
    }
}
