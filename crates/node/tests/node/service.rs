//! Jobs that nodes accept, show, cancel and run, during takeovers and failures of the store.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::{
    engine::State,
    id::{
        Epoch,
        JobId,
        NodeName,
        QueueName, //
    },
    record::{
        Accepted,
        Claim, //
    },
    spread::Spread,
};
use fulmarpier_node::{
    frontend::Refusal,
    platform::{
        JOB_PARTITIONS,
        SMALL_CELL_JOB_PARTITIONS, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
};

use crate::{
    platform::{
        Fake,
        Mode, //
    },
    support::{
        SECOND,
        acceptance,
        queue,
        start_node,
        start_node_with_processor,
        submit,
        two_step_job,
        wait_until,
        wait_until_completed,
        wait_until_ready, //
    },
};

#[tokio::test]
async fn a_job_completes_whichever_node_accepts_it() {
    let platform = Fake::new();
    let (one, two) = (start_node("one", &platform), start_node("two", &platform));
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    submit(&one, 1).await.unwrap();
    submit(&two, 2).await.unwrap();
    wait_until_completed(&two, 1).await;
    wait_until_completed(&one, 2).await;
    assert_eq!((platform.starts(1), platform.starts(2)), (4, 4));
}

#[tokio::test]
async fn a_job_that_is_submitted_twice_runs_once() {
    let platform = Fake::new();
    let (one, two) = (start_node("one", &platform), start_node("two", &platform));
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    submit(&two, 1).await.unwrap();
    tokio::time::sleep(SECOND).await;
    assert_eq!(platform.starts(1), 4);
}

/// During a rolling restart with a slow store each change of owners takes four slow calls, so the owner delays it.
#[tokio::test]
async fn a_leaving_owner_keeps_the_cell_for_a_while_when_the_store_is_slow() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    wait_until(|| async { one.peer_count().await == 1 }).await;
    platform.set_mode(Mode::Slow);
    let renewals = |count: usize| {
        let before = platform.claims().len();
        let platform = platform.clone();
        async move { wait_until(|| async { platform.claims().len() >= before + count }).await }
    };
    // After this many slow calls the node considers the store slow.
    renewals(3).await;
    one.leave();
    renewals(2).await;
    assert_eq!(
        platform.owner().as_deref(),
        Some("one"),
        "the owner still renews its claim"
    );
    platform.set_mode(Mode::Healthy);
    wait_until(|| async { platform.owner().as_deref() == Some("two") }).await;
    assert!(platform.claims().iter().all(|claim| !claim.released));
}

/// Callers of a machine that is cut off from the store get an early answer, because another node may serve them.
#[tokio::test]
async fn callers_are_answered_early_when_the_store_stops_answering_their_node() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.set_own_mode(Mode::Unresponsive);
    let queue = QueueName::from("q");
    let far_deadline = Instant::now() + 300 * SECOND;
    let frontend = one.frontend();
    let (sent, waiting) = tokio::join!(
        frontend.submit(&queue, JobId(1), two_step_job(), far_deadline),
        async {
            tokio::time::sleep(SECOND / 10).await;
            frontend
                .submit(&queue, JobId(2), two_step_job(), far_deadline)
                .await
        }
    );
    assert_eq!(
        sent,
        Err(Refusal::Unknown),
        "its record may still be written"
    );
    assert_eq!(
        waiting,
        Err(Refusal::NotStored),
        "its record was never sent"
    );
    assert_eq!(
        platform.timed_out_calls(),
        0,
        "no caller waited for a call to time out"
    );
}

/// The store may refuse single partitions, and a node writes to the partition that its name selects.
#[tokio::test]
async fn jobs_are_accepted_while_the_store_refuses_the_partition_of_their_node() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    for partition in (0..SMALL_CELL_JOB_PARTITIONS).step_by(2) {
        platform.refuse_appends(partition);
    }
    // Whichever partition a node's name selects, this one or the next accepts the record.
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    for (job, node) in [(1, &one), (2, &two)] {
        submit(node, job).await.unwrap();
        wait_until_completed(node, job).await;
    }
    assert_eq!((platform.starts(1), platform.starts(2)), (4, 4));
}

