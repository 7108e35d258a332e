//! What a successor knows of the former owners.

use std::net::SocketAddr;

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::{
    Electorate,
    FENCING_TIMEOUT,
    FENCING_WINDOW,
    MAX_REFUSAL_AGE, //
};

/// How an address responded to a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The process there was told of the successor. An earlier ownership of its own has ended.
    Told,
    /// No process listens there, or none did up to [`MAX_REFUSAL_AGE`] ago.
    Gone,
}

/// The former owners that may still act, as far as a successor knows.
#[derive(Clone, Debug, Default)]
pub struct Fencing {
    former: Vec<Electorate>,
    /// When the successor's claim was known to be in the store.
    began: Timestamp,
    /// The addresses at which the later owner is known or no process listens, and when the call was sent that showed
    /// it.
    told: HashMap<SocketAddr, Timestamp>,
}

impl Fencing {
    /// Creates the state of a successor of these owners, none of which is known to have stopped. The successor's
    /// claim is in the store.
    pub fn new(former: Vec<Electorate>, now: Timestamp) -> Self {
        let former = former.into_iter();
        Self {
            began: now,
            former: former.filter(|owner| owner.blocking_size() > 0).collect(),
            told: HashMap::default(),
        }
    }

    /// Notes the response to a call that was sent to an address at `sent_at`. Returns the owners that are fenced by it.
    pub fn note(
        &mut self,
        address: SocketAddr,
        response: Response,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Vec<Electorate> {
        if now.since(sent_at) > FENCING_TIMEOUT {
            return Vec::new();
        }
        // The process there may have been started since the attempt that was refused, and before the successor's claim.
        if response == Response::Gone && sent_at.since(self.began) < MAX_REFUSAL_AGE {
            return Vec::new();
        }
        self.told.insert(address, sent_at);
        let former = std::mem::take(&mut self.former);
        let (fenced, rest) = former
            .into_iter()
            .partition(|owner| owner.owner == address || self.are_enough_told(owner));
        self.former = rest;
        fenced
    }

    /// Returns the owners that may still act.
    pub fn remaining(&self) -> &[Electorate] {
        &self.former
    }

    /// Returns whether no former owner acts for longer than a lease.
    pub fn is_complete(&self) -> bool {
        self.former.is_empty()
    }

    /// Returns the addresses whose responses are awaited.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let owners = self.former.iter().map(|former| former.owner);
        let voters = self.former.iter().flat_map(|former| former.voters.clone());
        let mut addresses: Vec<SocketAddr> = owners.chain(voters).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns whether enough voters were told within one window. A node forgets it when it is restarted, so an
    /// earlier response doesn't count.
    fn are_enough_told(&self, former: &Electorate) -> bool {
        let told = former.voters.iter();
        let told = told.filter_map(|voter| self.told.get(voter));
        let mut told: Vec<Timestamp> = told.copied().collect();
        told.sort_unstable();
        let size = former.blocking_size();
        let mut sets = told.windows(size);
        sets.any(|set| set[size - 1].since(set[0]) <= FENCING_WINDOW)
    }
}
