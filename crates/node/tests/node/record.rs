//! How jobs and cancellations are recorded, and how an owner reads them while parts of the store are slow or fail.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        NodeName,
        QueueName, //
    },
    job::Schedule,
    record::Claim,
    spread::Spread,
};
use fulmarpier_node::{
    frontend::Refusal,
    platform::{
        SMALL_CELL_JOB_PARTITIONS,
        Topic, //
    },
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use crate::{
    platform::Fake,
    support::{
        SECOND,
        acceptance,
        cancel,
        job,
        start_node,
        step,
        submit_spec,
        unplaceable_step,
        wait_until,
        wait_until_ready, //
    },
};

/// Guards against a takeover that never ends. One partition takes longer than a second per call, the others take
/// milliseconds. If a new owner reads all 16 partitions again whenever its last read of any is too old, that read is
/// too old each time the slow one answers. As the claim is renewed meanwhile, no other node takes over either.
#[rstest]
#[case::below_a_second(900)]
#[case::above_a_second(1_100)]
#[case::slowest_expected(1_400)]
#[tokio::test(start_paused = true)]
async fn a_takeover_completes_when_one_partition_is_slow(#[case] delay_ms: u64) {
    let platform = Fake::new();
    platform.delay_reads(Topic::Jobs(0), Duration::from_millis(delay_ms));
    let one = start_node("one", &platform);
    let takeover = timeout(60 * SECOND, async {
        while one.frontend().pending(&QueueName::from("q")).await.is_err() {
            sleep(SECOND / 20).await;
        }
    });
    assert!(takeover.await.is_ok(), "no owner within 60 s");
}

/// Guards against a cancellation that takes effect late because another partition is slow. The cancellation is in a
/// partition that answers in milliseconds; it comes too late if its record is passed to the owner's actor only after
/// the slowest of the partitions read at the same time has answered or timed out.
#[rstest]
#[case::all_answer(0)]
#[case::one_is_slow(1_400)]
#[case::one_gives_no_answer(30_000)]
#[tokio::test(start_paused = true)]
async fn a_recorded_cancellation_takes_effect_within_3_s_whatever_another_partition_does(
    #[case] delay_ms: u64,
) {
    let platform = Fake::new();
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let anchor = Instant::now();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    // All partitions have just been read, so the next reads of all of them are due together.
    sleep(SECOND).await;
    let mut late = Vec::new();
    for id in 1..40u64 {
        let partition = 1 + u16::try_from(id % 15).unwrap();
        let schedule = Schedule {
            first: wall + anchor.elapsed() + Duration::from_millis(6_150),
            period: SECOND,
            times: 1,
        };
        let accepted = acceptance(id, job(vec![step()], Some(schedule)), partition);
        platform.record_job(partition, &accepted);
        sleep(3 * SECOND).await;
        platform.delay_reads(Topic::Jobs(0), Duration::from_millis(delay_ms));
        platform.record_cancellation(partition, id);
        let recorded = Instant::now();
        while recorded.elapsed() < Duration::from_millis(6_500) {
            sleep(SECOND / 20).await;
            if platform.starts(id) > 0 {
                late.push((id, recorded.elapsed()));
                break;
            }
        }
        platform.delay_reads(Topic::Jobs(0), Duration::ZERO);
        sleep(3 * SECOND + Duration::from_millis(id * 37)).await;
    }
    assert!(
        late.is_empty(),
        "started after their cancellation: {late:?}"
    );
}

/// Guards against losing the fact that a cancelled job existed. The job's own record is removed, and only its
/// cancellation says that it was known. The caller repeats the cancellation while there is no owner, so it is recorded
/// as that of an unknown job; under the same key it would overwrite the first.
#[tokio::test(start_paused = true)]
async fn a_job_whose_cancellation_comes_twice_is_still_shown_as_cancelled() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit_spec(&one, 1, job(vec![unplaceable_step()], None))
        .await
        .unwrap();
    assert_eq!(cancel(&one, 1).await, Ok(()));
    sleep(10 * SECOND).await;
    assert_eq!(
        one.frontend().job_state(JobId(1)).await,
        Ok(State::Cancelled)
    );
    one.leave();
    one.wait_for_release(SECOND).await;
    one.stop(SECOND).await;
    for partition in 0..SMALL_CELL_JOB_PARTITIONS {
        platform.block_reads(Topic::Jobs(partition), 2 * SECOND);
    }
    let again = start_node("one", &platform);
    sleep(SECOND).await;
    assert_eq!(cancel(&again, 1).await, Ok(()));
    wait_until_ready(&again).await;
    assert_eq!(
        again.frontend().job_state(JobId(1)).await,
        Ok(State::Cancelled)
    );
}

