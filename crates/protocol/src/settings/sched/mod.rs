//! Settings of `fulmarpier-sched`.

mod limits;
mod timings;

use std::net::SocketAddr;

use fulmarpier_state::{
    id::{
        DataCentreId,
        NodeId,
        RegionId, //
    },
    unit::Span,
};

pub use self::{
    limits::Limits,
    timings::Timings, //
};
use super::{
    Document,
    form::{
        Errors,
        Form,
        Mistake,
        Section,
        section::document, //
    },
    value::{
        Level,
        Peer,
        Url,
        peer, //
    },
};

const MAX_THREADS: u16 = 256;
const MAX_SHARDS: u16 = 100;

/// The settings of one sched.
#[derive(Clone, Debug, PartialEq)]
pub struct Sched {
    /// The node that the sched runs on.
    pub node: NodeId,
    /// The region of the node.
    pub region: RegionId,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
    /// Where calls of gates and other scheds are taken.
    pub rpc_listen: SocketAddr,
    /// Where metrics and health are served.
    pub http_listen: SocketAddr,
    /// The other scheds of the region.
    pub peers: Vec<Peer>,
    /// The platform's log.
    pub log_url: Url,
    /// The platform's list of VMs.
    pub vms_url: Url,
    /// Into how many shards the workers of each data centre fall.
    pub shards_per_data_centre: u16,
    /// Leases and intervals.
    pub timings: Timings,
    /// Bounds on memory.
    pub limits: Limits,
    /// Threads for control state; always one.
    pub control_threads: u16,
    /// Threads for traffic.
    pub traffic_threads: u16,
    /// How long a graceful stop may take.
    pub drain: Span,
    /// How much is logged.
    pub log_level: Level,
}

impl Form for Sched {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let node = section.required("node");
        let region = section.required("region");
        let data_centre = section.required("data_centre");
        let rpc_listen = section.required("rpc_listen");
        let http_listen = section.required("http_listen");
        let peers = section.forms::<Peer>("peers");
        let log_url = section.required("log_url");
        let vms_url = section.required("vms_url");
        let shards = section.within("shards_per_data_centre", 2, 1..=MAX_SHARDS);
        let timings = section.form("timings");
        let limits = section.form("limits");
        let control_threads = section.within("control_threads", 1, 1..=1);
        let traffic_threads = section.within("traffic_threads", 2, 1..=MAX_THREADS);
        let drain = section.or("drain", Span::from_secs(30));
        let log_level = section.or("log_level", Level::Info);
        check_peers(section, node, peers.as_deref());
        Some(Self {
            node: node?,
            region: region?,
            data_centre: data_centre?,
            rpc_listen: rpc_listen?,
            http_listen: http_listen?,
            peers: peers?,
            log_url: log_url?,
            vms_url: vms_url?,
            shards_per_data_centre: shards?,
            timings: timings?,
            limits: limits?,
            control_threads: control_threads?,
            traffic_threads: traffic_threads?,
            drain: drain?,
            log_level: log_level?,
        })
    }
}

impl TryFrom<Document> for Sched {
    type Error = Errors;

    fn try_from(raw: Document) -> Result<Self, Self::Error> {
        document(&raw)
    }
}

fn check_peers(section: &mut Section<'_>, node: Option<NodeId>, peers: Option<&[Peer]>) {
    let Some(peers) = peers else {
        return;
    };
    peer::check_unique(section, "peers", peers);
    if let Some(own) = peers.iter().find(|peer| Some(peer.node) == node) {
        let value = own.node.to_string();
        section.note::<()>("peers", Mistake::Own { value });
    }
}
