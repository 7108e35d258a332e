//! Helpers that start nodes, build jobs and act as callers.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    thread,
    time::Duration, //
};

use fulmarpier_cell::{
    bounds::Bounds,
    config::Queue,
    engine::State,
    id::{
        JobId,
        NodeName,
        PoolName,
        QueueName, //
    },
    job::{
        Schedule,
        Spec,
        Step, //
    },
    record::Accepted,
};
use fulmarpier_node::{
    Identity,
    Meter,
    Node,
    Parts,
    frontend::Refusal,
    revocation::RevocationLimit, //
};
use fulmarpier_state::{
    clock::Timestamp,
    resource::Resources,
    unit::{
        Bandwidth,
        Bytes,
        Millicores, //
    },
};
use slog::{
    Discard,
    Drain,
    Logger,
    Never,
    OwnedKVList,
    Record, //
};
use tokio::{
    runtime::Handle,
    task::spawn_blocking,
    time::{
        Instant,
        sleep, //
    },
};

use crate::platform::Fake;

pub(crate) const SECOND: Duration = Duration::from_secs(1);
/// The longest virtual time that passes while a request between nodes is on its way, see [`sleep_between_requests`].
const VIRTUAL_STEP: Duration = Duration::from_millis(10);
/// How often to look, in real time, whether such a request has been replied to.
const REAL_STEP: Duration = Duration::from_micros(100);

/// Returns the only queue of the tests' configuration.
pub(crate) fn queue() -> Queue {
    Queue {
        name: QueueName::from("q"),
        pool: PoolName::from("p"),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        objective_offset: Duration::from_secs(1),
        advice: None,
    }
}

/// Starts a node on a free port.
pub(crate) fn start_node(name: &str, platform: &Fake) -> Node<Fake> {
    start_node_with_processor(name, platform, Millicores(250))
}

/// Starts a node with a processor share.
pub(crate) fn start_node_with_processor(
    name: &str,
    platform: &Fake,
    processor: Millicores,
) -> Node<Fake> {
    start_node_with_meter(name, platform, processor, Meter::new().unwrap())
}

/// Starts a node that records its metrics in `meter`.
pub(crate) fn start_node_with_meter(
    name: &str,
    platform: &Fake,
    processor: Millicores,
    meter: Meter,
) -> Node<Fake> {
    let log = Logger::root(Discard, slog::o!());
    start_node_with_log(name, platform, processor, meter, log)
}

/// Starts a node that records its metrics in `meter` and writes to `log`.
pub(crate) fn start_node_with_log(
    name: &str,
    platform: &Fake,
    processor: Millicores,
    meter: Meter,
    log: Logger,
) -> Node<Fake> {
    let membership = Handle::current();
    Node::start(parts(name, platform, processor, meter, log, membership)).unwrap()
}

/// Starts a node that keeps the ownership on another runtime than that of the caller.
pub(crate) fn start_node_with_membership(
    name: &str,
    platform: &Fake,
    membership: Handle,
) -> Node<Fake> {
    let log = Logger::root(Discard, slog::o!());
    let meter = Meter::new().unwrap();
    Node::start(parts(
        name,
        platform,
        Millicores(250),
        meter,
        log,
        membership,
    ))
    .unwrap()
}

fn parts(
    name: &str,
    platform: &Fake,
    processor: Millicores,
    meter: Meter,
    log: Logger,
    membership: Handle,
) -> Parts<Fake> {
    Parts {
        identity: Identity {
            name: NodeName::from(name),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            incarnation: rand::random(),
            processor,
            link: Bandwidth::from_megabits(1_000),
            descriptors: 4_096,
            memory: Bytes::from_mib(256),
        },
        bounds: Bounds::default(),
        revocation_limit: RevocationLimit::default(),
        platform: platform.clone(),
        store_limits: platform.store_limits(),
        log,
        meter,
        membership,
    }
}

/// A log that keeps the messages of its lines.
#[derive(Clone, Default)]
pub(crate) struct Lines(Arc<Mutex<Vec<String>>>);

