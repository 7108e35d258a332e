//! What an owner answers and does while the store holds records that it has not read yet.
//!
//! These tests guard against an owner that takes what it has not read for what does not exist. After a restart of all
//! nodes the new owner reads the 16 partitions of the jobs concurrently, and lost answers of one call make its takeover
//! take 3.5 s. Meanwhile another node accepts a job in a partition that the owner has already read, and gives up
//! notifying the owner before the takeover ends. A caller cancels the job; the owner does not know it, answers `no-job`
//! and records nothing. 1.2 s later it reads on in the partition and finds the job, and 2 s after that it starts the
//! cancelled job.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        QueueName, //
    },
    job::Spec,
};
use fulmarpier_node::{
    frontend::Refusal,
    platform::Topic, //
};
use rstest::rstest;
use tokio::time::{
    Instant,
    sleep, //
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
        unplaceable_step,
        wait_until_ready, //
    },
};

/// The partition whose reads are blocked, so that the takeover waits for it.
const BLOCKED_PARTITION: u16 = 0;

/// Returns a job of two short tasks.
fn quick_job() -> Spec {
    job(vec![step()], None)
}

/// Returns a job that no worker ever has room for.
fn waiting_job() -> Spec {
    job(vec![unplaceable_step()], None)
}

/// A job is recorded in each of the partitions that the owner has already read, and is cancelled before, when or after
/// the owner begins to answer.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_job_doesn_t_start_after_its_cancellation_was_answered(
    #[values(2_000, 2_500, 3_000, 3_100, 3_200, 3_300, 3_400, 3_600, 4_000)] cancelled_ms: u64,
) {
    let platform = Fake::new();
    platform.block_reads(Topic::Jobs(BLOCKED_PARTITION), 2 * SECOND);
    let one = start_node("one", &platform);
    sleep(SECOND).await;
    let jobs = 1..16;
    for partition in jobs.clone() {
        platform.record_job(
            partition,
            &acceptance(partition.into(), quick_job(), partition),
        );
    }
    sleep(Duration::from_millis(cancelled_ms) - SECOND).await;
    for job in jobs.clone() {
        let answer = cancel(&one, job.into()).await;
        let is_answered = matches!(answer, Ok(()) | Err(Refusal::NoJob));
        assert!(is_answered, "job {job}: {answer:?}");
    }
    // An order that was sent before the answer may still arrive.
    sleep(SECOND / 10).await;
    let starts = |job: u16| platform.starts(job.into());
    let before: Vec<usize> = jobs.clone().map(starts).collect();
    sleep(10 * SECOND).await;
    let after: Vec<usize> = jobs.map(starts).collect();
    assert_eq!(before, after);
}

/// The owner learns of the jobs and their cancellations only from the store: no node notifies it. It finds the jobs in
/// its first read of each partition, and the cancellations only in the second.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_new_owner_starts_nothing_that_was_cancelled_while_it_read_the_store(
    #[values(100, 1_000, 1_900)] cancelled_ms: u64,
) {
    let platform = Fake::new();
    platform.block_reads(Topic::Jobs(BLOCKED_PARTITION), 2 * SECOND);
    for partition in 1..16 {
        platform.record_job(
            partition,
            &acceptance(partition.into(), quick_job(), partition),
        );
    }
    let _one = start_node("one", &platform);
    sleep(Duration::from_millis(cancelled_ms)).await;
    for partition in 1..16 {
        platform.record_cancellation(partition, partition.into());
    }
    sleep(10 * SECOND).await;
    let starts: usize = (1..16).map(|job| platform.starts(job)).sum();
    assert_eq!(starts, 0);
}

/// Without an owner no node can tell whether the job exists. The cancellation is recorded as that of an unknown job,
/// under a key that ends in `/u`, and the caller does not have to wait for an owner.
#[tokio::test(start_paused = true)]
async fn a_cancellation_is_accepted_while_there_is_no_owner() {
    let platform = Fake::new();
    platform.block_reads(Topic::Jobs(BLOCKED_PARTITION), 2 * SECOND);
    let one = start_node("one", &platform);
    sleep(SECOND).await;
    let called = Instant::now();
    assert_eq!(cancel(&one, 1).await, Ok(()));
    assert!(called.elapsed() < SECOND / 10, "{:?}", called.elapsed());
    assert!(platform.has_record(&format!("{}/u", JobId(1))));
}

