//! Measures the cost of the transport on loopback: calls between processes and appends to the log.
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
    target,
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
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        NodeId,
        Offset,
        ShardId,
        TaskId, //
    },
    unit,
};
use fulmarpier_transport::{
    platform::{
        Timeouts,
        log, //
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

const CALLS: u64 = 50_000;
const APPENDS: u64 = 20_000;
const TIMEOUT: Duration = Duration::from_secs(10);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("resident at the start: {} KiB", resident_kib()?);
    for grants in [0, 8, 50] {
        for in_flight in [1, 64] {
            calls(grants, in_flight).await?;
        }
    }
    for in_flight in [1, 64] {
        appends(in_flight).await?;
    }
    println!("resident at the end: {} KiB", resident_kib()?);
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
        target: target::Target {
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

const fn target(index: u32) -> target::Id {
    target::Id {
        task: TaskId::new(JobId::from_u128(7), index),
        attempt: Attempt(1),
    }
}

const fn hold(index: u32) -> sync::Hold {
    sync::Hold {
        target: target(index),
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