/// A node starts during an outage: calls made before the end of the outage are never answered.
#[tokio::test]
async fn a_node_started_during_an_outage_doesn_t_wait_for_its_first_calls_to_time_out() {
    let platform = Fake::new();
    platform.set_mode(Mode::Unresponsive);
    let one = start_node("one", &platform);
    tokio::time::sleep(SECOND / 5).await;
    platform.set_mode(Mode::Healthy);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    assert_eq!(
        platform.timed_out_calls(),
        0,
        "no call had to time out first"
    );
}

#[tokio::test]
async fn a_leaving_owner_claims_the_cell_for_its_successor() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let (two, three) = (start_node("two", &platform), start_node("three", &platform));
    wait_until_ready(&two).await;
    wait_until_ready(&three).await;
    wait_until(|| async { one.peer_count().await == 2 }).await;
    let before = platform.claims();
    one.leave();
    one.wait_for_release(SECOND).await;
    wait_until(|| async { platform.owner().is_some_and(|owner| owner != "one") }).await;
    let later = &platform.claims()[before.len()..];
    // The former owner writes the first claim of the next epoch for its successor, so no release leaves the cell
    // without an owner for other nodes to compete for.
    let handed_over = later.iter().find(|claim| claim.epoch.0 == 2).unwrap();
    assert!(!handed_over.released && handed_over.renewal == 0);
    assert!(later.iter().all(|claim| !claim.released));
    submit(&three, 1).await.unwrap();
    wait_until_completed(&three, 1).await;
    assert!(platform.claims().iter().all(|claim| claim.epoch.0 <= 2));
}

#[tokio::test]
async fn a_new_owner_knows_the_jobs_completed_before_its_takeover() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    submit(&two, 1).await.unwrap();
    wait_until_completed(&two, 1).await;
    one.leave();
    one.wait_for_release(SECOND).await;
    one.stop(SECOND).await;
    submit(&two, 2).await.unwrap();
    wait_until_completed(&two, 2).await;
    assert_eq!(
        two.frontend().job_state(JobId(1)).await,
        Ok(State::Completed)
    );
    assert_eq!(platform.starts(1), 4);
}

#[tokio::test]
async fn an_owner_that_alone_can_t_reach_the_store_gives_the_cell_up_before_its_calls_time_out() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let other_machine = platform.another_machine();
    let two = start_node("two", &other_machine);
    wait_until_ready(&two).await;
    platform.set_own_mode(Mode::Unresponsive);
    submit(&two, 1).await.unwrap();
    wait_until_completed(&two, 1).await;
    assert_eq!(platform.timed_out_calls(), 0);
    assert_eq!(other_machine.timed_out_calls(), 0);
}

#[tokio::test]
async fn an_owner_gives_the_cell_up_for_a_stronger_node_but_not_for_an_equal_one() {
    let platform = Fake::new();
    let weak = start_node_with_processor("weak", &platform, Millicores(120));
    wait_until_ready(&weak).await;
    assert_eq!(platform.owner().as_deref(), Some("weak"));
    let strong = start_node_with_processor("strong", &platform, Millicores(500));
    wait_until(|| async { platform.owner().as_deref() == Some("strong") }).await;
    let equal = start_node_with_processor("equal", &platform, Millicores(400));
    submit(&weak, 1).await.unwrap();
    wait_until_completed(&equal, 1).await;
    // Longer than an owner keeps the cell while a stronger node is present.
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(platform.owner().as_deref(), Some("strong"));
    strong.leave();
    strong.wait_for_release(SECOND).await;
    wait_until(|| async { platform.owner().as_deref() == Some("equal") }).await;
}

#[tokio::test]
async fn jobs_run_from_every_partition_without_a_notice_to_the_owner() {
    let platform = Fake::new();
    let (one, two) = (start_node("one", &platform), start_node("two", &platform));
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    for partition in 0..SMALL_CELL_JOB_PARTITIONS {
        let accepted = Accepted {
            job: JobId(100 + u64::from(partition)),
            queue: queue().into(),
            spec: two_step_job().into(),
            workspace: None,
            received: Timestamp::ZERO,
            partition,
        };
        platform.record_job(partition, &accepted);
    }
    for partition in 0..SMALL_CELL_JOB_PARTITIONS {
        let job = 100 + u64::from(partition);
        wait_until_completed(&two, job).await;
        assert_eq!(platform.starts(job), 4);
    }
}

