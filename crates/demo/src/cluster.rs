//! Gates and scheds on the stand-ins, all in one process, on loopback.

use std::{
    io,
    net::SocketAddr, //
};

use fulmarpier_coordination::platform::vm;
use fulmarpier_gate::Gate;
use fulmarpier_protocol::settings;
use fulmarpier_sched::process::Sched;
use fulmarpier_standin::{
    Handle,
    Platform,
    Settings, //
};
use fulmarpier_state::{
    id::{
        DataCentreId,
        NodeId,
        RackId,
        RegionId, //
    },
    resource::Resources, //
};
use serde_json::json;
use slog::Logger;

/// The token of the demonstration's operator.
pub const TOKEN: &str = "demonstration-only-token";
/// How many shards each data centre has.
const SHARDS: u16 = 2;

/// How many there are of each.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Nodes, each with a gate and a sched.
    pub nodes: u16,
    /// Workers.
    pub workers: u32,
}

/// Why a cluster can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stand-ins can't listen.
    #[error("the stand-ins can't be started")]
    Standin(#[from] io::Error),
    /// The settings made for a process are refused.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A sched can't start.
    #[error(transparent)]
    Sched(#[from] fulmarpier_sched::process::Error),
    /// A gate can't start.
    #[error(transparent)]
    Gate(#[from] fulmarpier_gate::Error),
}

/// Running stand-ins, scheds and gates.
pub struct Cluster {
    /// The stand-ins.
    pub platform: Handle,
    /// The scheds, by node.
    pub scheds: Vec<Sched>,
    /// The gates, by node.
    pub gates: Vec<Gate>,
}

impl Cluster {
    /// Starts a cluster over three data centres.
    ///
    /// # Errors
    ///
    /// Fails where a port or a thread is refused.
    pub async fn start(size: Size, log: &Logger) -> Result<Self, Error> {
        let platform = Platform::start(Settings::new(size.workers)).await?;
        let mut scheds = Vec::new();
        for number in 1..=size.nodes {
            let file = sched_settings(number, platform.control())?;
            scheds.push(Sched::start(&file, log)?);
        }
        let mut cluster = Self {
            platform,
            scheds,
            gates: Vec::new(),
        };
        cluster.list();
        for number in 1..=size.nodes {
            let file = gate_settings(number, &cluster.addresses())?;
            let gate = Gate::start(file, log.clone()).await?;
            cluster.gates.push(gate);
        }
        Ok(cluster)
    }

    /// Returns where the gate of a node listens; nodes count from zero here.
    pub fn gate(&self, index: usize) -> Option<SocketAddr> {
        self.gates.get(index).map(Gate::address)
    }

    /// Returns where the scheds listen, by node.
    fn addresses(&self) -> Vec<SocketAddr> {
        self.scheds.iter().map(Sched::rpc_address).collect()
    }

    /// Puts the nodes on the VM list.
    fn list(&self) {
        let entries = (1..).zip(self.addresses()).map(entry).collect();
        self.platform.list(entries);
    }
}

fn data_centre(number: u16) -> DataCentreId {
    DataCentreId((number - 1) % 3 + 1)
}

fn entry((number, address): (u16, SocketAddr)) -> vm::Entry {
    vm::Entry {
        role: vm::Role::Entry(NodeId(number.into())),
        address,
        region: RegionId(1),
        data_centre: data_centre(number),
        rack: RackId(0),
        capacity: Resources::ZERO,
        state: vm::State::Live,
    }
}

fn sched_settings(
    number: u16,
    platform: SocketAddr,
) -> Result<settings::sched::Sched, settings::Error> {
    let document = json!({
        "node": format!("n{number}"),
        "region": "reg1",
        "data_centre": data_centre(number).to_string(),
        "rpc_listen": "127.0.0.1:0",
        "http_listen": "127.0.0.1:0",
        "peers": [],
        "log_url": format!("http://{platform}"),
        "vms_url": format!("http://{platform}"),
        "shards_per_data_centre": SHARDS,
    });
    settings::parse(&document.to_string())
}

fn gate_settings(
    number: u16,
    scheds: &[SocketAddr],
) -> Result<settings::gate::Gate, settings::Error> {
    let peer = |(node, address): (u16, &SocketAddr)| {
        json!({
            "node": format!("n{node}"),
            "rpc_address": address.to_string(),
        })
    };
    let document = json!({
        "node": format!("n{number}"),
        "region": "reg1",
        "data_centre": data_centre(number).to_string(),
        "data_centres": ["dc1", "dc2", "dc3"],
        "shards_per_data_centre": SHARDS,
        "listen": "127.0.0.1:0",
        "scheds": (1..).zip(scheds).map(peer).collect::<Vec<_>>(),
        "operators": [{"name": "demo", "token": TOKEN}],
    });
    settings::parse(&document.to_string())
}
