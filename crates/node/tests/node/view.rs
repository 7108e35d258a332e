//! What an owner says and does while others have put something on record that it has not read.
//!
//! **The failure.** A caller cancelled a job and was told that there is no such job; 3.3 s later both of its tasks
//! were started. All nodes had just been restarted. The new owner read the 16 partitions of the jobs side by side, and
//! the answers of one call were lost, so its takeover took 3.5 s. Meanwhile another node took the job and put it on
//! record, in a partition that the owner had read already. The caller's second try to cancel reached the owner as soon
//! as it was at work; it did not know the job, and nothing was put on record. 1.5 s later the owner read the partition
//! on and began the job.
//!
//! **The evidence.** The logs show one claim from the restart on, the job accepted 0.1 s after it, the cancellation
//! answered with `no-job` 3.5 s after it, and the start under the same epoch. The store's counts show two calls of the
//! owner's machine without an answer in that time, and none of another's; the owner's connections to workers begin
//! when they end.
//!
//! **The cause.** What an owner has not read was taken for what is not there.

use std::time::Duration;

use fulmarpier_cell::{
    id::{
        JobId,
        QueueName, //
    },
    job::{
        Spec,
        Step, //
    },
    record::Accepted,
};
use fulmarpier_node::{
    Node,
    front::Refusal,
    port::Topic, //
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

use crate::support::{
    Fake,
    node,
    queue, //
};

const SECOND: Duration = Duration::from_secs(1);

/// The partition whose newest records the owner waits for.
const HELD_BACK: u16 = 0;

/// Makes the acceptance of a job of two tasks.
fn accepted(job: u64, partition: u16) -> Accepted {
    let step = Step {
        count: 2,
        size: Resources::new(Millicores(500), Bytes::from_mib(100), 0),
        estimate: Duration::from_millis(40),
        ..Step::default()
    };
    let spec = Spec {
        text: "text".into(),
        steps: vec![step],
        schedule: None,
    };
    Accepted {
        job: JobId(job),
        queue: queue().into(),
        spec: spec.into(),
        received: Timestamp::ZERO,
        partition,
    }
}

async fn cancel(node: &Node<Fake>, job: u64) -> Result<(), Refusal> {
    let queue = QueueName::from("q");
    let deadline = Instant::now() + 3 * SECOND;
    node.front().cancel(&queue, JobId(job), deadline).await
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
        platform.accept(partition, &accepted(partition.into(), partition));
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
