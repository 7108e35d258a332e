//! Failures of whole processes under load, on the embedded stand-ins.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_demo::{
    Cluster, Size,
    caller::{
        self,
        Caller,
        Error, //
    },
    script,
};
use fulmarpier_protocol::problem::Problem;
use fulmarpier_state::refusal::Outcome;
use slog::{
    Discard,
    Logger,
    o, //
};
use tokio::{
    task::JoinSet,
    time::sleep, //
};

const SIZE: Size = Size {
    nodes: 3,
    workers: 24,
};
/// The pause between two requests of one caller.
const PACE: Duration = Duration::from_millis(10);

/// How requests ended, by outcome; `whole` for an answer.
type Ends = BTreeMap<String, u32>;

async fn cluster() -> Cluster {
    let log = Logger::root(Discard, o!());
    let cluster = Cluster::start(SIZE, &log).await.unwrap();
    let caller = Caller::new(cluster.gates()[0]).unwrap();
    script::prepare(&caller).await.unwrap();
    cluster
}

/// Sends so many requests through some gates in turn, every third with a key.
fn load(gates: &[SocketAddr], count: u32) -> JoinSet<(String, String)> {
    let callers: Vec<Caller> = gates.iter().map(|g| Caller::new(*g).unwrap()).collect();
    let mut requests = JoinSet::new();
    for number in 0..count {
        let caller = callers[number as usize % callers.len()].clone();
        requests.spawn(async move {
            sleep(PACE * number).await;
            let body = format!("report {number}");
            let key = (number % 3 == 0).then(|| uuid::Uuid::now_v7().to_string());
            let answered = caller.request(script::SERVICE, &body, key.as_deref()).await;
            (body, end(answered))
        });
    }
    requests
}

fn end(answered: Result<caller::Answered, Error>) -> String {
    match answered {
        Ok(_) => "whole".to_owned(),
        Err(Error::Refused { problem, .. }) => {
            let problem = Problem::parse(problem.as_bytes()).unwrap();
            assert!(problem.outcome != Outcome::Ran, "{problem:?}");
            format!("{} {} {}", problem.outcome, problem.reason, problem.detail)
        }
        Err(other) => panic!("{other:?}"),
    }
}

async fn ends(mut requests: JoinSet<(String, String)>) -> Ends {
    let mut ends = Ends::new();
    while let Some(result) = requests.join_next().await {
        let (_, end) = result.unwrap();
        *ends.entry(end).or_default() += 1;
    }
    ends
}

fn check(cluster: &Cluster) {
    let violations = cluster.platform.summary().violations;
    let found = violations.doubled_tasks + violations.doubled_keys + violations.overfilled;
    assert_eq!(found, 0, "{violations:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_node_restarts_in_turn_and_no_request_is_cut_off() {
    let mut cluster = cluster().await;
    let gates = cluster.gates();
    for index in 0..cluster.len() {
        let away = gates[index];
        let others: Vec<SocketAddr> = gates.iter().copied().filter(|g| *g != away).collect();
        // A balancer has turned away from the leaving gate, but what it has in flight stays there.
        let last = load(&[away], 20);
        let requests = load(&others, 200);
        sleep(PACE * 30).await;
        cluster.leave(index).await.unwrap();
        cluster.restart(index).await.unwrap();
        // A balancer sends nothing before that.
        script::ready(gates[index]).await.unwrap();
        let expected = |count| Ends::from([("whole".to_owned(), count)]);
        assert_eq!(
            ends(last).await,
            expected(20),
            "through the gate of node {index}"
        );
        assert_eq!(
            ends(requests).await,
            expected(200),
            "while node {index} restarts"
        );
    }
    check(&cluster);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_sched_that_dies_doubles_nothing_and_its_jobs_end() {
    let mut cluster = cluster().await;
    let caller = Caller::new(cluster.gates()[0]).unwrap();
    let mut jobs = Vec::new();
    for _ in 0..6 {
        jobs.push(caller.submit(&caller::job("batch", 4, "3s")).await.unwrap());
    }
    let requests = load(&cluster.gates(), 300);
    sleep(PACE * 20).await;
    cluster.kill_sched(1);
    let ends = ends(requests).await;
    cluster.restart(1).await.unwrap();
    // A request may be refused while its shard has no owner, but each gets an answer that is true.
    assert_eq!(ends.values().sum::<u32>(), 300);
    assert!(ends["whole"] >= 200, "{ends:?}");
    for job in jobs {
        let view = caller.wait(&job, "60s").await.unwrap();
        assert_eq!(view["state"], "succeeded", "{view}");
    }
    check(&cluster);
}
