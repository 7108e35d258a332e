//! Measures the cost of the transport on loopback: calls between processes and to the stand-ins.
//!
//! Run with `cargo run --release -p fulmarpier-transport --example measure`.

use std::{
    error::Error,
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_coordination::platform::{
    log::{
        Append,
        Stream, //
    },
    target::{
        Id,
        Target, //
    },
    worker::{
        Start,
        Sync, //
    },
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    sync, //
};
use fulmarpier_standin::{
    Platform,
    Settings, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        NodeId,
        Offset,
        ShardId,
        TaskId,
        WorkerId, //
    },
    job::Payload,
    resource::Resources,
    unit::{
        self,
        Millicores, //
    },
};
use fulmarpier_transport::{
    platform::{
        Timeouts,
        log,
        target,
        worker, //
    },
    rpc::{
        Client,
        ClientLimits,
        Server,
        ServerLimits, //
    },
};
use futures::{
    StreamExt,
    stream, //
};
use tokio::time::Instant;
use uuid::Uuid;

const CALLS: u64 = 50_000;
const APPENDS: u64 = 10_000;
const SYNCS: u64 = 10_000;
const REQUESTS: u64 = 50_000;
const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("resident at the start: {} KiB", resident_kib()?);
    for grants in [0, 8, 50] {
        for in_flight in [1, 64] {
            calls(grants, in_flight).await?;
        }
    }
    println!("resident after the calls: {} KiB", resident_kib()?);
    for in_flight in [1, 64] {
        appends(in_flight).await?;
    }
    for tasks in [0, 8] {
        syncs(tasks).await?;
    }
    for in_flight in [1, 32] {
        requests(in_flight).await?;
    }
    Ok(())
}

/// Makes sync calls whose replies hold `grants` grants.
async fn calls(grants: u32, in_flight: usize) -> Result<(), Box<dyn Error>> {
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let (server, mut calls) = Server::start(any, ServerLimits::default())?;
    let reply = reply(grants)?;
    tokio::spawn(async move {
        while let Some(incoming) = calls.recv().await {
            // The caller may have given up.
            let _ = incoming.answer.send(Answer::Sync(reply.clone()));
        }
    });
    let client = Client::start(ClientLimits::default())?;
    let address = server.address();
    let request = request(grants)?;
    let began = Instant::now();
    let failed = stream::iter(0..CALLS)
        .map(|_| client.call(address, Call::Sync(request.clone()), TIMEOUT))
        .buffer_unordered(in_flight)
        .filter(|answer| std::future::ready(answer.is_err()))
        .count()
        .await;
    let rate = rate(CALLS, began);
    let totals = client.traffic();
    println!(
        "sync, {grants} grants, {in_flight} in flight: {rate:.0} calls/s, {failed} failed, \
         {} bytes out and {} in a call",
        totals.sent / CALLS,
        totals.received / CALLS,
    );
    Ok(())
}

async fn appends(in_flight: usize) -> Result<(), Box<dyn Error>> {
    let platform = Platform::start(Settings::new(0)).await?;
    let client = log::Client::new(platform.control(), NodeId(1), Timeouts::default())?;
    let append = Append {
        stream: Stream("journal.s1".to_owned()),
        records: vec![Bytes::from(vec![7; 300]); 8],
    };
    let began = Instant::now();
    let failed = stream::iter(0..APPENDS)
        .map(|_| client.append(&append))
        .buffer_unordered(in_flight)
        .filter(|answer| std::future::ready(answer.is_err()))
        .count()
        .await;
    let rate = rate(APPENDS, began);
    println!(
        "append of 8 records of 300 bytes, {in_flight} in flight: {rate:.0} appends/s, {failed} failed"
    );
    Ok(())
}

/// Makes sync calls to a worker that runs `tasks` tasks of services.
async fn syncs(tasks: u32) -> Result<(), Box<dyn Error>> {
    let platform = Platform::start(Settings::new(1)).await?;
    let address = platform.worker(WorkerId(1)).ok_or("no worker")?;
    let client = worker::Client::new(Timeouts::default())?;
    let mut call = worker_start(tasks);
    let reply = client.sync(address, &call).await?;
    call.start.clear();
    call.renew = (0..tasks).map(|index| (task(index), Attempt(1))).collect();
    let (out, back) = (serde_json::to_vec(&call)?, serde_json::to_vec(&reply)?);
    let began = Instant::now();
    for _ in 0..SYNCS {
        client.sync(address, &call).await?;
    }
    println!(
        "worker sync, {tasks} tasks, 1 in flight: {:.0} calls/s, bodies of {} bytes out and {} in",
        rate(SYNCS, began),
        out.len(),
        back.len(),
    );
    Ok(())
}

