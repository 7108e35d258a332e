//! What an owner says and does while others have put something on record that it has not read.
//!
//! **The failure.** A caller cancelled a job and was told that there is no such job; 3.3 s later both of its tasks
//! were started. All nodes had just been restarted. The new owner read the 16 partitions of the jobs side by side, and
//! the answers of one call were lost, so its takeover took 3.5 s. Meanwhile another node took the job and put it on
//! record, in a partition that the owner had read already. The caller's second try to cancel reached the owner as soon
//! as it was at work; it did not know the job, and nothing was put on record. 1.2 s later the owner read the partition
//! on, and 2 s after that the job found room and began.
//!
//! **The evidence.** The logs show one claim from the restart on, the job accepted 0.1 s after it, the cancellation
//! answered with `no-job` 3.5 s after it, and the start under the same epoch. The store's counts show calls of the
//! owner's machine without an answer around that time, and none of another's. By the owner's `placed` lines, 27 jobs that
//! five nodes had accepted in those 2 s opened their steps within 16 ms, 1.2 s after the answer, when it read on; all had been
//! accepted so early that their nodes had given up telling before the takeover ended.
//!
//! **The cause.** What an owner has not read was taken for what is not there.

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
    front::Refusal,
    port::Topic, //
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
        accepted,
        cancel,
        job,
        node,
        ready,
        step,
        unplaceable, //
    },
};

/// The partition whose newest records the owner waits for.
const HELD_BACK: u16 = 0;

/// Makes a job of two tasks.
fn quick() -> Spec {
    job(vec![step()], None)
}

/// Makes a job that waits for room for ever.
fn waiting() -> Spec {
    job(vec![unplaceable()], None)
}

/// The job is on record in each of the partitions that the owner has read already, and is cancelled at some
/// moment before, as or after the owner begins to answer.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_job_doesn_t_start_after_its_cancellation_was_answered(
    #[values(2_000, 2_500, 3_000, 3_100, 3_200, 3_300, 3_400, 3_600, 4_000)] cancelled_ms: u64,
) {
    let platform = Fake::new();
    platform.hold_back(Topic::Jobs(HELD_BACK), 2 * SECOND);
    let one = node("one", &platform);
    sleep(SECOND).await;
    let jobs = 1..16;
    for partition in jobs.clone() {
        platform.accept(partition, &accepted(partition.into(), quick(), partition));
    }
    sleep(Duration::from_millis(cancelled_ms) - SECOND).await;
    for job in jobs.clone() {
        let answer = cancel(&one, job.into()).await;
        let is_answered = matches!(answer, Ok(()) | Err(Refusal::NoJob));
        assert!(is_answered, "job {job}: {answer:?}");
    }
    // An order that had left when the answer was given may still arrive.
    sleep(SECOND / 10).await;
    let starts = |job: u16| platform.starts(job.into());
    let before: Vec<usize> = jobs.clone().map(starts).collect();
    sleep(10 * SECOND).await;
    let after: Vec<usize> = jobs.map(starts).collect();
    assert_eq!(before, after);
}

/// The owner hears of both from the record alone: no node has told it of the job, nor of its cancellation.
/// The jobs are known from the first reading, and their cancellations from the second alone.
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_new_owner_starts_nothing_that_was_cancelled_while_it_read_the_record(
    #[values(100, 1_000, 1_900)] cancelled_ms: u64,
) {
    let platform = Fake::new();
    platform.hold_back(Topic::Jobs(HELD_BACK), 2 * SECOND);
    for partition in 1..16 {
        platform.accept(partition, &accepted(partition.into(), quick(), partition));
    }
    let _one = node("one", &platform);
    sleep(Duration::from_millis(cancelled_ms)).await;
    for partition in 1..16 {
        platform.cancel(partition, partition.into());
    }
    sleep(10 * SECOND).await;
    let starts: usize = (1..16).map(|job| platform.starts(job)).sum();
    assert_eq!(starts, 0);
}

/// With no owner there is nobody who knows the job, and its caller need not wait for one.
#[tokio::test(start_paused = true)]
async fn a_cancellation_is_taken_while_there_is_no_owner() {
    let platform = Fake::new();
    platform.hold_back(Topic::Jobs(HELD_BACK), 2 * SECOND);
    let one = node("one", &platform);
    sleep(SECOND).await;
    let asked = Instant::now();
    assert_eq!(cancel(&one, 1).await, Ok(()));
    assert!(asked.elapsed() < SECOND / 10, "{:?}", asked.elapsed());
    assert!(platform.keeps(&format!("{}/u", JobId(1))));
}

