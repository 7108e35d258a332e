//! Settings of a node of a cell, `fulmarpier-platform`.

use std::net::SocketAddr;

use fulmarpier_state::unit::Span;

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

/// The largest factor that a task may slow down by away from its data.
const MOST_PENALTY: f64 = 100.0;

/// The settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The node's name, the same over all its lives.
    pub name: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node takes connections.
    pub readiness: SocketAddr,
    /// Where other nodes are answered.
    pub peers: SocketAddr,
    /// Where the metrics are read.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The advice service; without one no queue may ask for advice.
    pub advice: Option<SocketAddr>,
    /// What the platform promises of its workers.
    pub workers: Workers,
    /// How long a graceful stop may take until the process is killed.
    pub grace: Span,
    /// How much is logged.
    pub log_level: Level,
}

/// What the platform promises of its workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workers {
    /// The longest lease that a worker grants.
    pub lease: Span,
    /// How long a worker may take to stop a task.
    pub stop_grace: Span,
    /// How long the members of a gang wait for the others.
    pub gang_wait: Span,
    /// How many times as long a task takes away from its data.
    pub remote_penalty: f64,
    /// How long a task takes to resume from a checkpoint.
    pub restore: Span,
}

impl Form for Node {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.required("name");
        let callers = section.required("callers");
        let readiness = section.required("readiness");
        let peers = section.required("peers");
        let metrics = section.required("metrics");
        let store = section.required("store");
        let advice = section.optional("advice");
        let workers = section.form("workers");
        let grace = section.within(
            "grace",
            Span::from_secs(6),
            Span::from_millis(500)..=Span::from_secs(600),
        );
        let log_level = section.or("log_level", Level::Info);
        Some(Self {
            name: name?,
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
            store: store?,
            advice: advice?,
            workers: workers?,
            grace: grace?,
            log_level: log_level?,
        })
    }
}

impl Form for Workers {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let hour = Span::from_secs(3_600);
        let lease = section.within("lease", Span::from_secs(6), Span::from_secs(1)..=hour);
        let stop_grace =
            section.within("stop_grace", Span::from_millis(900), Span::default()..=hour);
        let gang_wait =
            section.within("gang_wait", Span::from_secs(3), Span::from_millis(1)..=hour);
        let remote_penalty = section.within("remote_penalty", 1.5, 1.0..=MOST_PENALTY);
        let restore = section.within("restore", Span::from_millis(250), Span::default()..=hour);
        Some(Self {
            lease: lease?,
            stop_grace: stop_grace?,
            gang_wait: gang_wait?,
            remote_penalty: remote_penalty?,
            restore: restore?,
        })
    }
}

impl TryFrom<Document> for Node {
    type Error = Errors;

    fn try_from(raw: Document) -> Result<Self, Errors> {
        document(&raw)
    }
}
