//! Settings of a node of a cell, `fulmarpier-platform`.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_state::unit::{
    Bandwidth,
    Bytes,
    Millicores, //
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

/// The largest factor that a task may slow down by away from its data.
const MOST_PENALTY: f64 = 100.0;
/// The longest of the times here, in seconds.
const HOUR_S: f64 = 3_600.0;
/// The least and the most of a processor that a node can be given, in cores.
const LEAST_CORES: f64 = 0.01;
const MOST_CORES: f64 = 1_024.0;
/// The least and the most that a node's link can have, in megabits a second.
const LEAST_MEGABITS: f64 = 0.1;
const MOST_MEGABITS: f64 = 1_000_000.0;
/// The least and the most files and connections that a node can have open.
const LEAST_DESCRIPTORS: u32 = 64;
const MOST_DESCRIPTORS: u32 = 16_777_216;
/// The least and the most memory that a node's machine can have, in megabytes.
const LEAST_MEGABYTES: u32 = 48;
const MOST_MEGABYTES: u32 = 16_777_216;
/// The bytes of a megabyte.
const MEGABYTE: u64 = 1_000_000;

/// How much the platform's store usually takes in one record and in one call, in bytes.
const DEFAULT_RECORD_BYTES: u32 = 262_144;
const DEFAULT_CALL_BYTES: u32 = 2_097_152;
/// The least that a store may take at once: the text of a job alone has up to 4,000 bytes.
const LEAST_STORE_BYTES: u32 = 8_192;

/// The least time within which a key may have to be refused.
const LEAST_REVOKE_MS: f64 = 1_000.0;
/// The least time within which no task may be started any more in a data centre that was evacuated.
const LEAST_EVACUATE_MS: f64 = 1_000.0;

/// One in this many bytes of the machine's memory is for what clients send.
const CLIENT_MEMORY_DIVISOR: u64 = 8;
/// The least memory for what clients send, in megabytes: one body of the largest size fits in, with its copy.
const LEAST_CLIENT_MEGABYTES: u32 = 6;
/// One in this many descriptors is for clients: the others are for workers, other nodes, the store and files.
const CLIENT_DESCRIPTOR_DIVISOR: u32 = 6;
/// What a connection of a client takes by itself, in bytes: the head of a request, what was read behind it, a small answer
/// and its state.
const CLIENT_BYTES: u64 = 20 << 10;
/// How long the body of a request may take to come, in seconds.
const DEFAULT_BODY_S: f64 = 30.0;
/// How long a connection may be without a request, in seconds.
const DEFAULT_IDLE_S: f64 = 60.0;

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
    /// The greatest size of a record of the store, in bytes.
    pub store_record_bytes: u32,
    /// The greatest size of all records of one call of the store together, in bytes.
    pub store_call_bytes: u32,
    /// The advice service; without one no queue may ask for advice.
    pub advice: Option<SocketAddr>,
    /// What clients may take of the machine.
    pub clients: Clients,
    /// What the platform promises of its workers.
    pub workers: Workers,
    /// How long after it was taken away a key may be accepted by a node that can't read the configuration; `None` bounds
    /// that by nothing.
    pub revoke: Option<Duration>,
    /// How long after a data centre was evacuated a task may be started there; `None` bounds that by nothing.
    pub evacuate: Option<Duration>,
    /// The data centres; without any, whatever the operator names is one.
    pub data_centres: Vec<String>,
    /// How long a graceful stop may take until the process is killed.
    pub grace: Duration,
    /// How much of a processor the node may use.
    pub processor: Millicores,
    /// How much its link carries.
    pub link: Bandwidth,
    /// How many files and connections the node may have open.
    pub descriptors: u32,
    /// How much memory the node's machine has.
    pub memory: Bytes,
    /// How much is logged.
    pub log_level: Level,
}

/// What clients may take of the machine. Callers, the balancer and those who read the metrics are clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Clients {
    /// The memory for all that they send, beside what their connections take.
    pub memory: Bytes,
    /// The most connections of callers.
    pub connections: u32,
    /// How long a connection may be without a request, whose head must be whole by then.
    pub idle: Duration,
    /// How long the body of a request may take to come whole.
    pub body: Duration,
}

/// What the platform promises of its workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Workers {
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// How long a worker may take to stop a task.
    pub stop_grace: Duration,
    /// How long the members of a gang wait for the others.
    pub gang_wait: Duration,
    /// How many times as long a task takes away from its data.
    pub remote_penalty: f64,
    /// How long a task takes to resume from a checkpoint.
    pub restore: Duration,
    /// How much work lies between two checkpoints of a task.
    pub checkpoint: Duration,
}

impl Form for Node {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let name = section.required("name");
        let callers = section.required("callers");
        let readiness = section.required("readiness");
        let peers = section.required("peers");
        let metrics = section.required("metrics");
        let store = section.required("store");
        let store_record_bytes = section.within(
            "store_record_bytes",
            DEFAULT_RECORD_BYTES,
            LEAST_STORE_BYTES..=u32::MAX,
        );
        let store_call_bytes = section.within(
            "store_call_bytes",
            DEFAULT_CALL_BYTES,
            LEAST_STORE_BYTES..=u32::MAX,
        );
        let advice = section.optional("advice");
        let revoke = optional_millis(section, "revoke_ms", LEAST_REVOKE_MS);
        let evacuate = optional_millis(section, "evacuate_ms", LEAST_EVACUATE_MS);
        let data_centres: Option<Vec<String>> = section.values("data_centres");
        if let Some(data_centres) = &data_centres {
            section.unique("data_centres", data_centres);
        }
        let workers = section.form("workers");
        let grace = seconds(section, "grace_s", 6.0, 0.5);
        let processor = cores(section, "processor_cores", 1.0);
        let link = megabits(section, "link_mbps", 1_000.0);
        let descriptors =
            section.within("descriptors", 4_096, LEAST_DESCRIPTORS..=MOST_DESCRIPTORS);
        let memory = megabytes(section, "memory_mb", 256);
        let clients: Option<ClientLimits> = section.form("clients");
        let log_level = section.or("log_level", Level::Info);
        let (memory, descriptors) = (memory?, descriptors?);
        Some(Self {
            name: name?,
            callers: callers?,
            readiness: readiness?,
            peers: peers?,
            metrics: metrics?,
            store: store?,
            store_record_bytes: store_record_bytes?,
            store_call_bytes: store_call_bytes?,
            advice: advice?,
            workers: workers?,
            revoke: revoke?,
            evacuate: evacuate?,
            data_centres: data_centres?,
            grace: grace?,
            processor: processor?,
            link: link?,
            descriptors,
            memory,
            clients: clients?.on(memory, descriptors),
            log_level: log_level?,
        })
    }
}

