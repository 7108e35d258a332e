//! The rule by which an owner of the cell may act, and what its successor may assume of it.
//!
//! An owner holds a [`Lease`] on the cell. It is extended by the store, which confirms that the claim is the newest,
//! or by a quorum of the nodes that the claim names as its [`Electorate`]; each of these confirms that it has not
//! been told of a later owner. An owner acts only while its lease lasts.
//!
//! A successor's claim is in the store, which from then on confirms no earlier one. The successor then tells the
//! electorates of the former owners ([`Fencing`]). A node that was told confirms no earlier owner any more
//! ([`Ballot`]). Any two sets of nodes that are large enough, one to extend a lease and one to fence its owner, have
//! a node in common. So once enough nodes have been told, no former owner acts for longer than [`LEASE_DURATION`].
//!
//! Nodes keep nothing across a restart. A node confirms no owner until it has read the newest claim from the store,
//! or, while the store is away, until [`RESTART_SILENCE`] after its start: if it was told of a later owner before its
//! restart, the lease that it must not extend has expired by then.
//!
//! All times are differences of one node's clock, and each counts from when a call was sent.

mod ballot;
mod electorate;
mod fencing;
mod lease;

use std::time::Duration;

pub use self::{
    ballot::Ballot,
    electorate::{
        Electorate,
        MAX_VOTERS, //
    },
    fencing::{
        Fencing,
        Response, //
    },
    lease::{
        Basis,
        Lease, //
    },
};

/// How long an owner may act after the call was sent by which the store or a quorum last confirmed it.
pub const LEASE_DURATION: Duration = Duration::from_millis(1_200);
/// How long after the call that showed its claim in the store an owner may begin to act on the word of its voters.
/// None of them has been told of a later owner and restarted since long enough to confirm this one again.
pub const MAX_START_DELAY: Duration = Duration::from_millis(4_000);
const _: () = assert!(
    MAX_START_DELAY.as_millis() + CLOCK_ALLOWANCE.as_millis() < RESTART_SILENCE.as_millis()
);
/// How long the response of a node that is told of a later owner may take; a later one doesn't count.
pub const FENCING_TIMEOUT: Duration = Duration::from_millis(500);
/// How far apart the calls may be by which a set of nodes was told of a later owner.
pub const FENCING_WINDOW: Duration = Duration::from_millis(1_000);
/// How long ago no process listened at an address that refuses a connection: the attempt takes up to 0.5 s, its
/// outcome is reused for 1 s, and a successor that stands still for longer than the rest has lost its own lease.
pub const MAX_REFUSAL_AGE: Duration = Duration::from_millis(2_500);
/// Allowance for clocks that run at different rates over a few seconds.
const CLOCK_ALLOWANCE: Duration = Duration::from_millis(300);
/// How long a node confirms no owner after its start unless it reads the newest claim.
pub const RESTART_SILENCE: Duration = LEASE_DURATION
    .saturating_add(FENCING_TIMEOUT)
    .saturating_add(FENCING_WINDOW)
    .saturating_add(MAX_REFUSAL_AGE)
    .saturating_add(CLOCK_ALLOWANCE);
