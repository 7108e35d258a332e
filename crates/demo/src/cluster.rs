//! Gates and scheds on the stand-ins, all in one process, on loopback.

use std::{
    io,
    net::SocketAddr, //
};

use fulmarpier_coordination::platform::vm;
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
}

/// Running stand-ins, scheds and gates.
pub struct Cluster {
    /// The stand-ins.
    pub platform: Handle,
    /// The scheds, by node.
    pub scheds: Vec<Sched>,
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
            scheds.push(Sched::start(&file, log.clone())?);
        }
        let cluster = Self { platform, scheds };
        cluster.list();
        Ok(cluster)
    }

    /// Puts the nodes on the VM list.
    fn list(&self) {
        let addresses = self.scheds.iter().map(Sched::rpc_address);
        let entries = (1..).zip(addresses).map(entry).collect();
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
        "shards_per_data_centre": 2,
    });
    settings::parse(&document.to_string())
}
