//! The workers of the stand-in.

use std::net::{
    IpAddr,
    Ipv4Addr,
    SocketAddr, //
};

use super::Shape;
use crate::settings::form::{
    Form,
    Mistake,
    Section, //
};

const MAX_WORKERS: u16 = 10_000;
const DEFAULT_FIRST: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7_500);

/// The workers, which fall evenly into data centres and there into racks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Workers {
    /// How many there are.
    pub count: u16,
    /// Where the first one listens; each further one takes the next port, or any if it is zero.
    pub first_address: SocketAddr,
    /// How many workers share a rack.
    pub per_rack: u16,
    /// How many data centres there are.
    pub data_centres: u16,
    /// What each one offers.
    pub shape: Shape,
}

impl Form for Workers {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let count = section.within("count", 50, 1..=MAX_WORKERS);
        let first_address = section.or("first_address", DEFAULT_FIRST);
        let per_rack = section.within("per_rack", 8, 1..=MAX_WORKERS);
        let data_centres = section.within("data_centres", 3, 1..=1_000);
        let shape = section.form("shape");
        check_ports(section, count, first_address);
        Some(Self {
            count: count?,
            first_address: first_address?,
            per_rack: per_rack?,
            data_centres: data_centres?,
            shape: shape?,
        })
    }
}

/// Notes a first port that leaves too few ports for the workers behind it.
fn check_ports(section: &mut Section<'_>, count: Option<u16>, first: Option<SocketAddr>) {
    let (Some(count), Some(first)) = (count, first) else {
        return;
    };
    if first.port() == 0 || first.port().checked_add(count - 1).is_some() {
        return;
    }
    let mistake = Mistake::Relation {
        relation: "low enough for one port to each of",
        other: "count",
        value: count.to_string(),
    };
    section.note::<()>("first_address", mistake);
}