/// Other nodes have put it on record, and their word has not reached the owner.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_on_record_is_never_said_not_to_be_there() {
    let platform = Fake::new();
    let one = node("one", &platform);
    ready(&one).await;
    for partition in 0..16 {
        let job = 100 + u64::from(partition);
        platform.accept(partition, &accepted(job, quick(), partition));
        let found = one.front().look(JobId(job)).await;
        assert!(found.is_ok(), "{found:?}");
        // At all moments between two readings of the partition.
        sleep(Duration::from_millis(130)).await;
    }
}

/// A caller whose try to hand it in got no answer gives up; the store carries the record out later.
#[tokio::test(start_paused = true)]
async fn a_cancelled_job_that_turns_up_on_record_later_doesn_t_start() {
    let platform = Fake::new();
    let one = node("one", &platform);
    ready(&one).await;
    assert_eq!(cancel(&one, 1).await, Err(Refusal::NoJob));
    assert_eq!(cancel(&one, 2).await, Err(Refusal::NoJob));
    let never_handed_in = one.front().look(JobId(2)).await;
    assert_eq!(never_handed_in, Err(Refusal::NoJob));
    platform.accept(5, &accepted(1, quick(), 5));
    sleep(10 * SECOND).await;
    assert_eq!(one.front().look(JobId(1)).await, Ok(State::Cancelled));
    assert_eq!(platform.starts(1), 0);
}

/// A node that was cut off from the owner, and is back, has taken jobs that nothing has begun.
#[tokio::test(start_paused = true)]
async fn the_first_count_of_a_new_owner_has_all_jobs_that_waited_for_it() {
    let platform = Fake::new();
    platform.hold_back(Topic::Jobs(HELD_BACK), 2 * SECOND);
    let one = node("one", &platform);
    sleep(SECOND).await;
    for partition in 1..16 {
        platform.accept(partition, &accepted(partition.into(), waiting(), partition));
    }
    let queue = QueueName::from("q");
    let count = loop {
        match one.front().pending(&queue).await {
            Ok(count) => break count,
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    };
    assert_eq!(count, 15);
}

/// While the store gives no answer about one partition, nobody can tell how many jobs wait; a number would be taken
/// for the truth.
#[tokio::test(start_paused = true)]
async fn a_count_is_refused_once_it_is_too_old() {
    let platform = Fake::new();
    let one = node("one", &platform);
    ready(&one).await;
    let queue = QueueName::from("q");
    assert_eq!(one.front().pending(&queue).await, Ok(0));
    platform.hold_back(Topic::Jobs(HELD_BACK), 6 * SECOND);
    platform.accept(HELD_BACK, &accepted(1, waiting(), HELD_BACK));
    sleep(3 * SECOND).await;
    assert_eq!(platform.owner().as_deref(), Some("one"));
    assert_eq!(one.front().pending(&queue).await, Err(Refusal::NoOwner));
    sleep(4 * SECOND).await;
    assert_eq!(one.front().pending(&queue).await, Ok(1));
}

/// Callers who ask for jobs that don't exist must not use up the store's calls: it takes 2,000 readings a second.
#[tokio::test(start_paused = true)]
async fn questions_about_jobs_that_don_t_exist_cost_a_bounded_number_of_calls() {
    let platform = Fake::new();
    let one = node("one", &platform);
    ready(&one).await;
    let before = platform.job_reads();
    let began = Instant::now();
    for job in 1_000..1_100 {
        assert_eq!(one.front().look(JobId(job)).await, Err(Refusal::NoJob));
    }
    let many = (0..1_000).map(|job| {
        let front = one.front();
        async move { front.look(JobId(2_000 + job)).await }
    });
    for answer in futures::future::join_all(many).await {
        assert_eq!(answer, Err(Refusal::NoJob));
    }
    let readings = began.elapsed().as_millis() / 100 + 2;
    let reads = platform.job_reads() - before;
    assert!(reads as u128 <= 16 * readings, "{reads} calls");
}
