//! The nodes that may extend an owner's lease while the store does not answer it.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::id::Epoch;

/// The most voters of one owner. They are named in each renewal of its claim and in its answers to hellos.
pub const MAX_VOTERS: usize = 8;

/// An owner and the other nodes that vote on it, as its claim names them.
///
/// The owner votes for itself as long as it acts, so it needs the votes of half of the others, and at least one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Electorate {
    /// The epoch of the ownership.
    pub epoch: Epoch,
    /// The address of the owner.
    pub owner: SocketAddr,
    /// The addresses of the voters other than the owner.
    pub voters: Vec<SocketAddr>,
}

impl Electorate {
    /// Returns how many voters have to confirm the owner for its lease to be extended.
    pub fn quorum(&self) -> usize {
        self.voters.len().div_ceil(2).max(1)
    }

    /// Returns how many voters have to refuse the owner so that the others can't extend its lease.
    pub fn blocking_size(&self) -> usize {
        (self.voters.len() + 1).saturating_sub(self.quorum())
    }

    /// Creates the electorate of an owner, with as many of the nodes as may vote.
    pub fn new(epoch: Epoch, owner: SocketAddr, nodes: &[SocketAddr]) -> Self {
        let mut electorate = Self {
            epoch,
            owner,
            voters: Vec::new(),
        };
        electorate.add_voters(nodes);
        electorate
    }

    /// Adds nodes up to [`MAX_VOTERS`]: those first whose addresses differ most from the addresses of the owner and the
    /// voters so far. Nodes of one data centre mostly share a network, and are lost together.
    pub fn add_voters(&mut self, nodes: &[SocketAddr]) {
        while self.voters.len() < MAX_VOTERS {
            let is_new = |node: &&SocketAddr| **node != self.owner && !self.voters.contains(node);
            let candidates = nodes.iter().filter(is_new);
            let Some(next) = candidates.min_by_key(|node| self.similarity(node)) else {
                return;
            };
            self.voters.push(*next);
        }
    }

    /// Returns how many leading bits the address of a node shares with the owner and the voters, in total.
    fn similarity(&self, node: &SocketAddr) -> u32 {
        let members = self.voters.iter().chain([&self.owner]);
        members.map(|member| shared_bits(member, node)).sum()
    }
}

/// Returns how many leading bits of two IP addresses are the same.
fn shared_bits(one: &SocketAddr, other: &SocketAddr) -> u32 {
    match (one.ip(), other.ip()) {
        (IpAddr::V4(one), IpAddr::V4(other)) => (one.to_bits() ^ other.to_bits()).leading_zeros(),
        (IpAddr::V6(one), IpAddr::V6(other)) => (one.to_bits() ^ other.to_bits()).leading_zeros(),
        _ => 0,
    }
}
