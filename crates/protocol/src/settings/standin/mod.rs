//! Settings of `fulmarpier-standin`.

mod entry;
mod log;
mod shape;
mod workers;

use std::net::SocketAddr;

use fulmarpier_state::{
    id::RegionId,
    unit::Span, //
};

pub use self::{
    entry::Entry,
    log::Log,
    shape::Shape,
    workers::Workers, //
};
use super::{
    Document,
    form::{
        Errors,
        Form,
        Section,
        section::document, //
    },
    value::Level,
};

const MAX_THREADS: u16 = 256;

/// The settings of the stand-ins of log, VM list, workers and targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Standin {
    /// Where the log, the list of VMs, the record and the faults are served.
    pub listen: SocketAddr,
    /// The region of all machines.
    pub region: RegionId,
    /// The entry VMs that the list names.
    pub entries: Vec<Entry>,
    /// The workers.
    pub workers: Workers,
    /// The log.
    pub log: Log,
    /// By how much the list of VMs lags.
    pub vm_list_lag: Span,
    /// How long a target works on a request that does not say.
    pub target_delay: Span,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Threads for traffic.
    pub traffic_threads: u16,
    /// How much is logged.
    pub log_level: Level,
}

impl Form for Standin {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let listen = section.required("listen");
        let region = section.or("region", RegionId(1));
        let entries = section.forms::<Entry>("entries");
        let workers = section.form("workers");
        let log = section.form("log");
        let vm_list_lag = section.or("vm_list_lag", Span::from_secs(2));
        let target_delay = section.or("target_delay", Span::from_millis(5));
        let seed = section.or("seed", 1);
        let traffic_threads = section.within("traffic_threads", 4, 1..=MAX_THREADS);
        let log_level = section.or("log_level", Level::Info);
        check_entries(section, entries.as_deref());
        Some(Self {
            listen: listen?,
            region: region?,
            entries: entries?,
            workers: workers?,
            log: log?,
            vm_list_lag: vm_list_lag?,
            target_delay: target_delay?,
            seed: seed?,
            traffic_threads: traffic_threads?,
            log_level: log_level?,
        })
    }
}

impl TryFrom<Document> for Standin {
    type Error = Errors;

    fn try_from(raw: Document) -> Result<Self, Self::Error> {
        document(&raw)
    }
}

fn check_entries(section: &mut Section<'_>, entries: Option<&[Entry]>) {
    let entries = entries.unwrap_or_default();
    let nodes: Vec<_> = entries.iter().map(|entry| entry.node).collect();
    section.unique("entries", &nodes);
}