/// Other nodes have recorded the jobs, and the owner has not been notified of them.
#[tokio::test(start_paused = true)]
async fn a_recorded_job_is_never_reported_as_missing() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    for partition in 0..16 {
        let job = 100 + u64::from(partition);
        platform.record_job(partition, &acceptance(job, quick_job(), partition));
        let found = one.frontend().job_state(JobId(job)).await;
        assert!(found.is_ok(), "{found:?}");
        // The lookups fall on different moments between two reads of a partition.
        sleep(Duration::from_millis(130)).await;
    }
}

/// A caller gets no answer to its submission and cancels the job; the store writes the job's record only after that.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_recorded_after_its_cancellation_doesn_t_start() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    assert_eq!(cancel(&one, 1).await, Err(Refusal::NoJob));
    assert_eq!(cancel(&one, 2).await, Err(Refusal::NoJob));
    let never_submitted = one.frontend().job_state(JobId(2)).await;
    assert_eq!(never_submitted, Err(Refusal::NoJob));
    platform.record_job(5, &acceptance(1, quick_job(), 5));
    sleep(10 * SECOND).await;
    assert_eq!(
        one.frontend().job_state(JobId(1)).await,
        Ok(State::Cancelled)
    );
    assert_eq!(platform.starts(1), 0);
}

/// The jobs were accepted by nodes that could not reach the owner, and none of their tasks has started.
#[tokio::test(start_paused = true)]
async fn the_first_pending_count_of_a_new_owner_includes_all_waiting_jobs() {
    let platform = Fake::new();
    platform.block_reads(Topic::Jobs(BLOCKED_PARTITION), 2 * SECOND);
    let one = start_node("one", &platform);
    sleep(SECOND).await;
    for partition in 1..16 {
        platform.record_job(
            partition,
            &acceptance(partition.into(), waiting_job(), partition),
        );
    }
    let queue = QueueName::from("q");
    let count = loop {
        match one.frontend().pending(&queue).await {
            Ok(count) => break count,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    assert_eq!(count, 15);
}

/// While the store does not answer reads of one partition, the number of waiting jobs is unknown, and callers would
/// take a stale number for the current one.
#[tokio::test(start_paused = true)]
async fn a_pending_count_is_refused_while_it_would_be_too_old() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let queue = QueueName::from("q");
    assert_eq!(one.frontend().pending(&queue).await, Ok(0));
    platform.block_reads(Topic::Jobs(BLOCKED_PARTITION), 6 * SECOND);
    platform.record_job(
        BLOCKED_PARTITION,
        &acceptance(1, waiting_job(), BLOCKED_PARTITION),
    );
    sleep(3 * SECOND).await;
    assert_eq!(platform.owner().as_deref(), Some("one"));
    assert_eq!(one.frontend().pending(&queue).await, Err(Refusal::NoOwner));
    sleep(4 * SECOND).await;
    assert_eq!(one.frontend().pending(&queue).await, Ok(1));
}

/// Guards against callers who exhaust the store by looking up jobs that do not exist: the store serves 2,000 reads a
/// second.
#[tokio::test(start_paused = true)]
async fn lookups_of_unknown_jobs_make_a_bounded_number_of_store_calls() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let before = platform.job_reads();
    let began = Instant::now();
    for job in 1_000..1_100 {
        assert_eq!(
            one.frontend().job_state(JobId(job)).await,
            Err(Refusal::NoJob)
        );
    }
    let many = (0..1_000).map(|job| {
        let frontend = one.frontend();
        async move { frontend.job_state(JobId(2_000 + job)).await }
    });
    for answer in futures::future::join_all(many).await {
        assert_eq!(answer, Err(Refusal::NoJob));
    }
    let read_rounds = began.elapsed().as_millis() / 100 + 2;
    let reads = platform.job_reads() - before;
    assert!(reads as u128 <= 16 * read_rounds, "{reads} calls");
}
