//! A gate between a scripted sched and the stand-in's targets.
#![expect(dead_code, reason = "Each test file uses a part of it.")]

pub(crate) mod sched;

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::Duration, //
};

use fulmarpier_coordination::{
    config::Document,
    platform::target::{
        Id,
        Target as Known, //
    },
};
use fulmarpier_gate::Gate;
use fulmarpier_protocol::settings;
use fulmarpier_standin::{
    fault::Faults,
    record::Record,
    target::{
        Host,
        Target, //
    },
};
use fulmarpier_state::{
    id::{
        Attempt,
        JobId,
        NodeId,
        TaskId,
        WorkerId, //
    },
    refusal::Reason,
};
use fulmarpier_transport::clock::Clock;
use reqwest::{
    Client,
    RequestBuilder,
    Response, //
};
use serde_json::Value;
use socket2::{
    Domain,
    Socket,
    Type, //
};
use tokio::{
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};

pub(crate) use self::sched::Sched;

/// The operator's token of the gates.
pub(crate) const TOKEN: &str = "0123456789abcdef";
/// The nodes of the scripted scheds.
pub(crate) const NODES: [NodeId; 2] = [NodeId(1), NodeId(2)];
/// What every test waits for at most before it fails, far above what it takes.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

/// The targets of one stand-in worker.
pub(crate) struct Targets {
    host: Host,
    open: Vec<Target>,
    pause: watch::Sender<bool>,
}

impl Targets {
    pub(crate) fn new() -> Self {
        let (pause, paused) = watch::channel(false);
        let host = Host {
            worker: WorkerId(1),
            ip: [127, 0, 0, 1].into(),
            connections: 60,
            work: Duration::ZERO,
            clock: Clock::start(),
            record: Record::new(10_000),
            faults: Faults::new(1, Duration::ZERO),
            paused,
        };
        Self {
            host,
            open: Vec::new(),
            pause,
        }
    }

    /// Opens a target with so many slots.
    pub(crate) fn open(&mut self, slots: u16) -> Known {
        let id = id(u32::try_from(self.open.len()).unwrap());
        let target = self.host.open(id, slots, 0).unwrap();
        let address = target.address();
        self.open.push(target);
        Known { id, address }
    }

    pub(crate) fn record(&self) -> &Record {
        &self.host.record
    }

    /// Returns how many requests were run.
    pub(crate) fn runs(&self) -> usize {
        self.host.record.requests(0, usize::MAX).len()
    }

    /// Waits until so many requests were begun.
    pub(crate) async fn began(&self, count: usize) {
        until(|| self.runs() >= count).await;
    }
}

/// A target on a port where nothing listens, and which nobody else gets while the tests run.
pub(crate) fn dead() -> Known {
    static BOUND: Mutex<Vec<Socket>> = Mutex::new(Vec::new());
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    BOUND.lock().unwrap().push(socket);
    Known {
        id: id(99),
        address,
    }
}

fn id(index: u32) -> Id {
    Id {
        task: TaskId::new(JobId::from_u128(7), index),
        attempt: Attempt(1),
    }
}

/// The configuration of the tests: the service `desk` of the team `repair`, and a second team.
pub(crate) fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "teams": {"repair": {"weight": 1}, "survey": {"weight": 1}},
        "services": {"desk": {"team": "repair", "deadline": "10s", "queue": 50}},
        "limits": {"body": "1MiB", "tasks": 100},
    }))
    .unwrap()
}

/// Starts a gate that knows the given scheds.
pub(crate) async fn gate(scheds: &[&Sched]) -> Gate {
    let peers: Vec<Value> = NODES
        .iter()
        .zip(scheds)
        .map(|(node, sched)| serde_json::json!({"node": node, "rpc_address": sched.address()}))
        .collect();
    start(peers).await
}

/// Starts a gate whose one sched isn't there.
pub(crate) async fn lonely_gate() -> Gate {
    let address: SocketAddr = dead().address;
    start(vec![
        serde_json::json!({"node": "n1", "rpc_address": address}),
    ])
    .await
}

async fn start(scheds: Vec<Value>) -> Gate {
    let text = serde_json::json!({
        "node": "n1", "region": "reg1", "data_centre": "dc1", "data_centres": ["dc1"],
        "shards_per_data_centre": 1, "listen": "127.0.0.1:0", "scheds": scheds,
        "sync_interval": "50ms", "drain": "20s", "traffic_threads": 2,
        "operators": [{"name": "duty", "token": TOKEN}],
    });
    let settings = settings::parse(&text.to_string()).unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Gate::start(settings, log).await.unwrap()
}

/// Waits until the gate has a sched and the configuration in force.
pub(crate) async fn ready(gate: &Gate) {
    timeout(PATIENCE, until_ready(gate)).await.unwrap();
}

async fn until_ready(gate: &Gate) {
    loop {
        let known = post(gate, "/v1/services/desk/requests").header("Fulmarpier-Deadline", "0s");
        let answer = known.send().await.unwrap();
        let ready = get(gate, "/readyz").send().await.unwrap().status();
        if ready == 200 && answer.status() != 404 {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until a condition holds.
pub(crate) async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, wait).await.unwrap();
}

pub(crate) fn url(gate: &Gate, path: &str) -> String {
    format!("http://{}{path}", gate.address())
}

pub(crate) fn get(gate: &Gate, path: &str) -> RequestBuilder {
    Client::new().get(url(gate, path)).timeout(PATIENCE)
}

pub(crate) fn post(gate: &Gate, path: &str) -> RequestBuilder {
    Client::new().post(url(gate, path)).timeout(PATIENCE)
}

/// Returns a header of an answer, empty where it has none.
pub(crate) fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().unwrap())
}

/// Returns status, reason and outcome of a problem, and whether it says when to come back.
pub(crate) async fn problem(response: Response) -> String {
    let status = response.status().as_u16();
    assert_eq!(
        header(&response, "content-type"),
        "application/problem+json"
    );
    let stated = header(&response, "fulmarpier-outcome").to_owned();
    let again = match header(&response, "retry-after") {
        "" => "final",
        _ => "later",
    };
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["outcome"], stated.as_str());
    assert_eq!(body["status"], status);
    let reason = body["reason"].as_str().unwrap();
    format!("{status} {reason} {stated} {again}")
}

/// Returns the count of a reason among the refusals.
pub(crate) async fn refusals(gate: &Gate, reason: Reason) -> u64 {
    counter(
        gate,
        &format!("fulmarpier_refusals_total{{reason=\"{reason}\"}}"),
    )
    .await
}

/// Returns the count of a reason among the retries.
pub(crate) async fn retries(gate: &Gate, reason: &str) -> u64 {
    counter(
        gate,
        &format!("fulmarpier_retries_total{{reason=\"{reason}\"}}"),
    )
    .await
}

/// Waits until the gate holds so many slots of the configured services.
pub(crate) async fn holds(gate: &Gate, slots: u64) {
    let wait = async {
        while counter(gate, "fulmarpier_gate_slots_held ").await != slots {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(PATIENCE, wait).await.unwrap();
}

async fn counter(gate: &Gate, name: &str) -> u64 {
    let text = get(gate, "/metrics").send().await.unwrap();
    let text = text.text().await.unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.unwrap_or_else(|| panic!("no {name} in {text}"));
    value.trim().parse().unwrap()
}
