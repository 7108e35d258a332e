//! Submissions while the owner has more to decide than it can.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        QueueName, //
    },
    job::{
        Spec,
        Step, //
    },
    record::{
        self,
        Accepted, //
    },
    workspace::{
        KeyDigest,
        Workspace, //
    },
};
use fulmarpier_node::{
    Node,
    frontend::{
        Frontend,
        Refusal, //
    },
    platform::Topic,
};
use fulmarpier_state::{
    clock::Timestamp,
    quota::Limit,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    platform::Fake,
    support::{
        SECOND,
        acceptance,
        job,
        start_node_with_processor,
        step,
        wait_until, //
    },
};

/// How long a scheduling pass takes.
const PASS_TIME: Duration = Duration::from_millis(300);
/// The jobs of the backlog, each with [`STEPS`] steps: several times what passes examine before a new job is worth
/// nothing.
const BACKLOG: std::ops::Range<u64> = 1_000..1_300;
const STEPS: usize = 100;
/// A job that its callers submit while there is a backlog.
const NEW_JOB: u64 = 1;
/// The partition that holds the backlog.
const PARTITION: u16 = 0;
/// The time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(50);
/// How long a caller waits for the answer.
const DEADLINE: Duration = Duration::from_secs(10);

/// Returns a job of many steps, of which a worker runs one at a time.
fn wide_job() -> Spec {
    let step = Step {
        count: 1,
        estimate: SECOND,
        size: Resources::new(Millicores::from_cores(3), Bytes::from_mib(100), 0),
        ..step()
    };
    job(vec![step; STEPS], None)
}

/// Returns a job with the objective of those in the backlog.
fn new_job() -> Spec {
    let step = Step {
        estimate: SECOND,
        ..step()
    };
    job(vec![step], None)
}

/// Returns a platform whose store holds the backlog, as accepted just now for a workspace.
fn platform_with_backlog(workspace: Option<&str>) -> Fake {
    let platform = Fake::new();
    platform.set_pass_time(PASS_TIME);
    let workspace = workspace.map(|name| Workspace {
        name: name.parse().unwrap(),
        limit: Limit::default(),
    });
    for id in BACKLOG {
        let accepted = Accepted {
            workspace: workspace.clone().map(Into::into),
            received: now(),
            ..acceptance(id, wide_job(), PARTITION)
        };
        let suffix = workspace
            .as_ref()
            .map(|workspace| format!("@{}", workspace.name));
        let key = JobId(id).to_string() + &suffix.unwrap_or_default();
        platform.put_in_partition(PARTITION, &key, record::encode(&accepted).unwrap());
    }
    platform
}

fn now() -> Timestamp {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap();
    Timestamp::ZERO + since
}

/// Starts the owner and a weaker node that follows it.
async fn start_nodes(platform: &Fake) -> (Node<Fake>, Node<Fake>) {
    let owner = start_node_with_processor("owner", platform, Millicores::from_cores(4));
    wait_until(|| async { owner.frontend().is_ready() && platform.owner().is_some() }).await;
    let other = start_node_with_processor("other", platform, Millicores(50));
    wait_until(|| async { other.frontend().is_ready() }).await;
    (owner, other)
}

async fn submit(frontend: &Frontend<Fake>, id: u64, spec: Spec) -> Result<(), Refusal> {
    let deadline = Instant::now() + DEADLINE;
    let queue = QueueName::from("q");
    frontend.submit(&queue, JobId(id), spec, deadline).await
}

/// Submits jobs with the ids that follow [`NEW_JOB`] until one is refused, and returns its id.
async fn submit_until_refused(frontend: &Frontend<Fake>) -> u64 {
    let limit = Instant::now() + 10 * SECOND;
    let mut id = NEW_JOB;
    loop {
        match submit(frontend, id, new_job()).await {
            Err(Refusal::Overloaded { retry_after }) => {
                assert!(retry_after >= SECOND, "{retry_after:?}");
                return id;
            }
            result => assert_eq!(result, Ok(())),
        }
        id += 1;
        sleep(SUBMIT_INTERVAL).await;
        assert!(Instant::now() < limit, "no job was refused within 10 s");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_job_that_can_t_be_considered_in_time_is_refused_and_served_later() {
    let platform = platform_with_backlog(None);
    let (owner, other) = start_nodes(&platform).await;
    for node in [&owner, &other] {
        let frontend = node.frontend();
        let refused = submit_until_refused(&frontend).await;
        assert!(!platform.has_record(&JobId(refused).to_string()));
        let accepted_before = BACKLOG.start;
        assert_eq!(
            submit(&frontend, accepted_before, wide_job()).await,
            Ok(()),
            "a job that was accepted is not called refused"
        );
    }
    let refused = submit_until_refused(&other.frontend()).await;
    platform.set_pass_time(Duration::ZERO);
    wait_until(|| async {
        other.frontend().job_state(JobId(refused)).await == Err(Refusal::NoJob)
    })
    .await;
    assert_eq!(platform.starts(refused), 0);
    wait_until(|| async { submit(&other.frontend(), refused, new_job()).await.is_ok() }).await;
    wait_until(|| async {
        other.frontend().job_state(JobId(refused)).await == Ok(State::Completed)
    })
    .await;
    assert_eq!(platform.starts(refused), 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_workspace_within_its_share_is_accepted_while_its_neighbour_is_refused() {
    let platform = platform_with_backlog(Some("hot"));
    platform.write(Topic::Configuration, "config", b"keys: hot=kh calm=kc");
    let (owner, _other) = start_nodes(&platform).await;
    let frontend = |key: &str| {
        let frontend = owner.frontend();
        frontend.for_workspace(frontend.config().and_then(|config| {
            let directory = config.directory.as_ref()?;
            directory.holder(&KeyDigest::of(key)).cloned()
        }))
    };
    submit_until_refused(&frontend("kh")).await;
    let calm_jobs = 500..505;
    for id in calm_jobs.clone() {
        assert_eq!(submit(&frontend("kc"), id, new_job()).await, Ok(()));
    }
    // The neighbour is still refused, so the calm workspace was not accepted for want of a backlog.
    submit_until_refused(&frontend("kh")).await;
    for id in BACKLOG {
        let key = format!("{}/x@hot", JobId(id));
        platform.put_in_partition(PARTITION, &key, vec![1]);
    }
    platform.set_pass_time(Duration::ZERO);
    for id in calm_jobs {
        wait_until(|| async { platform.starts(id) == 2 }).await;
    }
}
