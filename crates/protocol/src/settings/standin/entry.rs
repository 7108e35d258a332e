//! An entry VM in the list of VMs.

use std::net::SocketAddr;

use fulmarpier_state::id::{
    DataCentreId,
    NodeId, //
};

use crate::settings::form::{
    Form,
    Section, //
};

/// An entry VM in the list of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The node.
    pub node: NodeId,
    /// Where its sched takes calls.
    pub address: SocketAddr,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
}

impl Form for Entry {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let node = section.required("node");
        let address = section.required("address");
        let data_centre = section.required("data_centre");
        Some(Self {
            node: node?,
            address: address?,
            data_centre: data_centre?,
        })
    }
}
