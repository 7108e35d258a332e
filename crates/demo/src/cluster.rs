//! Gates and scheds on the stand-ins, all in one process, on loopback.

use std::{
    io,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
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
const SHARDS: u16 = 1;
/// Any port of this machine.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

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
    /// A gate can't start, or did not leave in order.
    #[error(transparent)]
    Gate(#[from] fulmarpier_gate::Error),
}

/// One entry VM.
struct Node {
    number: u16,
    /// Where its sched listens, in every life.
    address: SocketAddr,
    /// Where its gate listens, in every life.
    front: SocketAddr,
    sched: Option<Sched>,
    gate: Option<Gate>,
}

/// Running stand-ins, scheds and gates.
pub struct Cluster {
    /// The stand-ins.
    pub platform: Handle,
    nodes: Vec<Node>,
    log: Logger,
}

impl Cluster {
    /// Starts a cluster over three data centres.
    ///
    /// # Errors
    ///
    /// Fails where a port or a thread is refused.
    pub async fn start(size: Size, log: &Logger) -> Result<Self, Error> {
        let platform = Platform::start(Settings::new(size.workers)).await?;
        let mut nodes = Vec::new();
        for number in 1..=size.nodes {
            let sched = start_sched(number, ANY, platform.control(), log)?;
            nodes.push(Node {
                number,
                address: sched.rpc_address(),
                front: ANY,
                sched: Some(sched),
                gate: None,
            });
        }
        let entries = nodes.iter().map(entry).collect();
        platform.list(entries);
        let mut cluster = Self {
            platform,
            nodes,
            log: log.clone(),
        };
        for index in 0..cluster.nodes.len() {
            cluster.start_gate(index).await?;
        }
        Ok(cluster)
    }

    /// Returns where the gates listen that are up.
    pub fn gates(&self) -> Vec<SocketAddr> {
        let up = self.nodes.iter().filter(|node| node.gate.is_some());
        up.map(|node| node.front).collect()
    }

    /// Returns how many nodes there are, up or not.
    pub const fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether there is no node.
    pub const fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Lets a node leave in order: its gate first, then its sched.
    ///
    /// # Errors
    ///
    /// Fails if the gate did not leave in order.
    pub async fn leave(&mut self, index: usize) -> Result<(), Error> {
        if let Some(gate) = self.nodes[index].gate.take() {
            gate.stop().await?;
        }
        if let Some(sched) = self.nodes[index].sched.take() {
            sched.leave().await;
        }
        Ok(())
    }

    /// Ends a node's sched at once, as when its process dies; its gate stays.
    pub fn kill_sched(&mut self, index: usize) {
        self.nodes[index].sched = None;
    }

    /// Starts whatever of a node is not up, at its old addresses.
    ///
    /// # Errors
    ///
    /// Fails where a port or a thread is refused.
    pub async fn restart(&mut self, index: usize) -> Result<(), Error> {
        let node = &mut self.nodes[index];
        if node.sched.is_none() {
            let platform = self.platform.control();
            let sched = start_sched(node.number, node.address, platform, &self.log)?;
            node.sched = Some(sched);
        }
        if node.gate.is_none() {
            self.start_gate(index).await?;
        }
        Ok(())
    }

    async fn start_gate(&mut self, index: usize) -> Result<(), Error> {
        let scheds: Vec<SocketAddr> = self.nodes.iter().map(|node| node.address).collect();
        let node = &mut self.nodes[index];
        let file = gate_settings(node.number, node.front, &scheds)?;
        let gate = Gate::start(file, self.log.clone()).await?;
        node.front = gate.address();
        node.gate = Some(gate);
        Ok(())
    }
}

fn data_centre(number: u16) -> DataCentreId {
    DataCentreId((number - 1) % 3 + 1)
}

fn entry(node: &Node) -> vm::Entry {
    vm::Entry {
        role: vm::Role::Entry(NodeId(node.number.into())),
        address: node.address,
        region: RegionId(1),
        data_centre: data_centre(node.number),
        rack: RackId(0),
        capacity: Resources::ZERO,
        state: vm::State::Live,
    }
}

fn start_sched(
    number: u16,
    listen: SocketAddr,
    platform: SocketAddr,
    log: &Logger,
) -> Result<Sched, Error> {
    let document = json!({
        "node": format!("n{number}"),
        "region": "reg1",
        "data_centre": data_centre(number).to_string(),
        "rpc_listen": listen.to_string(),
        "http_listen": ANY.to_string(),
        "peers": [],
        "log_url": format!("http://{platform}"),
        "vms_url": format!("http://{platform}"),
        "shards_per_data_centre": SHARDS,
    });
    let file = settings::parse(&document.to_string())?;
    Ok(Sched::start(&file, log)?)
}

fn gate_settings(
    number: u16,
    listen: SocketAddr,
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
        "listen": listen.to_string(),
        "scheds": (1..).zip(scheds).map(peer).collect::<Vec<_>>(),
        "operators": [{"name": "demo", "token": TOKEN}],
    });
    settings::parse(&document.to_string())
}