/// The limits of clients as they are set; what isn't set follows from the machine.
#[derive(Clone, Copy, Debug)]
struct ClientLimits {
    memory: Option<Bytes>,
    connections: Option<u32>,
    idle: Duration,
    body: Duration,
}

impl ClientLimits {
    /// Returns the limits on a machine.
    fn on(self, memory: Bytes, descriptors: u32) -> Clients {
        let share = memory.get() / CLIENT_MEMORY_DIVISOR;
        let most = u32::try_from(share / CLIENT_BYTES).unwrap_or(u32::MAX);
        let connections = (descriptors / CLIENT_DESCRIPTOR_DIVISOR).min(most).max(1);
        Clients {
            memory: self.memory.unwrap_or(Bytes(share)),
            connections: self.connections.unwrap_or(connections),
            idle: self.idle,
            body: self.body,
        }
    }
}

impl Form for ClientLimits {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let memory = match section.optional::<u32>("memory_mb")? {
            Some(value) => {
                let range = LEAST_CLIENT_MEGABYTES..=MOST_MEGABYTES;
                let value = section.within("memory_mb", value, range)?;
                Some(Bytes(u64::from(value) * MEGABYTE))
            }
            None => None,
        };
        let connections = match section.optional::<u32>("connections")? {
            Some(value) => Some(section.within("connections", value, 1..=MOST_DESCRIPTORS)?),
            None => None,
        };
        let idle = seconds(section, "idle_s", DEFAULT_IDLE_S, 1.0);
        let body = seconds(section, "body_s", DEFAULT_BODY_S, 1.0);
        Some(Self {
            memory,
            connections,
            idle: idle?,
            body: body?,
        })
    }
}

impl Form for Workers {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let lease = millis(section, "lease_ms", 6_000.0, 1_000.0);
        let stop_grace = millis(section, "stop_grace_ms", 900.0, 0.0);
        let gang_wait = millis(section, "gang_wait_ms", 3_000.0, 1.0);
        let remote_penalty = section.within("remote_penalty", 1.5, 1.0..=MOST_PENALTY);
        let restore = millis(section, "restore_ms", 250.0, 0.0);
        let checkpoint = seconds(section, "checkpoint_s", 0.5, 0.0);
        Some(Self {
            lease: lease?,
            stop_grace: stop_grace?,
            gang_wait: gang_wait?,
            remote_penalty: remote_penalty?,
            restore: restore?,
            checkpoint: checkpoint?,
        })
    }
}

/// Reads a number of cores, which may be a fraction.
fn cores(section: &mut Section<'_>, key: &'static str, default: f64) -> Option<Millicores> {
    let value = section.within(key, default, LEAST_CORES..=MOST_CORES)?;
    let millicores = Duration::try_from_secs_f64(value).ok()?.as_millis();
    u32::try_from(millicores).ok().map(Millicores)
}

/// Reads a number of megabits a second, which may be a fraction.
fn megabits(section: &mut Section<'_>, key: &'static str, default: f64) -> Option<Bandwidth> {
    let value = section.within(key, default, LEAST_MEGABITS..=MOST_MEGABITS)?;
    // A millionth of a second for each bit: the conversion checks the range.
    let bits = Duration::try_from_secs_f64(value).ok()?.as_micros();
    u64::try_from(bits).ok().map(Bandwidth)
}

/// Reads a number of megabytes.
fn megabytes(section: &mut Section<'_>, key: &'static str, default: u32) -> Option<Bytes> {
    let value = section.within(key, default, LEAST_MEGABYTES..=MOST_MEGABYTES)?;
    Some(Bytes(u64::from(value) * MEGABYTE))
}

/// Reads a number of seconds, which may be a fraction.
fn seconds(
    section: &mut Section<'_>,
    key: &'static str,
    default: f64,
    least: f64,
) -> Option<Duration> {
    let value = section.within(key, default, least..=HOUR_S)?;
    Duration::try_from_secs_f64(value).ok()
}

/// Reads a number of milliseconds, which may be a fraction.
fn millis(
    section: &mut Section<'_>,
    key: &'static str,
    default: f64,
    least: f64,
) -> Option<Duration> {
    let value = section.within(key, default, least..=HOUR_S * 1_000.0)?;
    Duration::try_from_secs_f64(value / 1_000.0).ok()
}

/// Reads a number of milliseconds that may be left out.
fn optional_millis(
    section: &mut Section<'_>,
    key: &'static str,
    least: f64,
) -> Option<Option<Duration>> {
    match section.optional::<f64>(key)? {
        Some(value) => millis(section, key, value, least).map(Some),
        None => Some(None),
    }
}

impl TryFrom<Document> for Node {
    type Error = Errors;

    fn try_from(raw: Document) -> Result<Self, Errors> {
        document(&raw)
    }
}
