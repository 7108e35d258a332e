//! Nodes that own the cell more than once, and owners that another one has replaced.

use std::{
    net::SocketAddr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use fulmarpier_cell::record::Claim;
use fulmarpier_cell::{
    effect::{
        Destination,
        Heartbeat,
        Start,
        Stop,
        Throttle, //
    },
    engine::State,
    event::{
        HeartbeatAnswer,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Epoch,
        Fence,
        JobId,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
};
use fulmarpier_node::platform::{
    Platform,
    Topic, //
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;
use tokio::{
    runtime::Builder,
    time::sleep, //
};

use crate::{
    platform::{
        Fake,
        Mode, //
    },
    support::{
        SECOND,
        job,
        start_node,
        start_node_with_membership,
        step,
        submit,
        submit_spec,
        wait_until,
        wait_until_completed,
        wait_until_ready, //
    },
    world::{
        USUAL_SIZES,
        World, //
    },
};

/// An owner that reaches neither the store nor another node for this long gives the cell up.
const SILENCE: Duration = Duration::from_millis(1_550);

/// Guards against two ownerships under one epoch: the store takes appends of the second for repeats of the first's.
#[rstest]
#[case::few_appends(1)]
#[case::more_appends_than_may_be_repeated(12)]
#[tokio::test(start_paused = true)]
async fn what_the_last_node_records_after_it_lost_the_store_survives_it(#[case] before: u64) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    for id in 1..=before {
        submit_spec(&one, id, job(vec![step()], None))
            .await
            .unwrap();
        wait_until_completed(&one, id).await;
    }
    for round in 1..=3u64 {
        // A run that ends during the silence is recorded after it.
        let id = 100 * round;
        submit_spec(&one, id, job(vec![step()], None))
            .await
            .unwrap();
        sleep(Duration::from_millis(30)).await;
        platform.set_mode(Mode::Unresponsive);
        sleep(SILENCE).await;
        platform.set_mode(Mode::Healthy);
        wait_until_ready(&one).await;
        submit_spec(&one, id + 1, job(vec![step()], None))
            .await
            .unwrap();
        wait_until_completed(&one, id).await;
        wait_until_completed(&one, id + 1).await;
    }
    let takeovers = platform.takeovers();
    assert!(
        takeovers.len() > 3,
        "the cell was not given up: {takeovers:?}"
    );
    one.stop(Duration::ZERO).await;
    let two = start_node("two", &platform);
    wait_until(|| async { platform.owner().as_deref() == Some("two") }).await;
    wait_until_ready(&two).await;
    sleep(SECOND).await;
    for round in 1..=3u64 {
        for id in [100 * round, 100 * round + 1] {
            let state = two.frontend().job_state(JobId(id)).await;
            assert_eq!(state, Ok(State::Completed), "job {id}");
            assert_eq!(platform.starts(id), 2, "starts of the tasks of job {id}");
        }
    }
    assert!(takeovers.is_sorted_by(|a, b| a < b), "{takeovers:?}");
}

/// Guards against a record writer that outlives its ownership and, once refused, ends the node's next one.
#[tokio::test(start_paused = true)]
async fn what_is_left_of_an_ownership_doesn_t_end_the_next_one() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit_spec(&one, 1, job(vec![step()], None)).await.unwrap();
    platform.set_mode(Mode::Unresponsive);
    sleep(SILENCE).await;
    platform.set_mode(Mode::Healthy);
    wait_until_completed(&one, 1).await;
    let takeovers = platform.takeovers().len();
    sleep(10 * SECOND).await;
    assert_eq!(
        platform.takeovers().len(),
        takeovers,
        "no further ownership begins"
    );
    assert_eq!(platform.starts(1), 2);
}

/// Guards against a cell without an engine: its owner claims an epoch under which the store takes none of its records.
#[tokio::test(start_paused = true)]
async fn a_cell_whose_claim_was_removed_gets_an_owner_that_records() {
    let mut world = World::start(&USUAL_SIZES).await;
    world.submit(6, SECOND);
    sleep(3 * SECOND).await;
    world.end_node(0, false);
    sleep(3 * SECOND).await;
    assert_eq!(world.store.takeovers().last(), Some(&2));
    for node in 1..world.nodes().len() {
        world.end_node(node, false);
    }
    world.store.drop_key(Topic::Claims, "owner");
    for node in 0..world.nodes().len() {
        world.start_node(node);
    }
    sleep(SECOND).await;
    world.submit(6, SECOND);
    let open = world.wait_for_jobs(20 * SECOND).await;
    assert!(open.is_empty(), "jobs that are not completed: {open:?}");
    let violations = world.violations();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Returns where the owner of an epoch sends its orders.
fn destination(epoch: u32) -> Destination {
    Destination {
        worker: WorkerId::from("w0"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        fence: Fence::first(Epoch(epoch)),
    }
}

fn start_of(task: TaskId, epoch: u32) -> Start {
    Start {
        to: destination(epoch),
        task,
        run: Run(10_001),
        payload: "text".into(),
        deadline: 6_000,
        checkpoint: None,
        ticket: None,
    }
}

fn heartbeat_of(epoch: u32) -> Heartbeat {
    Heartbeat {
        to: destination(epoch),
        deadline: None,
        acknowledged: 0,
        wait: Duration::ZERO,
        sent_at: Timestamp::ZERO,
    }
}

/// Guards against a worker of these tests that carries out what a real one refuses: a former owner that still runs in
/// the process of the test would stop the runs of its successor.
#[tokio::test(start_paused = true)]
async fn a_worker_refuses_the_orders_of_a_former_owner() {
    let platform = Fake::new();
    let task = |index| TaskId {
        step: StepId {
            job: JobId(1),
            occurrence: 0,
            step: 0,
        },
        index,
    };
    let run = Run(10_001);
    let started = platform.start(start_of(task(0), 2)).await;
    assert_eq!(started, StartAnswer::Started);
    let stop = Stop {
        to: destination(1),
        task: task(0),
        run,
    };
    assert_eq!(platform.stop(stop).await, StopAnswer::Fenced);
    let throttle = Throttle {
        to: destination(1),
        task: task(0),
        run,
        percent: 50,
    };
    assert_eq!(platform.throttle(throttle).await, StopAnswer::Fenced);
    let refused = platform.start(start_of(task(1), 1)).await;
    assert_eq!(refused, StartAnswer::Fenced);
    let refused = platform.heartbeat(heartbeat_of(1)).await;
    assert_eq!(refused, HeartbeatAnswer::Fenced);
    let HeartbeatAnswer::Inventory(inventory) = platform.heartbeat(heartbeat_of(2)).await else {
        panic!("the worker must answer its owner");
    };
    let running: Vec<TaskId> = inventory.running.iter().map(|run| run.task).collect();
    assert_eq!(running, [task(0)]);
    assert_eq!(platform.starts(1), 1);
}

/// The runtime that does the node's other work is not driven for some leases, as if that work took the processor.
#[test]
fn other_work_that_never_pauses_does_not_cost_a_node_the_cell() {
    const RENEWALS: usize = 12;
    let limit = 60 * SECOND;
    let membership = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let main = Builder::new_current_thread().enable_all().build().unwrap();
    let platform = Fake::new();
    let one = main.block_on(async {
        let one = start_node_with_membership("one", &platform, membership.handle().clone());
        wait_until_ready(&one).await;
        one
    });
    let (before, began) = (platform.claims().len(), Instant::now());
    while platform.claims().len() < before + RENEWALS {
        assert!(began.elapsed() < limit, "the claim is not renewed");
        thread::sleep(Duration::from_millis(10));
    }
    main.block_on(async {
        assert_eq!(submit(&one, 1).await, Ok(()));
        wait_until_completed(&one, 1).await;
    });
    let claims = platform.claims();
    let is_first = |claim: &Claim| claim.epoch == Epoch(1) && !claim.released;
    assert!(claims.iter().all(is_first), "{claims:?}");
}

/// Only the runtime of the ownership is driven any more, in virtual time.
#[test]
fn an_owner_that_finishes_no_other_work_gives_the_cell_up() {
    let paused = || {
        let mut builder = Builder::new_current_thread();
        builder.enable_all().start_paused(true).build().unwrap()
    };
    let (membership, main) = (paused(), paused());
    let platform = Fake::new();
    let start = async { start_node_with_membership("one", &platform, membership.handle().clone()) };
    let one = main.block_on(start);
    let turn = Duration::from_millis(1);
    while !one.frontend().is_ready() || platform.claims().is_empty() {
        membership.block_on(async { sleep(turn).await });
        main.block_on(async { sleep(turn).await });
    }
    membership.block_on(async { sleep(10 * SECOND).await });
    let claims = platform.claims();
    assert!(claims.iter().all(|claim| !claim.released), "{claims:?}");
    membership.block_on(async { sleep(10 * SECOND).await });
    let claims = platform.claims();
    assert!(claims.iter().any(|claim| claim.released), "{claims:?}");
}