/// The former owner's claim says that the cell has more nodes than a small one. The next owner has to read all
/// partitions: a node that writes to the last one may be unable to notify the owner.
#[tokio::test]
async fn jobs_run_from_all_partitions_if_the_cell_was_large_before() {
    let platform = Fake::new();
    platform.write_claim(&Claim {
        epoch: Epoch(1),
        node: NodeName::from("gone"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        incarnation: 1,
        renewal: 5,
        released: true,
        strength: Millicores(500),
        spread: Spread::default().renew(38),
        nodes: 1,
        consecutive_slow_owners: 0,
        voters: Vec::new(),
        former: Vec::new(),
    });
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let partition = JOB_PARTITIONS - 1;
    platform.record_job(partition, &acceptance(100, two_step_job(), partition));
    wait_until_completed(&one, 100).await;
    assert_eq!(platform.starts(100), 4);
}

/// Guards against a lost cancellation: it is recorded, but only an owner that was being replaced was notified of it,
/// and no node notifies the next one.
#[tokio::test(start_paused = true)]
async fn a_cancellation_without_a_notice_to_the_owner_takes_effect_within_three_seconds() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let queue = QueueName::from("q");
    let mut unplaceable = two_step_job();
    unplaceable.steps[0].size = Resources::new(Millicores::from_cores(64), Bytes::from_gib(1), 0);
    for job in 0..u64::from(SMALL_CELL_JOB_PARTITIONS) {
        let deadline = Instant::now() + 3 * SECOND;
        let frontend = one.frontend();
        let submission = frontend.submit(&queue, JobId(100 + job), unplaceable.clone(), deadline);
        submission.await.unwrap();
    }
    tokio::time::sleep(SECOND).await;
    for partition in 0..SMALL_CELL_JOB_PARTITIONS {
        platform.record_cancellation(partition, 100 + u64::from(partition));
    }
    tokio::time::sleep(3 * SECOND).await;
    for job in 100..100 + u64::from(SMALL_CELL_JOB_PARTITIONS) {
        assert_eq!(
            one.frontend().job_state(JobId(job)).await,
            Ok(State::Cancelled)
        );
    }
}

/// More workers than the owner sends all orders to by itself.
const WORKERS: usize = 120;

#[tokio::test]
async fn the_orders_to_many_workers_are_sent_by_several_nodes() {
    let platform = Fake::with_workers(WORKERS);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let (other_machine, weak) = (platform.another_machine(), platform.another_machine());
    let two = start_node("two", &other_machine);
    let three = start_node_with_processor("three", &weak, Millicores(100));
    wait_until_ready(&two).await;
    wait_until_ready(&three).await;
    let jobs = 1..20;
    for job in jobs.clone() {
        submit(&two, job).await.unwrap();
    }
    for job in jobs {
        wait_until_completed(&one, job).await;
        assert_eq!(platform.starts(job), 4);
    }
    // The node as strong as the owner sends some of them, the weak node none.
    assert!(other_machine.start_orders() > 0);
    assert_eq!(weak.start_orders(), 0);
}

#[tokio::test]
async fn the_owner_sends_the_orders_of_a_stopped_node() {
    let platform = Fake::with_workers(WORKERS);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let other_machine = platform.another_machine();
    let two = start_node("two", &other_machine);
    wait_until_ready(&two).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    two.stop(Duration::ZERO).await;
    for job in 2..12 {
        submit(&one, job).await.unwrap();
    }
    for job in 2..12 {
        wait_until_completed(&one, job).await;
        assert_eq!(platform.starts(job), 4);
    }
}

#[tokio::test]
async fn a_job_is_not_accepted_when_the_store_refuses_its_record() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.set_mode(Mode::Refusing);
    assert_eq!(submit(&one, 1).await, Err(Refusal::NotStored));
    platform.set_mode(Mode::Healthy);
    wait_until_ready(&one).await;
    assert!(!platform.has_record(&JobId(1).to_string()));
    assert_eq!(
        one.frontend().job_state(JobId(1)).await,
        Err(Refusal::NoJob)
    );
}

