//! The demonstration, step by step.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_ctl::render;
use fulmarpier_protocol::http::table::Table;
use reqwest::StatusCode;
use serde_json::Value;
use tokio::{
    task::JoinSet,
    time::sleep, //
};

use crate::{
    Cluster,
    caller::{
        self,
        Caller, //
    },
    cluster,
};

/// How often to ask again while something comes up.
const PAUSE: Duration = Duration::from_millis(100);
/// How often to ask before giving up.
const PATIENCE: u32 = 300;
/// The service of the demonstration.
pub const SERVICE: &str = "desk";
/// Ordinary requests sent while a node leaves.
const REQUESTS: u32 = 300;
/// Targets of the service.
const TARGETS: u32 = 6;
/// Data centres of the cluster.
const DATA_CENTRES: usize = 3;

/// Why the demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A call failed.
    #[error("{step}")]
    Call {
        /// What was being shown.
        step: &'static str,
        /// Why it failed.
        source: caller::Error,
    },
    /// Something did not come up in time.
    #[error("{what} did not come up")]
    Late {
        /// What was waited for.
        what: &'static str,
    },
    /// A job did not end as it should.
    #[error("job {job} ended as {state}")]
    Job {
        /// The job.
        job: String,
        /// Its state.
        state: String,
    },
    /// A job is not shown as the one that it is.
    #[error("job {job} is shown as {shown}")]
    Shown {
        /// The job.
        job: String,
        /// How it is shown.
        shown: String,
    },
    /// The cluster has no gate.
    #[error("the cluster has no gate")]
    NoGate,
    /// A node did not leave in order.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// The stand-ins' record shows a violation.
    #[error("violations: {found}")]
    Violations {
        /// What the record shows.
        found: String,
    },
}

/// Runs the demonstration on a cluster and prints what it shows.
///
/// # Errors
///
/// Fails with the first step that does not come out as it should.
pub async fn run(mut cluster: Cluster) -> Result<(), Error> {
    let callers = callers(&cluster)?;
    let first = callers.first().ok_or(Error::NoGate)?;
    up(first).await?;
    step("An operator changes the configuration; every node has it in force.");
    configure(first).await?;
    step("A long-running service starts its targets in three data centres.");
    let desk = submit(first, &caller::service(SERVICE, TARGETS), "service").await?;
    spread_out(first).await?;
    one_job(first, &desk).await?;
    served(first).await?;
    println!("service {SERVICE} is job {desk}");
    step("Callers send ordinary requests through every gate.");
    for (number, caller) in callers.iter().enumerate() {
        let answered = request(caller, &format!("leak in flat {number}"), None).await?;
        println!("gate {number}: answered by {}", answered.target);
    }
    step("A non-idempotent request is sent twice with one key, and runs once.");
    let key = uuid::Uuid::now_v7().to_string();
    let once = request(first, "order a plumber", Some(&key)).await?;
    let again = last(&callers)?;
    let again = again.repeat(SERVICE, "order a plumber", &key).await;
    let again = again.map_err(call("a repeated request"))?;
    println!(
        "first: replayed={}, again: replayed={}",
        once.replayed, again.replayed
    );
    step("A batch job and a gang job run to their end.");
    let batch = submit(first, &caller::job("batch", 12, "300ms"), "batch").await?;
    let gang = submit(last(&callers)?, &caller::job("gang", 6, "300ms"), "gang").await?;
    ended(first, &batch).await?;
    ended(first, &gang).await?;
    step("What runs, what waits, and why.");
    let long = submit(first, &large(), "large").await?;
    show(first, "show workers limit 4").await?;
    show(first, "show nodes").await?;
    tried(first, &long).await?;
    show(first, &format!("explain job {long}")).await?;
    show(first, &format!("cancel job {long}")).await?;
    step("A node leaves with requests in flight; nothing is cut off.");
    leave(&mut cluster, &callers).await?;
    step("The service is cancelled; its targets stop in every data centre.");
    stopped(first, &desk).await?;
    step("The stand-ins' own record.");
    check(&cluster)
}

