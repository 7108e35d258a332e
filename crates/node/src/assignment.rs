//! Decides which node sends the orders to which worker. Pure functions.
//!
//! A node keeps connections to each worker that it sends orders to and has a limited number of file descriptors, so
//! in a large fleet the owner distributes the workers over several nodes.

use std::{
    hash::{
        Hash,
        Hasher, //
    },
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::id::{
    NodeName,
    WorkerId, //
};
use fulmarpier_state::{
    alias::{
        FxHasher,
        HashMap, //
    },
    unit::Millicores,
};
use tokio::time::Instant;

use crate::succession::{
    Hello,
    outranks, //
};

/// The number of workers up to which the owner sends all orders itself. 48 workers take 6% of a core of the owner, and
/// an order that goes through another node takes a few milliseconds more and a second message.
const MAX_OWNER_ONLY_WORKERS: usize = 96;
/// The minimum number of other nodes that send orders, if there are that many. The fewer they are, the more orders and
/// reports share one call.
const MIN_NODES: usize = 3;
/// The number of descriptors that a node needs for each worker that it sends orders to: up to four concurrent
/// connections, and as many again for its callers, its peers and the workers of nodes that are gone.
const DESCRIPTORS_PER_WORKER: u32 = 8;
/// The divisor of the owner's strength as a weight. The owner also makes the decisions, so it gets fewer workers.
const OWNER_WEIGHT_DIVISOR: u32 = 4;

/// The time for which the owner itself sends the orders of a node that did not accept them. It suffices for the next
/// hello of the node, or for the owner to notice that the node is gone.
const AVOIDANCE: Duration = Duration::from_secs(2);

/// A node that can send orders to workers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// The address at which it answers other nodes.
    pub address: SocketAddr,
    /// The processor capacity that it may use, or the part of it that its link can keep busy.
    pub strength: Millicores,
    /// The number of files and connections that it may have open.
    pub descriptors: u32,
}

impl Peer {
    /// Returns the number of workers that it can send orders to.
    fn max_workers(&self) -> usize {
        usize::try_from(self.descriptors / DESCRIPTORS_PER_WORKER).unwrap_or(usize::MAX)
    }
}

impl From<&Hello> for Peer {
    fn from(hello: &Hello) -> Self {
        Self {
            node: hello.node.clone(),
            address: hello.address,
            strength: hello.strength,
            descriptors: hello.descriptors,
        }
    }
}

/// The assignment of workers to the nodes that send their orders.
#[derive(Debug, Default)]
pub struct Assignment {
    owner: Option<Peer>,
    /// The nodes that the owner doesn't outrank, the strongest first.
    candidates: Vec<Peer>,
    /// The number of candidates, from the first on, that send orders. It only grows until the nodes change.
    active_count: usize,
    /// The node of each worker, cached until the nodes or their number change; `None` stands for the owner.
    assigned: HashMap<WorkerId, Option<SocketAddr>>,
    /// The nodes that did not accept orders, each with the time until which the owner sends theirs.
    avoided: HashMap<SocketAddr, Instant>,
}

impl Assignment {
    /// Creates the assignment of an owner that knows the given other nodes.
    pub fn new(owner: Peer, peers: Vec<Peer>) -> Self {
        let mut assignment = Self::default();
        assignment.update_nodes(owner, peers);
        assignment
    }

    /// Replaces the owner and the other nodes. Among equally strong nodes, those that already send orders are
    /// preferred.
    pub fn update_nodes(&mut self, owner: Peer, peers: Vec<Peer>) {
        let active: Vec<Peer> = self.candidates.drain(..).take(self.active_count).collect();
        let candidates = peers
            .into_iter()
            .filter(|peer| !outranks(owner.strength, peer.strength));
        self.candidates = candidates.collect();
        self.candidates
            .sort_by_key(|peer| (std::cmp::Reverse(peer.strength), !active.contains(peer)));
        self.owner = Some(owner);
        self.active_count = 0;
        self.assigned.clear();
    }

    /// Returns the node that sends the orders to a worker; `None` if that is the owner.
    ///
    /// Each node gets workers in proportion to its strength and keeps them when another node comes or goes.
    pub fn node_of(&mut self, worker: &WorkerId, workers: usize) -> Option<SocketAddr> {
        if workers <= MAX_OWNER_ONLY_WORKERS || self.candidates.is_empty() {
            return None;
        }
        let required = self.required_nodes(workers);
        if required > self.active_count {
            self.active_count = required;
            self.assigned.clear();
        }
        if let Some(assigned) = self.assigned.get(worker) {
            return assigned.filter(|node| !self.is_avoided(*node));
        }
        let best = self.choose(worker);
        self.assigned.insert(worker.clone(), best);
        best.filter(|node| !self.is_avoided(*node))
    }

    /// Returns the number of nodes besides the owner that are needed to send orders to the given number of workers.
    fn required_nodes(&self, workers: usize) -> usize {
        let mut capacity = 0;
        for (count, peer) in self.candidates.iter().enumerate() {
            if count >= MIN_NODES && capacity >= workers {
                return count;
            }
            capacity += peer.max_workers();
        }
        self.candidates.len()
    }

    fn choose(&self, worker: &WorkerId) -> Option<SocketAddr> {
        let nodes = self.candidates.iter().take(self.active_count);
        let best = nodes.chain(&self.owner).max_by(|one, other| {
            let one = self.score(one, worker);
            one.total_cmp(&self.score(other, worker))
        });
        let best = best.filter(|best| !self.is_owner(best));
        best.map(|best| best.address)
    }

    fn is_owner(&self, peer: &Peer) -> bool {
        let owner = self.owner.as_ref();
        owner.is_some_and(|owner| owner.node == peer.node)
    }

    fn is_avoided(&self, node: SocketAddr) -> bool {
        let until = self.avoided.get(&node);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Makes the owner send the orders of a node for a while. Returns false if it already does.
    pub fn avoid(&mut self, node: SocketAddr) -> bool {
        let is_new = !self.is_avoided(node);
        self.avoided.insert(node, Instant::now() + AVOIDANCE);
        is_new
    }

    /// Returns the score of a node for a worker, by weighted rendezvous hashing: the hash of both names as a number
    /// between zero and one, whose logarithm is divided by the weight of the node.
    fn score(&self, peer: &Peer, worker: &WorkerId) -> f64 {
        let mut hasher = FxHasher::default();
        (peer.node.as_str(), worker.as_str()).hash(&mut hasher);
        let uniform = (mix(hasher.finish()) >> 11) as f64 / (1u64 << 53) as f64;
        let divisor = if self.is_owner(peer) {
            OWNER_WEIGHT_DIVISOR
        } else {
            1
        };
        let weight = f64::from(peer.strength.get() / divisor).max(1.0);
        uniform.max(f64::MIN_POSITIVE).ln() / weight
    }
}

/// Mixes the bits of a hash with the finaliser of SplitMix64. Without it, names that differ in one digit have similar
/// hashes, and one node would get twice as many workers as another.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