#[tokio::test]
async fn a_submission_is_answered_as_unknown_when_the_store_gives_no_answer() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.set_mode(Mode::AnswersLost);
    assert_eq!(submit(&one, 1).await, Err(Refusal::Unknown));
    platform.set_mode(Mode::Healthy);
    // The store wrote the record, so the job runs.
    wait_until_completed(&one, 1).await;
}

#[tokio::test]
async fn an_append_whose_answer_is_lost_is_retried_while_the_caller_waits() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.set_mode(Mode::HalfAnswersLost);
    for job in 1..6 {
        assert_eq!(submit(&one, job).await, Ok(()));
    }
    for job in 1..6 {
        wait_until_completed(&one, job).await;
        assert_eq!(platform.starts(job), 4);
    }
}

#[tokio::test]
async fn submissions_to_a_store_that_refuses_fail_and_append_nothing() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.set_mode(Mode::Refusing);
    let before = platform.appends();
    for job in 1..200 {
        assert_eq!(submit(&one, job).await, Err(Refusal::NotStored));
    }
    // Appends that the store refuses are not counted.
    assert_eq!(platform.appends(), before);
}

#[tokio::test]
async fn a_cancelled_job_ends_and_unknown_jobs_and_queues_are_refused() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let queue = QueueName::from("q");
    let deadline = Instant::now() + 3 * SECOND;
    submit(&one, 1).await.unwrap();
    wait_until(|| async { one.frontend().job_state(JobId(1)).await.is_ok() }).await;
    let frontend = one.frontend();
    frontend.cancel(&queue, JobId(1), deadline).await.unwrap();
    wait_until(|| async {
        let state = one.frontend().job_state(JobId(1)).await;
        matches!(state, Ok(State::Cancelled | State::Completed))
    })
    .await;
    let unknown = frontend.cancel(&queue, JobId(9), deadline).await;
    assert_eq!(unknown, Err(Refusal::NoJob));
    let missing = QueueName::from("missing");
    let refused = frontend
        .submit(&missing, JobId(3), two_step_job(), deadline)
        .await;
    assert_eq!(refused, Err(Refusal::NoQueue));
}

/// A node that is cut off from the store does not learn of new queues, so it cannot tell that a queue is missing.
#[tokio::test(start_paused = true)]
async fn a_queue_is_reported_missing_only_while_the_configuration_is_current() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let missing = QueueName::from("missing");
    let deadline = Instant::now() + 300 * SECOND;
    let frontend = one.frontend();
    let submit = || frontend.submit(&missing, JobId(1), two_step_job(), deadline);
    assert_eq!(submit().await, Err(Refusal::NoQueue));
    assert_eq!(frontend.pending(&missing).await, Err(Refusal::NoQueue));
    platform.set_mode(Mode::Unresponsive);
    tokio::time::sleep(4 * SECOND).await;
    assert_eq!(submit().await, Err(Refusal::NotReady));
    assert_eq!(frontend.pending(&missing).await, Err(Refusal::NotReady));
    platform.set_mode(Mode::Healthy);
    tokio::time::sleep(SECOND).await;
    assert_eq!(submit().await, Err(Refusal::NoQueue));
}

/// Guards against starts that stay blocked after an outage, however long it took. A start that waits for its record has
/// to send the record again: the store never answers calls made before the outage ended.
#[rstest]
#[tokio::test(start_paused = true)]
async fn starts_resume_soon_after_an_outage(
    #[values(2_000, 2_600, 3_200, 3_800, 4_400)] outage_ms: u64,
) {
    let platform = Fake::new();
    // If the owner were the only node, it would give up the cell.
    let (one, two) = (start_node("one", &platform), start_node("two", &platform));
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    // The first step runs when the outage begins, and the second one cannot start without a record.
    submit(&one, 1).await.unwrap();
    wait_until(|| async { platform.starts(1) == 2 }).await;
    platform.set_mode(Mode::Unresponsive);
    sleep(Duration::from_millis(outage_ms)).await;
    platform.set_mode(Mode::Healthy);
    let outage_end = Instant::now();
    wait_until_completed(&one, 1).await;
    let took = outage_end.elapsed();
    assert!(took < 2 * SECOND, "{took:?}");
}