/// Sends requests of 256 bytes to one target.
async fn requests(in_flight: usize) -> Result<(), Box<dyn Error>> {
    let platform = Platform::start(Settings::new(1)).await?;
    let address = platform.worker(WorkerId(1)).ok_or("no worker")?;
    let workers = worker::Client::new(Timeouts::default())?;
    let reply = workers.sync(address, &worker_start(1)).await?;
    let address = reply.inventory.running[0].target.ok_or("no target")?;
    let client = target::Client::new(target::Limits::default())?;
    let began = Instant::now();
    let failed = stream::iter(0..REQUESTS)
        .map(|_| async { client.send(address, to_target()).await?.collect().await })
        .buffer_unordered(in_flight)
        .filter(|answer| std::future::ready(answer.is_err()))
        .count()
        .await;
    println!(
        "request of 256 bytes to a target, {in_flight} in flight: {:.0} requests/s, {failed} failed",
        rate(REQUESTS, began),
    );
    Ok(())
}

fn to_target() -> target::Request {
    target::Request {
        id: Uuid::now_v7(),
        method: target::Method::POST,
        path: "/repairs".to_owned(),
        headers: target::HeaderMap::new(),
        body: Bytes::from_static(&[7; 256]).into(),
        deadline: TIMEOUT,
    }
}

fn worker_start(tasks: u32) -> Sync {
    let start = |index| Start {
        task: task(index),
        attempt: Attempt(1),
        size: Resources::new(Millicores::from_cores(1), unit::Bytes(1 << 30), 0),
        payload: Payload::default(),
        slots: Some(64),
        port: 0,
        runtime: None,
    };
    Sync {
        epoch: Epoch(9),
        start_by: Timestamp::MAX,
        lease: Duration::from_secs(600),
        start: (0..tasks).map(start).collect(),
        ..Sync::default()
    }
}

const fn task(index: u32) -> TaskId {
    TaskId::new(JobId::from_u128(7), index)
}

fn request(grants: u32) -> Result<sync::Request, Box<dyn Error>> {
    Ok(sync::Request {
        gate: NodeId(1),
        incarnation: Incarnation(1),
        demands: vec![sync::Demand {
            service: "desk".parse()?,
            wanted: 64,
        }],
        holds: (0..grants).map(hold).collect(),
        config_version: Offset(1),
        draining: false,
        sequence: 1,
    })
}

fn reply(grants: u32) -> Result<sync::Reply, Box<dyn Error>> {
    let service: fulmarpier_state::name::Service = "desk".parse()?;
    let grant = |index| sync::Grant {
        service: service.clone(),
        target: Target {
            id: target(index),
            address: SocketAddr::from(([10, 0, 0, 1], 7_500)),
        },
        slots: 4,
        lease: Duration::from_secs(5),
        epoch: Epoch(9),
    };
    Ok(sync::Reply {
        node: NodeId(2),
        incarnation: Incarnation(1),
        shards: (1..=2).map(shard).collect(),
        grants: (0..grants).map(grant).collect(),
        config_version: Offset(1),
        config: None,
        draining: false,
        sequence: 1,
    })
}

const fn target(index: u32) -> Id {
    Id {
        task: task(index),
        attempt: Attempt(1),
    }
}

const fn hold(index: u32) -> sync::Hold {
    sync::Hold {
        target: target(index),
        epoch: Epoch(9),
        slots: 4,
        abandoned: 0,
    }
}

const fn shard(id: u16) -> sync::Shard {
    sync::Shard {
        id: ShardId(id),
        epoch: Epoch(9),
        free_millicores: 160_000,
        free_memory: unit::Bytes(64 << 30),
        free_accelerators: 0,
        waiting_tasks: 12,
    }
}

fn rate(count: u64, began: Instant) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / began.elapsed().as_secs_f64()
}

/// Returns the resident memory of this process.
fn resident_kib() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.ok_or("no VmRSS")?.parse()?)
}
