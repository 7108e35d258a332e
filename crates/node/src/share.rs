//! Which node gives the orders to which worker. A pure decision.
//!
//! It answers fleets of any size: a node has connections to each worker that it gives orders to, and only so many descriptors.

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
    Greeting,
    outranks, //
};

/// Up to so many workers the owner gives all orders itself: 48 workers take 6% of a core there, and an
/// order through another node takes some milliseconds and a second message.
const ALONE: usize = 96;
/// How many other nodes give orders at least, where there are so many: the fewer, the more orders and reports go into one call.
const LEAST_NODES: usize = 3;
/// How many descriptors of a node go with each worker that it gives orders to: up to four connections at a time, and as much
/// again for its callers, its peers and workers whose node is gone.
const DESCRIPTORS: u32 = 8;
/// The owner decides beside its orders, so it counts for a quarter of its processor.
const OWNER_PART: u32 = 4;

/// For this long the owner gives the orders of a node that did not take them: until the node has greeted
/// it again, or is known to be gone.
const AVOID: Duration = Duration::from_secs(2);

/// A node that can give orders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Its name.
    pub node: NodeName,
    /// Where it answers.
    pub address: SocketAddr,
    /// How much of a processor it may use.
    pub processor: Millicores,
    /// How many files and connections it may have open.
    pub descriptors: u32,
}

impl Peer {
    /// Returns to how many workers it can give orders.
    fn carries(&self) -> usize {
        usize::try_from(self.descriptors / DESCRIPTORS).unwrap_or(usize::MAX)
    }
}

impl From<&Greeting> for Peer {
    fn from(greeting: &Greeting) -> Self {
        Self {
            node: greeting.node.clone(),
            address: greeting.address,
            processor: greeting.strength,
            descriptors: greeting.descriptors,
        }
    }
}

/// The nodes that give orders, each with its part of the workers.
#[derive(Debug, Default)]
pub struct Share {
    owner: Option<Peer>,
    /// The nodes that it doesn't outrank, the strongest first.
    strong: Vec<Peer>,
    /// How many of these give orders; it only rises.
    count: usize,
    /// Who gives orders to a worker, as long as the nodes are the same.
    chosen: HashMap<WorkerId, Option<SocketAddr>>,
    /// Nodes that did not take orders, and until when the owner gives theirs.
    avoided: HashMap<SocketAddr, Instant>,
}

impl Share {
    /// Makes one of an owner that knows these nodes.
    pub fn new(owner: Peer, peers: Vec<Peer>) -> Self {
        let mut share = Self::default();
        share.renew(owner, peers);
        share
    }

    /// Says which nodes there are beside the owner now; of equals those that give orders already go on.
    pub fn renew(&mut self, owner: Peer, peers: Vec<Peer>) {
        let giving: Vec<Peer> = self.strong.drain(..).take(self.count).collect();
        let strong = peers
            .into_iter()
            .filter(|peer| !outranks(owner.processor, peer.processor));
        self.strong = strong.collect();
        self.strong
            .sort_by_key(|peer| (std::cmp::Reverse(peer.processor), !giving.contains(peer)));
        self.owner = Some(owner);
        self.count = 0;
        self.chosen.clear();
    }

    /// Returns the node that gives the orders to a worker; `None` where the owner does.
    ///
    /// Each node gets workers in proportion to its processor, and keeps them when another comes or goes.
    pub fn node_of(&mut self, worker: &WorkerId, workers: usize) -> Option<SocketAddr> {
        if workers <= ALONE || self.strong.is_empty() {
            return None;
        }
        let wanted = self.wanted(workers);
        if wanted > self.count {
            self.count = wanted;
            self.chosen.clear();
        }
        if let Some(chosen) = self.chosen.get(worker) {
            return chosen.filter(|node| !self.is_avoided(*node));
        }
        let best = self.choose(worker);
        self.chosen.insert(worker.clone(), best);
        best.filter(|node| !self.is_avoided(*node))
    }

    /// Returns how many nodes beside the owner have to give orders to so many workers.
    fn wanted(&self, workers: usize) -> usize {
        let mut carried = 0;
        for (count, peer) in self.strong.iter().enumerate() {
            if count >= LEAST_NODES && carried >= workers {
                return count;
            }
            carried += peer.carries();
        }
        self.strong.len()
    }

    fn choose(&self, worker: &WorkerId) -> Option<SocketAddr> {
        let nodes = self.strong.iter().take(self.count);
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

    /// Has the owner give the orders of a node for a while; false where it does already.
    pub fn avoid(&mut self, node: SocketAddr) -> bool {
        let is_news = !self.is_avoided(node);
        self.avoided.insert(node, Instant::now() + AVOID);
        is_news
    }

    /// Scores a node for a worker: a number between zero and one, drawn by their names, whose root of
    /// the node's weight is compared.
    fn score(&self, peer: &Peer, worker: &WorkerId) -> f64 {
        let mut hasher = FxHasher::default();
        (peer.node.as_str(), worker.as_str()).hash(&mut hasher);
        let drawn = (mix(hasher.finish()) >> 11) as f64 / (1u64 << 53) as f64;
        let part = if self.is_owner(peer) { OWNER_PART } else { 1 };
        let weight = f64::from(peer.processor.get() / part).max(1.0);
        drawn.max(f64::MIN_POSITIVE).ln() / weight
    }
}

/// Spreads the bits of a hash evenly, by the finaliser of SplitMix64: names that differ in a digit have hashes that are alike, and
/// one node would get twice the workers of another.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