/// Waits until a gate says that it is ready, as a balancer does.
///
/// # Errors
///
/// Fails if it does not become ready.
pub async fn ready(gate: SocketAddr) -> Result<(), Error> {
    let caller = Caller::new(gate).map_err(call("an HTTP client"))?;
    for _ in 0..PATIENCE {
        if caller.is_ready().await {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    Err(Error::Late { what: "the gate" })
}

/// Configures a fresh cluster and starts the service, until it answers.
///
/// # Errors
///
/// Fails if something does not come up.
pub async fn prepare(caller: &Caller) -> Result<(), Error> {
    up(caller).await?;
    let team = "set team demo weight=3 queue=500";
    let service = format!("set service {SERVICE} slots=8 team=demo");
    for line in [team, &service] {
        caller.command(line).await.map_err(call("a command"))?;
    }
    everywhere(caller).await?;
    submit(caller, &caller::service(SERVICE, 6), "service").await?;
    served(caller).await
}

fn callers(cluster: &Cluster) -> Result<Vec<Caller>, Error> {
    let addresses = cluster.gates().into_iter();
    addresses
        .map(|address| Caller::new(address).map_err(call("an HTTP client")))
        .collect()
}

fn step(text: &str) {
    println!("\n== {text}");
}

fn call(step: &'static str) -> impl Fn(caller::Error) -> Error {
    move |source| Error::Call { step, source }
}

fn last(callers: &[Caller]) -> Result<&Caller, Error> {
    callers.last().ok_or(Error::NoGate)
}

/// Waits until every data centre has a shard that places work.
async fn up(caller: &Caller) -> Result<(), Error> {
    for _ in 0..PATIENCE {
        let table = caller
            .command("show shards where placing = yes and workers > 0")
            .await;
        if table.is_ok_and(|table| table.rows.len() >= 3) {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    Err(Error::Late { what: "the shards" })
}

async fn configure(caller: &Caller) -> Result<(), Error> {
    show(caller, "set team demo weight=3 queue=500").await?;
    show(caller, &format!("set service {SERVICE} slots=8 team=demo")).await?;
    let nodes = everywhere(caller).await?;
    print!("{}", render::table(&nodes));
    Ok(())
}

/// Waits until every node and its gate have the configuration in force; returns the nodes.
async fn everywhere(caller: &Caller) -> Result<Table, Error> {
    for _ in 0..PATIENCE {
        let nodes = caller
            .command("show nodes")
            .await
            .map_err(call("show nodes"))?;
        if in_force(&nodes) {
            return Ok(nodes);
        }
        sleep(PAUSE).await;
    }
    Err(Error::Late {
        what: "the configuration",
    })
}

/// Returns whether every node and its gate have the same version in force.
fn in_force(nodes: &Table) -> bool {
    let column = |name: &str| nodes.columns.iter().position(|column| column == name);
    let (Some(sched), Some(gate)) = (column("config"), column("gate_config")) else {
        return false;
    };
    let newest = nodes.rows.iter().map(|row| row[sched].to_string()).max();
    let agrees = |row: &Vec<_>| {
        let versions: [&fulmarpier_protocol::http::table::Cell; 2] = [&row[sched], &row[gate]];
        versions.iter().all(|cell| Some(cell.to_string()) == newest)
    };
    nodes.rows.iter().all(agrees)
}

/// Waits until a request is answered by the service.
async fn served(caller: &Caller) -> Result<(), Error> {
    for _ in 0..PATIENCE {
        if caller.request(SERVICE, "hello", None).await.is_ok() {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    Err(Error::Late {
        what: "the service",
    })
}

/// Waits until the service has all its targets, in every data centre alike.
async fn spread_out(caller: &Caller) -> Result<(), Error> {
    for _ in 0..PATIENCE {
        let workers = caller.command("show workers limit 10000").await;
        let targets = caller.command("show services limit 10000").await;
        if let (Ok(workers), Ok(targets)) = (workers, targets) {
            let counts = by_data_centre(&workers, &targets);
            if counts.values().sum::<u32>() == TARGETS {
                println!("targets by data centre: {counts:?}");
                let even = TARGETS / u32::try_from(DATA_CENTRES).unwrap_or(1);
                let is_even = counts.len() == DATA_CENTRES && counts.values().all(|n| *n == even);
                let what = "targets in every data centre alike";
                return is_even.then_some(()).ok_or(Error::Late { what });
            }
        }
        sleep(PAUSE).await;
    }
    Err(Error::Late { what: "targets" })
}

fn by_data_centre(workers: &Table, targets: &Table) -> BTreeMap<String, u32> {
    let column = |table: &Table, name: &str| table.columns.iter().position(|c| c == name);
    let (Some(id), Some(centre)) = (column(workers, "worker"), column(workers, "data_centre"))
    else {
        return BTreeMap::new();
    };
    let Some(on) = column(targets, "worker") else {
        return BTreeMap::new();
    };
    let of = |worker: &str| {
        let row = workers
            .rows
            .iter()
            .find(|row| row[id].to_string() == worker);
        row.map(|row| row[centre].to_string())
    };
    let mut counts = BTreeMap::new();
    for centre in targets
        .rows
        .iter()
        .filter_map(|row| of(&row[on].to_string()))
    {
        *counts.entry(centre).or_default() += 1;
    }
    counts
}

/// Checks that a caller sees a job with parts as one, with all its tasks.
async fn one_job(caller: &Caller, job: &str) -> Result<(), Error> {
    let mut shown = String::new();
    for _ in 0..PATIENCE {
        let view = caller.wait(job, "0s").await.map_err(call("a view"))?;
        let jobs = caller
            .command("show jobs where kind = service")
            .await
            .map_err(call("show jobs"))?;
        shown = format!("{} in {} jobs", view["tasks"], jobs.rows.len());
        if view["tasks"]["running"] == TARGETS && jobs.rows.len() == 1 {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    let job = job.to_owned();
    Err(Error::Shown { job, shown })
}

async fn request(
    caller: &Caller,
    body: &str,
    key: Option<&str>,
) -> Result<caller::Answered, Error> {
    let answered = caller.request(SERVICE, body, key).await;
    answered.map_err(call("a request"))
}

/// Waits until a job has been tried, so that there is a reason to show.
async fn tried(caller: &Caller, job: &str) -> Result<(), Error> {
    for _ in 0..PATIENCE {
        let view = caller.wait(job, "0s").await.map_err(call("a job"))?;
        if !view["explanation"].to_string().contains("not been tried") {
            return Ok(());
        }
        sleep(PAUSE).await;
    }
    Err(Error::Late { what: "a decision" })
}

async fn submit(caller: &Caller, job: &Value, step: &'static str) -> Result<String, Error> {
    caller.submit(job).await.map_err(call(step))
}

async fn ended(caller: &Caller, job: &str) -> Result<(), Error> {
    let view = caller.wait(job, "20s").await.map_err(call("a wait"))?;
    println!(
        "{} {job}: {}, tasks {}",
        view["kind"], view["state"], view["tasks"]
    );
    if view["state"] == "succeeded" {
        return Ok(());
    }
    Err(Error::Job {
        job: job.to_owned(),
        state: view["state"].to_string(),
    })
}

/// A gang that fits no moment of the demonstration but fits the workers.
fn large() -> Value {
    let mut job = caller::job("gang", 8, "1m");
    job["size"] = serde_json::json!({"cpu": "15", "memory": "20GiB"});
    job
}

async fn show(caller: &Caller, line: &str) -> Result<(), Error> {
    println!("$ fulmarpier-ctl {line}");
    let table = caller.command(line).await.map_err(call("a command"))?;
    print!("{}", render::table(&table));
    Ok(())
}

/// Stops one node while requests are in flight through all gates.
async fn leave(cluster: &mut Cluster, callers: &[Caller]) -> Result<(), Error> {
    let mut requests = JoinSet::new();
    let staying = &callers[..callers.len() - 1];
    for number in 0..REQUESTS {
        let caller = callers[number as usize % callers.len()].clone();
        let other = staying[number as usize % staying.len()].clone();
        requests.spawn(async move {
            // The first third goes through every gate, the rest as a balancer would.
            sleep(Duration::from_millis(u64::from(number) * 5)).await;
            let caller = if number < REQUESTS / 3 { caller } else { other };
            caller
                .request(SERVICE, &format!("report {number}"), None)
                .await
        });
    }
    sleep(Duration::from_millis(400)).await;
    cluster.leave(cluster.len() - 1).await?;
    let mut whole = 0;
    while let Some(result) = requests.join_next().await {
        match result {
            Ok(Ok(_)) => whole += 1,
            Ok(Err(source)) => {
                let step = "a request while a node leaves";
                return Err(Error::Call { step, source });
            }
            Err(_) => return Err(Error::Late { what: "a caller" }),
        }
    }
    println!("{whole} of {REQUESTS} requests answered whole");
    Ok(())
}

/// Cancels the service and waits until each of its targets has stopped.
///
/// Its shard may be between two owners; then the operator is told to ask again.
async fn stopped(caller: &Caller, job: &str) -> Result<(), Error> {
    for _ in 0..PATIENCE {
        match show(caller, &format!("cancel job {job}")).await {
            Ok(()) => break,
            Err(Error::Call {
                source: caller::Error::Refused { status, .. },
                ..
            }) if status == StatusCode::SERVICE_UNAVAILABLE => sleep(PAUSE).await,
            Err(error) => return Err(error),
        }
    }
    let view = caller.wait(job, "20s").await.map_err(call("a wait"))?;
    let shown = format!("{}, tasks {}", view["state"], view["tasks"]);
    println!("service {job}: {shown}");
    if view["state"] == "cancelled" && view["tasks"]["cancelled"] == TARGETS {
        return Ok(());
    }
    let job = job.to_owned();
    Err(Error::Shown { job, shown })
}

fn check(cluster: &Cluster) -> Result<(), Error> {
    let summary = cluster.platform.summary();
    let violations = &summary.violations;
    println!(
        "tasks started {}, requests answered {}, doubled tasks {}, doubled keys {}, overfilled {}",
        summary.started,
        summary.answered,
        violations.doubled_tasks,
        violations.doubled_keys,
        violations.overfilled
    );
    if violations.doubled_tasks + violations.doubled_keys + violations.overfilled > 0 {
        let found = format!("{violations:?}");
        return Err(Error::Violations { found });
    }
    Ok(())
}
