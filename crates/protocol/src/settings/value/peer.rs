//! Another node and where its sched listens.

use std::net::SocketAddr;

use fulmarpier_state::id::NodeId;

use crate::settings::form::{
    Form,
    Section, //
};

/// A node whose sched is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// Where its sched takes calls of other processes.
    pub rpc_address: SocketAddr,
}

impl Form for Peer {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let node = section.required("node");
        let rpc_address = section.required("rpc_address");
        Some(Self {
            node: node?,
            rpc_address: rpc_address?,
        })
    }
}

/// Notes nodes and addresses that stand twice in a list of peers.
pub(in crate::settings) fn check_unique(section: &mut Section<'_>, key: &str, peers: &[Peer]) {
    let nodes: Vec<_> = peers.iter().map(|peer| peer.node).collect();
    let addresses: Vec<_> = peers.iter().map(|peer| peer.rpc_address).collect();
    section.unique(key, &nodes);
    section.unique(key, &addresses);
}
