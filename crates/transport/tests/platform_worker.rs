//! The adapters of workers and of the VM list.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_coordination::platform::{
    vm,
    worker::{
        Act,
        Answer,
        End,
        Error,
        Reply,
        Start,
        Sync, //
    },
};
use fulmarpier_standin::{
    Handle, Platform, Settings,
    fault::{
        self,
        Change,
        Listed,
        Tasks,
        Vm, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::Payload,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use fulmarpier_transport::platform::{
    Timeouts,
    vm as vms,
    worker::Client, //
};
use tokio::time::sleep;

const WORKER: WorkerId = WorkerId(1);
const LONG: Duration = Duration::from_secs(60);

async fn platform() -> Handle {
    Platform::start(Settings::new(1)).await.expect("started")
}

fn address(platform: &Handle) -> SocketAddr {
    platform.worker(WORKER).expect("the worker")
}

fn client() -> Client {
    Client::new(Timeouts::default()).expect("a client")
}

fn task(index: u32) -> TaskId {
    TaskId::new(JobId::from_u128(7), index)
}

fn start(index: u32, cores: u32) -> Start {
    Start {
        task: task(index),
        attempt: Attempt(1),
        size: Resources::new(Millicores::from_cores(cores), Bytes(1 << 20), 0),
        payload: Payload::default(),
        slots: None,
        port: 0,
        runtime: Some(LONG),
    }
}

fn sync(epoch: u64, start: Vec<Start>) -> Sync {
    Sync {
        epoch: Epoch(epoch),
        start_by: Timestamp::MAX,
        lease: LONG,
        start,
        ..Sync::default()
    }
}

async fn set(platform: &Handle, state: fault::Worker, tasks: Tasks) {
    let change = Change {
        worker: Some(WORKER),
        worker_state: Some(state),
        worker_tasks: Some(tasks),
        ..Change::default()
    };
    platform.fault(&change).await.expect("a fault");
}

/// Calls until the worker answers again after its port was opened anew.
async fn call(platform: &Handle, sync: &Sync) -> Reply {
    let client = client();
    loop {
        match client.sync(address(platform), sync).await {
            Ok(reply) => return reply,
            Err(Error::Refused | Error::Unknown) => sleep(Duration::from_millis(1)).await,
            Err(error) => panic!("{error}"),
        }
    }
}

#[tokio::test]
async fn a_start_runs_once_however_often_it_is_sent() {
    let platform = platform().await;
    let call = sync(1, vec![start(0, 4)]);
    for _ in 0..2 {
        let reply = client()
            .sync(address(&platform), &call)
            .await
            .expect("a reply");
        assert_eq!(reply.started, [Answer::Started]);
        assert_eq!(reply.inventory.running.len(), 1);
    }
    let summary = platform.summary();
    assert_eq!((summary.started, summary.violations.total()), (1, 0));
}

#[tokio::test]
async fn a_worker_is_never_overfilled() {
    let platform = platform().await;
    let call = sync(1, vec![start(0, 10), start(1, 7), start(2, 6)]);
    let reply = client()
        .sync(address(&platform), &call)
        .await
        .expect("a reply");
    assert_eq!(
        reply.started,
        [Answer::Started, Answer::Full, Answer::Started]
    );
    let summary = platform.summary();
    assert_eq!((summary.declined.full, summary.peak_use), (1, 1_000));
}

#[tokio::test]
async fn a_lower_epoch_is_fenced_without_effect() {
    let platform = platform().await;
    let address = address(&platform);
    client()
        .sync(address, &sync(5, Vec::new()))
        .await
        .expect("a reply");
    let fenced = client().sync(address, &sync(4, vec![start(0, 1)])).await;
    assert_eq!(fenced, Err(Error::Fenced { epoch: Epoch(5) }));
    assert_eq!(platform.summary().started, 0);
}

#[tokio::test]
async fn a_late_start_is_void() {
    let platform = platform().await;
    let call = Sync {
        start_by: Timestamp::from_micros(1),
        ..sync(1, vec![start(0, 1)])
    };
    let reply = client()
        .sync(address(&platform), &call)
        .await
        .expect("a reply");
    assert_eq!(reply.started, [Answer::Late]);
    assert!(reply.inventory.running.is_empty());
}

#[tokio::test]
async fn a_task_whose_lease_lapses_is_stopped_and_shown_until_acknowledged() {
    let platform = platform().await;
    let address = address(&platform);
    let call = Sync {
        lease: Duration::from_millis(1),
        ..sync(1, vec![start(0, 1)])
    };
    client().sync(address, &call).await.expect("a reply");
    let mut reply = client()
        .sync(address, &sync(1, Vec::new()))
        .await
        .expect("a reply");
    while reply.inventory.ended.is_empty() {
        reply = client()
            .sync(address, &sync(1, Vec::new()))
            .await
            .expect("a reply");
    }
    assert_eq!(reply.inventory.ended[0].end, End::Lapsed);
    let call = Sync {
        acknowledge: vec![(task(0), Attempt(1))],
        ..sync(1, Vec::new())
    };
    let reply = client().sync(address, &call).await.expect("a reply");
    assert!(reply.inventory.ended.is_empty());
}

#[tokio::test]
async fn a_dead_worker_refuses_and_comes_back_in_a_new_life() {
    let platform = platform().await;
    let before = call(&platform, &sync(3, vec![start(0, 1)])).await;
    set(&platform, fault::Worker::Dead, Tasks::Lose).await;
    let mut dead = client()
        .sync(address(&platform), &sync(3, Vec::new()))
        .await;
    while dead != Err(Error::Refused) {
        // The listener closes soon after.
        sleep(Duration::from_millis(1)).await;
        dead = client()
            .sync(address(&platform), &sync(3, Vec::new()))
            .await;
    }
    set(&platform, fault::Worker::Up, Tasks::Lose).await;
    let after = call(&platform, &sync(1, Vec::new())).await;
    assert_eq!(before.inventory.incarnation, Incarnation(1));
    assert_eq!(after.inventory.incarnation, Incarnation(2));
    assert!(after.inventory.running.is_empty());
}

#[tokio::test]
async fn a_worker_that_was_out_of_reach_still_runs_its_tasks() {
    let platform = platform().await;
    call(&platform, &sync(3, vec![start(0, 1)])).await;
    set(&platform, fault::Worker::Dead, Tasks::Keep).await;
    set(&platform, fault::Worker::Up, Tasks::Keep).await;
    let after = call(&platform, &sync(3, Vec::new())).await;
    assert_eq!(after.inventory.incarnation, Incarnation(1));
    assert_eq!(after.inventory.running.len(), 1);
}

#[tokio::test]
async fn a_start_to_a_paused_worker_is_unknown_and_void_once_it_is_late() {
    let platform = platform().await;
    let address = address(&platform);
    set(&platform, fault::Worker::Paused, Tasks::Keep).await;
    let hasty = Client::new(Timeouts {
        answer: Duration::from_millis(20),
        ..Timeouts::default()
    })
    .expect("a client");
    let call = Sync {
        start_by: Timestamp::from_micros(1),
        ..sync(1, vec![start(0, 1)])
    };
    assert_eq!(hasty.sync(address, &call).await, Err(Error::Unknown));
    set(&platform, fault::Worker::Up, Tasks::Keep).await;
    let reply = client()
        .sync(address, &sync(1, Vec::new()))
        .await
        .expect("a reply");
    assert!(reply.inventory.running.is_empty());
    assert_eq!(platform.summary().started, 0);
}

#[tokio::test]
async fn everything_that_a_failing_worker_starts_fails() {
    let platform = platform().await;
    set(&platform, fault::Worker::Failing, Tasks::Keep).await;
    let reply = call(&platform, &sync(1, vec![start(0, 1)])).await;
    assert_eq!(reply.started, [Answer::Started]);
    assert_eq!(reply.inventory.ended[0].end, End::Failed);
}

#[tokio::test]
async fn a_checkpointed_task_goes_on_where_it_was() {
    let platform = platform().await;
    let address = address(&platform);
    call(&platform, &sync(1, vec![start(0, 1)])).await;
    let save = Sync {
        act: vec![(task(0), Attempt(1), Act::Checkpoint)],
        ..sync(1, Vec::new())
    };
    let reply = client().sync(address, &save).await.expect("a reply");
    assert_eq!(reply.inventory.ended[0].end, End::Checkpointed);
    let again = Start {
        attempt: Attempt(2),
        ..start(0, 1)
    };
    let held = client().sync(address, &sync(1, vec![again.clone()])).await;
    assert_eq!(held.expect("a reply").started, [Answer::Held]);
    let resume = Sync {
        acknowledge: vec![(task(0), Attempt(1))],
        ..sync(1, vec![again])
    };
    let reply = client().sync(address, &resume).await.expect("a reply");
    assert_eq!(reply.started, [Answer::Started]);
}

#[tokio::test]
async fn the_vm_list_shows_workers_and_lags() {
    let platform = platform().await;
    let client = vms::Client::new(platform.control(), Timeouts::default()).expect("a client");
    let list = client.list().await.expect("a list");
    assert_eq!(list.entries[0].address, address(&platform));
    let gone = Change {
        vm: Some(Vm::Worker(WORKER)),
        vm_state: Some(Listed::Gone),
        vm_list_lag: Some("1h".parse().expect("a span")),
        ..Change::default()
    };
    platform.fault(&gone).await.expect("a fault");
    assert_eq!(client.list().await.expect("a list").entries.len(), 1);
    let lag = Change {
        vm_list_lag: Some("0s".parse().expect("a span")),
        ..Change::default()
    };
    platform.fault(&lag).await.expect("a fault");
    assert!(client.list().await.expect("a list").entries.is_empty());
    drop(platform);
    let mut list = client.list().await;
    while list.is_ok() {
        list = client.list().await;
    }
    assert!(
        matches!(list, Err(vm::Error::Unavailable { .. })),
        "{list:?}"
    );
}
