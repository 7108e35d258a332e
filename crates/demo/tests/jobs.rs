//! Jobs on a whole cluster, without a gate.
use std::{collections::BTreeMap, time::Duration};

use fulmarpier_demo::{Cluster, Size};
use fulmarpier_protocol::wire;
use fulmarpier_state::{
    id::{JobId, ShardId},
    job::*,
    resource::Resources,
    unit::*,
};
use fulmarpier_transport::rpc;
use slog::Drain;

fn spec(kind: Kind, tasks: u32, idempotent: bool) -> Spec {
    Spec {
        team: "manifest".parse().unwrap(),
        kind,
        size: Resources::new(Millicores(500), Bytes::from_mib(256), 0),
        tasks,
        priority: Priority::Normal,
        runtime: Some(Duration::from_millis(300)),
        deadline: None,
        idempotent,
        checkpoint: false,
        spread: Spread::Any,
        payload: Payload::default(),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_each_kind_run_to_their_end() {
    let log = slog::Logger::root(slog_async_stderr(), slog::o!());
    let cluster = Cluster::start(
        Size {
            nodes: 3,
            workers: 24,
        },
        &log,
    )
    .await
    .unwrap();
    let client = rpc::Client::start(rpc::ClientLimits::default()).unwrap();
    let mut shards = BTreeMap::new();
    for _ in 0..100 {
        for sched in &cluster.scheds {
            let request = wire::sync::Request {
                gate: fulmarpier_state::id::NodeId(9),
                incarnation: fulmarpier_state::id::Incarnation(1),
                demands: vec![],
                holds: vec![],
                config_version: fulmarpier_state::id::Offset(0),
                draining: false,
                sequence: shards.len() as u64 + 1,
            };
            if let Ok(wire::Answer::Sync(reply)) = client
                .call(
                    sched.rpc_address(),
                    wire::Call::Sync(request),
                    Duration::from_secs(1),
                )
                .await
            {
                for shard in reply.shards.into_iter().filter(|s| s.free_millicores > 0) {
                    shards.insert(shard.id, sched.rpc_address());
                }
            }
        }
        if shards.len() == 3 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    eprintln!("shards {shards:?}");
    assert_eq!(shards.len(), 3);
    let mut jobs = vec![];
    for (n, (kind, idem)) in [
        (Kind::Batch, true),
        (Kind::Batch, false),
        (Kind::Gang, true),
    ]
    .into_iter()
    .enumerate()
    {
        let id = JobId::from_u128(n as u128 + 1);
        let (shard, address) = shards.iter().nth(n).unwrap();
        let call = wire::Call::Submit(wire::submit::Request {
            shard: *shard,
            id,
            spec: spec(kind, 4, idem),
        });
        let answer = client.call(*address, call, Duration::from_secs(5)).await;
        eprintln!("{answer:?}");
        jobs.push((id, *address));
    }
    for (id, address) in jobs {
        let call = wire::Call::Job(wire::job::Request {
            id,
            wait: Duration::from_secs(10),
        });
        let answer = client
            .call(address, call, Duration::from_secs(15))
            .await
            .unwrap();
        let wire::Answer::Job(wire::job::Reply::Found(json)) = answer else {
            panic!("{answer:?}")
        };
        let text = String::from_utf8_lossy(&json).into_owned();
        eprintln!("{text}");
        assert!(text.contains("succeeded\":4"), "{text}");
    }
    let _ = ShardId(1);
    eprintln!("{:?}", cluster.platform.summary());
}

fn slog_async_stderr() -> slog::Fuse<slog::Discard> {
    slog::Discard.fuse()
}