/// Guards against a finished job whose record stays in the store. The store refuses the partition of the job's node, so
/// the node writes the record to the next one. The node notifies the owner before the owner reads that partition. An
/// owner that goes by the notice alone removes the record from a partition in which it never was.
#[tokio::test(start_paused = true)]
async fn a_finished_job_is_removed_from_the_second_partition_of_its_node() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit_spec(&one, 1, job(vec![step()], None)).await.unwrap();
    let key = JobId(1).to_string();
    let own = (0..SMALL_CELL_JOB_PARTITIONS).find(|p| platform.newest_job(*p, &key).is_some());
    let own = own.unwrap();
    platform.refuse_appends(own);
    submit_spec(&one, 2, job(vec![step()], None)).await.unwrap();
    let key = JobId(2).to_string();
    let next = (own + 1) % SMALL_CELL_JOB_PARTITIONS;
    assert!(platform.newest_job(next, &key).is_some());
    sleep(15 * SECOND).await;
    assert_eq!(
        one.frontend().job_state(JobId(2)).await,
        Ok(State::Completed)
    );
    assert!(
        platform.newest_job(next, &key).is_none(),
        "its record is still in the store"
    );
}

/// A record that cannot be decoded does not mean that the job does not exist.
#[tokio::test(start_paused = true)]
async fn a_job_with_an_undecodable_record_is_not_reported_as_missing() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    platform.put_in_partition(3, &JobId(1).to_string(), vec![0xff]);
    sleep(3 * SECOND).await;
    let found = one.frontend().job_state(JobId(1)).await;
    assert_ne!(found, Err(Refusal::NoJob));
}

/// Guards against a long takeover when the store loses answers. If it loses a third of them, some of the 17 concurrent
/// reads fail twice. All must succeed before the cell has an owner again, and until then no caller is served.
#[rstest]
#[case::one(1, 500)]
#[case::two(2, 1_200)]
#[tokio::test(start_paused = true)]
async fn a_takeover_is_short_while_answers_are_lost(#[case] lost: u32, #[case] max_ms: u128) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    one.leave();
    one.wait_for_release(SECOND).await;
    one.stop(SECOND).await;
    platform.lose_newest_reads(lost);
    let two = start_node("two", &platform);
    wait_until(|| async { platform.owner().as_deref() == Some("two") }).await;
    let claimed = Instant::now();
    wait_until(|| async { two.frontend().pending(&QueueName::from("q")).await.is_ok() }).await;
    let took = claimed.elapsed().as_millis();
    assert!(took <= max_ms, "{took} ms");
}

/// Guards against claims whose epochs decrease. While an owner is stalled, another node claims the cell; then the owner
/// resumes and tries to hand the cell over. The failed append tells it where the claims end. If it released its own,
/// older ownership there, the newest claim would have an older epoch than the one before it, and the next owner would
/// reuse the epoch of another owner.
#[tokio::test]
async fn a_replaced_owner_that_hands_the_cell_over_appends_no_claim_of_an_older_epoch() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    wait_until(|| async { one.peer_count().await == 1 }).await;
    let newest = platform.claims().pop().unwrap();
    platform.write_claim(&Claim {
        spread: Spread::default(),
        nodes: 1,
        consecutive_slow_owners: 0,
        voters: Vec::new(),
        former: Vec::new(),
        epoch: newest.epoch.next(),
        node: NodeName::from("another"),
        renewal: 0,
        ..newest
    });
    one.leave();
    one.wait_for_release(SECOND).await;
    sleep(2 * SECOND).await;
    let epochs: Vec<_> = platform.claims().iter().map(|claim| claim.epoch).collect();
    assert!(epochs.is_sorted(), "{epochs:?}");
}
