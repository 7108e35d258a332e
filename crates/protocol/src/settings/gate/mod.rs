//! Settings of `fulmarpier-gate`.

mod limits;
mod operator;
mod retry;

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
    operator::Operator,
    retry::Retry, //
};
use super::{
    Document,
    form::{
        Errors,
        Form,
        Section,
        section::document, //
    },
    value::{
        Level,
        Peer,
        peer, //
    },
};

const MAX_THREADS: u16 = 256;
const MAX_SHARDS: u16 = 100;

/// The settings of one gate.
#[derive(Clone, Debug, PartialEq)]
pub struct Gate {
    /// The node that the gate runs on.
    pub node: NodeId,
    /// The region of the node.
    pub region: RegionId,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
    /// All data centres of the region; with the count of shards they say where keys are at home, so
    /// all gates and scheds of a region must agree on both.
    pub data_centres: Vec<DataCentreId>,
    /// Into how many shards the workers of each data centre fall.
    pub shards_per_data_centre: u16,
    /// Where callers and operators are served.
    pub listen: SocketAddr,
    /// The scheds of the region, at least one.
    pub scheds: Vec<Peer>,
    /// How often each sched is called.
    pub sync_interval: Span,
    /// Bounds on requests.
    pub limits: Limits,
    /// How requests are tried again.
    pub retry: Retry,
    /// Who may give commands.
    pub operators: Vec<Operator>,
    /// How long a graceful stop may take.
    pub drain: Span,
    /// Threads for traffic.
    pub traffic_threads: u16,
    /// How much is logged.
    pub log_level: Level,
}

impl Form for Gate {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let node = section.required("node");
        let region = section.required("region");
        let data_centre = section.required("data_centre");
        let data_centres = section.values::<DataCentreId>("data_centres");
        let shards = section.within("shards_per_data_centre", 2, 1..=MAX_SHARDS);
        let listen = section.required("listen");
        let scheds = section.forms::<Peer>("scheds");
        let sync_interval = section.within(
            "sync_interval",
            Span::from_millis(500),
            Span::from_millis(10)..=Span::from_secs(60),
        );
        let limits = section.form("limits");
        let retry = section.form("retry");
        let operators = section.forms::<Operator>("operators");
        let drain = section.or("drain", Span::from_secs(30));
        let traffic_threads = section.within("traffic_threads", 4, 1..=MAX_THREADS);
        let log_level = section.or("log_level", Level::Info);
        check_data_centres(section, data_centres.as_deref());
        check_scheds(section, scheds.as_deref());
        check_operators(section, operators.as_deref());
        Some(Self {
            node: node?,
            region: region?,
            data_centre: data_centre?,
            data_centres: data_centres?,
            shards_per_data_centre: shards?,
            listen: listen?,
            scheds: scheds?,
            sync_interval: sync_interval?,
            limits: limits?,
            retry: retry?,
            operators: operators?,
            drain: drain?,
            traffic_threads: traffic_threads?,
            log_level: log_level?,
        })
    }
}

impl Gate {
    /// Returns the operator who holds the token, if any.
    ///
    /// Every token is compared, so that the time tells nothing about which one matched.
    pub fn operator(&self, token: &str) -> Option<&Operator> {
        let mut found = None;
        for operator in &self.operators {
            if operator.token.matches(token) {
                found = Some(operator);
            }
        }
        found
    }
}

impl TryFrom<Document> for Gate {
    type Error = Errors;

    fn try_from(raw: Document) -> Result<Self, Self::Error> {
        document(&raw)
    }
}

fn check_data_centres(section: &mut Section<'_>, data_centres: Option<&[DataCentreId]>) {
    if let Some(data_centres) = data_centres {
        section.not_empty("data_centres", data_centres);
        section.unique("data_centres", data_centres);
    }
}

fn check_scheds(section: &mut Section<'_>, scheds: Option<&[Peer]>) {
    if let Some(scheds) = scheds {
        section.not_empty("scheds", scheds);
        peer::check_unique(section, "scheds", scheds);
    }
}

fn check_operators(section: &mut Section<'_>, operators: Option<&[Operator]>) {
    let operators = operators.unwrap_or_default();
    let names: Vec<_> = operators.iter().map(|operator| &operator.name).collect();
    section.unique("operators", &names);
}