impl Lines {
    /// Returns how many lines have a message.
    pub(crate) fn count(&self, message: &str) -> usize {
        let lines = self.0.lock().unwrap();
        lines.iter().filter(|line| *line == message).count()
    }
}

impl Drain for Lines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        self.0.lock().unwrap().push(record.msg().to_string());
        Ok(())
    }
}

/// Waits until a node accepts jobs and can tell which jobs exist.
pub(crate) async fn wait_until_ready(node: &Node<Fake>) {
    wait_until(|| async {
        node.frontend().is_ready()
            && node.frontend().job_state(JobId(0)).await == Err(Refusal::NoJob)
    })
    .await;
}

/// Waits until a condition holds. The time limit only ends a test that hangs.
pub(crate) async fn wait_until<F: Future<Output = bool>>(mut holds: impl FnMut() -> F) {
    let limit = Instant::now() + Duration::from_secs(60);
    while !holds().await {
        assert!(
            Instant::now() < limit,
            "the condition did not hold within 60 s"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sleeps while virtual time stands still whenever one of the nodes waits for a reply of another.
///
/// Requests between nodes take real time, and a runtime whose clock is paused advances it while they do. Under load
/// a reply then seems to take seconds.
pub(crate) async fn sleep_between_requests(nodes: &[&Node<Fake>], span: Duration) {
    let until = Instant::now() + span;
    while Instant::now() < until {
        sleep(VIRTUAL_STEP).await;
        while nodes.iter().any(|node| node.pending_requests() > 0) {
            // The clock does not advance by itself while a blocking task runs.
            let _ = spawn_blocking(|| thread::sleep(REAL_STEP)).await;
        }
    }
}

/// Returns a step of two short tasks.
pub(crate) fn step() -> Step {
    Step {
        count: 2,
        size: Resources::new(Millicores(500), Bytes::from_mib(100), 0),
        estimate: Duration::from_millis(40),
        ..Step::default()
    }
}

/// Returns a step that no worker has room for.
pub(crate) fn unplaceable_step() -> Step {
    Step {
        size: Resources::new(Millicores::from_cores(64), Bytes::from_gib(1), 0),
        ..step()
    }
}

/// Returns a job of the given steps.
pub(crate) fn job(steps: Vec<Step>, schedule: Option<Schedule>) -> Spec {
    Spec {
        payload: "text".into(),
        steps,
        schedule,
    }
}

/// Returns a job of two steps of two tasks each, the second step after the first.
pub(crate) fn two_step_job() -> Spec {
    let then = Step {
        after: vec![0],
        ..step()
    };
    job(vec![step(), then], None)
}

/// Returns the record with which a node accepts a job in a partition.
pub(crate) fn acceptance(id: u64, spec: Spec, partition: u16) -> Accepted {
    Accepted {
        job: JobId(id),
        queue: queue().into(),
        spec: spec.into(),
        workspace: None,
        received: Timestamp::ZERO,
        partition,
    }
}

/// Submits a job of two steps.
pub(crate) async fn submit(node: &Node<Fake>, id: u64) -> Result<(), Refusal> {
    submit_spec(node, id, two_step_job()).await
}

pub(crate) async fn submit_spec(node: &Node<Fake>, id: u64, spec: Spec) -> Result<(), Refusal> {
    let deadline = Instant::now() + 3 * SECOND;
    let frontend = node.frontend();
    frontend
        .submit(&QueueName::from("q"), JobId(id), spec, deadline)
        .await
}

pub(crate) async fn cancel(node: &Node<Fake>, id: u64) -> Result<(), Refusal> {
    let deadline = Instant::now() + 3 * SECOND;
    let frontend = node.frontend();
    frontend
        .cancel(&QueueName::from("q"), JobId(id), deadline)
        .await
}

pub(crate) async fn wait_until_completed(node: &Node<Fake>, id: u64) {
    wait_until(|| async { node.frontend().job_state(JobId(id)).await == Ok(State::Completed) })
        .await;
}
