//! The platform's list of VMs, which lags.

use std::net::SocketAddr;

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        NodeId,
        RackId,
        RegionId,
        WorkerId, //
    },
    resource::Resources, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It runs tasks.
    Worker(WorkerId),
    /// It runs a gate and a sched.
    Entry(NodeId),
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is up.
    #[default]
    Live,
    /// It goes soon; nothing new may be placed on it.
    Leaving,
}

/// One listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What it is for, with its id.
    pub role: Role,
    /// Where its control interface listens.
    pub address: SocketAddr,
    /// The region it is in.
    pub region: RegionId,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// The rack it is in.
    pub rack: RackId,
    /// What it offers; zero for entry VMs.
    pub capacity: Resources,
    /// Whether it stays.
    pub state: State,
}

/// The list as it was at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// The time at which the list was true.
    pub as_of: Timestamp,
    /// The VMs listed.
    pub entries: Vec<Entry>,
}

/// The ways in which asking for the list can fail.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No whole list came.
    #[error("the VM list is unavailable: {reason}")]
    Unavailable {
        /// What the transport said.
        reason: String,
    },
    /// The list could not be understood.
    #[error("the VM list is malformed: {reason}")]
    Malformed {
        /// What was wrong with it.
        reason: String,
    },
}
