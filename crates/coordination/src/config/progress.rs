//! Which node has which version in force.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Incarnation,
        NodeId, //
    },
};

use super::Version;

/// How many unlisted nodes are kept in mind.
const MAX_UNLISTED: usize = 64;
/// How many versions are kept for each node, newest last.
const MAX_STEPS: usize = 16;

/// What a node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The node.
    pub node: NodeId,
    /// Which life of its process this is.
    pub incarnation: Incarnation,
    /// The version that it has in force.
    pub version: Version,
}

/// How far one version has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// The nodes that have it in force, with the time at which this was first heard.
    pub reached: Vec<(NodeId, Timestamp)>,
    /// The nodes that are behind, with their version and the time at which they were last heard.
    pub behind: Vec<(NodeId, Version, Timestamp)>,
    /// Listed nodes that never reported.
    pub silent: Vec<NodeId>,
    /// Nodes that report and are not listed; they don't count.
    pub unlisted: Vec<NodeId>,
}

impl InForce {
    /// Returns whether all listed nodes have the version in force.
    pub fn is_everywhere(&self) -> bool {
        self.behind.is_empty() && self.silent.is_empty() && !self.reached.is_empty()
    }

    /// Returns when the last listed node got it, if all have it.
    pub fn complete_at(&self) -> Option<Timestamp> {
        let last = self.reached.iter().map(|(_, at)| *at).max();
        last.filter(|_| self.is_everywhere())
    }
}

#[derive(Clone, Debug)]
struct Node {
    incarnation: Incarnation,
    heard_at: Timestamp,
    /// The versions that it reached and when, oldest first.
    steps: Vec<(Version, Timestamp)>,
}

impl Node {
    fn version(&self) -> Version {
        self.steps
            .last()
            .map_or(Version::NONE, |(version, _)| *version)
    }

    fn reached(&self, version: Version) -> Option<Timestamp> {
        let step = self.steps.iter().find(|(reached, _)| *reached >= version);
        step.map(|(_, at)| *at)
    }
}

/// Which node has which version in force, as far as this node has heard.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    listed: BTreeSet<NodeId>,
    nodes: BTreeMap<NodeId, Node>,
}

impl Progress {
    /// Makes a progress without nodes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest version that a node has reported.
    pub fn version_of(&self, node: NodeId) -> Option<Version> {
        let steps = &self.nodes.get(&node)?.steps;
        steps.last().map(|(version, _)| *version)
    }

    /// Sets which nodes count, by the VM list.
    pub fn list(&mut self, nodes: BTreeSet<NodeId>) {
        self.listed = nodes;
        self.forget_unlisted();
    }

    /// Takes in what a node says; a report of an earlier life is passed over.
    pub fn report(&mut self, report: Report, now: Timestamp) {
        let fresh = || Node {
            incarnation: report.incarnation,
            heard_at: now,
            steps: Vec::new(),
        };
        let node = self.nodes.entry(report.node).or_insert_with(fresh);
        if report.incarnation < node.incarnation {
            return;
        }
        if report.incarnation > node.incarnation {
            *node = fresh();
        }
        node.heard_at = now;
        if node.steps.is_empty() || report.version > node.version() {
            node.steps.push((report.version, now));
        }
        if node.steps.len() > MAX_STEPS {
            node.steps.remove(0);
        }
        self.forget_unlisted();
    }

    /// Returns how far a version has come.
    pub fn of(&self, version: Version) -> InForce {
        let mut answer = InForce::default();
        for &id in &self.listed {
            match self.nodes.get(&id) {
                None => answer.silent.push(id),
                Some(node) => match node.reached(version) {
                    Some(at) => answer.reached.push((id, at)),
                    None => answer.behind.push((id, node.version(), node.heard_at)),
                },
            }
        }
        answer.unlisted = self.unlisted().collect();
        answer
    }

    fn unlisted(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.nodes
            .keys()
            .filter(|id| !self.listed.contains(id))
            .copied()
    }

    /// Keeps the unlisted nodes that were heard last, up to the bound.
    fn forget_unlisted(&mut self) {
        let mut unlisted: Vec<NodeId> = self.unlisted().collect();
        if unlisted.len() <= MAX_UNLISTED {
            return;
        }
        unlisted.sort_by_key(|id| std::cmp::Reverse(self.nodes[id].heard_at));
        for id in unlisted.drain(MAX_UNLISTED..) {
            self.nodes.remove(&id);
        }
    }
}
