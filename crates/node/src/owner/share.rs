//! Which node gives the orders to which worker.

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
/// How many other nodes give orders at most: the fewer, the more orders and reports go into one call.
/// Each takes some 120 of 350 workers so, 15% of a core.
const MOST_NODES: usize = 3;
/// The owner decides beside its orders, so it counts for a quarter of its processor.
const OWNER_PART: u32 = 4;

/// For this long the owner gives the orders of a node that did not take them: until the node has greeted
/// it again, or is known to be gone.
const AVOID: Duration = Duration::from_secs(2);

/// A node that can give orders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Peer {
    /// Its name.
    pub(crate) node: NodeName,
    /// Where it answers.
    pub(crate) address: SocketAddr,
    /// How much of a processor it may use.
    pub(crate) processor: Millicores,
}

impl From<&Greeting> for Peer {
    fn from(greeting: &Greeting) -> Self {
        Self {
            node: greeting.node.clone(),
            address: greeting.address,
            processor: greeting.strength,
        }
    }
}

/// The nodes that give orders, each with its part of the workers.
#[derive(Debug, Default)]
pub(crate) struct Share {
    /// The owner and the nodes that it doesn't outrank.
    nodes: Vec<Peer>,
    owner: Option<NodeName>,
    /// Who gives orders to a worker, as long as the nodes are the same.
    chosen: HashMap<WorkerId, Option<SocketAddr>>,
    /// Nodes that did not take orders, and until when the owner gives theirs.
    avoided: HashMap<SocketAddr, Instant>,
}

impl Share {
    /// Says which nodes there are beside the owner.
    pub(crate) fn new(owner: Peer, peers: Vec<Peer>) -> Self {
        let name = owner.node.clone();
        let strong = peers
            .into_iter()
            .filter(|peer| !outranks(owner.processor, peer.processor));
        let mut strong: Vec<Peer> = strong.collect();
        strong.sort_by_key(|peer| std::cmp::Reverse(peer.processor));
        strong.truncate(MOST_NODES);
        let nodes = strong.into_iter().chain([owner]).collect();
        Self {
            nodes,
            owner: Some(name),
            chosen: HashMap::default(),
            avoided: HashMap::default(),
        }
    }

    /// Returns the node that gives the orders to a worker; `None` where the owner does.
    ///
    /// Each node gets workers in proportion to its processor, and keeps them when another comes or goes.
    pub(crate) fn node_of(&mut self, worker: &WorkerId, workers: usize) -> Option<SocketAddr> {
        if workers <= ALONE || self.nodes.len() <= 1 {
            return None;
        }
        if let Some(chosen) = self.chosen.get(worker) {
            return chosen.filter(|node| !self.is_avoided(*node));
        }
        let best = self.nodes.iter().max_by(|one, other| {
            let one = self.score(one, worker);
            one.total_cmp(&self.score(other, worker))
        });
        let best = best.filter(|best| Some(&best.node) != self.owner.as_ref());
        let best = best.map(|best| best.address);
        self.chosen.insert(worker.clone(), best);
        best.filter(|node| !self.is_avoided(*node))
    }

    fn is_avoided(&self, node: SocketAddr) -> bool {
        let until = self.avoided.get(&node);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Has the owner give the orders of a node for a while; false where it does already.
    pub(crate) fn avoid(&mut self, node: SocketAddr) -> bool {
        let is_news = !self.is_avoided(node);
        self.avoided.insert(node, Instant::now() + AVOID);
        is_news
    }

    /// Scores a node for a worker: a number between zero and one, drawn by their names, whose root of
    /// the node's weight is compared.
    fn score(&self, peer: &Peer, worker: &WorkerId) -> f64 {
        let mut hasher = FxHasher::default();
        (peer.node.as_str(), worker.as_str()).hash(&mut hasher);
        // The hasher's upper bits are its best ones.
        let drawn = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        let is_owner = Some(&peer.node) == self.owner.as_ref();
        let part = if is_owner { OWNER_PART } else { 1 };
        let weight = f64::from(peer.processor.get() / part).max(1.0);
        drawn.max(f64::MIN_POSITIVE).ln() / weight
    }
}
