//! What a worker offers.

use fulmarpier_state::{
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

use crate::settings::form::{
    Form,
    Section, //
};

/// What each worker offers, and how many requests its targets take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Processors, memory and accelerators.
    pub capacity: Resources,
    /// The most connections that a target accepts.
    pub connections: u16,
}

impl Form for Shape {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let least = Millicores::from_cores(1);
        let most = Millicores::from_cores(4_096);
        let cpu = section.within("cpu", Millicores::from_cores(16), least..=most);
        let least = Bytes::from_mib(64);
        let most = Bytes::from_gib(64 << 10);
        let memory = section.within("memory", Bytes::from_gib(32), least..=most);
        let accelerators = section.or("accelerators", 0);
        let connections = section.within("connections", 60, 1..=10_000);
        Some(Self {
            capacity: Resources::new(cpu?, memory?, accelerators?),
            connections: connections?,
        })
    }
}
