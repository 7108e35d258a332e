//! Invalid records that other writers leave in the topics of a cell.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::JobId, //
};
use fulmarpier_node::{
    Meter,
    platform::{
        SMALL_CELL_JOB_PARTITIONS,
        Topic, //
    },
};
use fulmarpier_state::unit::Millicores;
use rstest::rstest;
use slog::{
    Drain,
    Logger, //
};
use tokio::time::sleep;

use crate::{
    platform::{
        Fake,
        REJECTED_VALUE, //
    },
    support::{
        Lines,
        SECOND,
        start_node,
        start_node_with_log,
        start_node_with_meter,
        submit,
        wait_until_completed,
        wait_until_ready, //
    },
};

#[rstest]
#[case::malformed(b"foreign")]
#[case::unknown_pool(b"elsewhere")]
#[case::rejected_value(REJECTED_VALUE)]
#[tokio::test(start_paused = true)]
async fn a_worker_is_not_used_while_its_newest_entry_is_invalid(#[case] invalid: &[u8]) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    platform.write(Topic::Workers, "w0", invalid);
    sleep(SECOND).await;
    submit(&one, 2).await.unwrap();
    sleep(30 * SECOND).await;
    assert_eq!(one.frontend().job_state(JobId(2)).await, Ok(State::Queued));
    platform.write(Topic::Workers, "w0", b"here");
    wait_until_completed(&one, 2).await;
    assert_eq!(platform.starts(2), 4);
}

#[tokio::test(start_paused = true)]
async fn a_worker_whose_pool_is_configured_later_is_used_from_then_on() {
    let platform = Fake::new();
    platform.write(Topic::Workers, "w0", b"elsewhere");
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    sleep(3 * SECOND).await;
    assert_eq!(one.frontend().job_state(JobId(1)).await, Ok(State::Queued));
    platform.write(Topic::Configuration, "config", b"2");
    wait_until_completed(&one, 1).await;
}

#[rstest]
#[case::malformed(b"foreign")]
#[case::unknown_pool(b"elsewhere")]
#[case::rejected_value(REJECTED_VALUE)]
#[tokio::test(start_paused = true)]
async fn an_invalid_entry_of_an_unknown_worker_affects_no_other_worker(#[case] invalid: &[u8]) {
    let platform = Fake::new();
    platform.write(Topic::Workers, "another", invalid);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    assert_eq!(platform.starts(1), 4);
}

#[tokio::test(start_paused = true)]
async fn each_rejected_record_is_counted() {
    let platform = Fake::new();
    let meter = Meter::new().unwrap();
    let one = start_node_with_meter("one", &platform, Millicores(250), meter.clone());
    wait_until_ready(&one).await;
    let before = meter.render().unwrap();
    assert!(!before.contains("fulmarpier_records_rejected_total{"));
    platform.write(Topic::Workers, "w1", b"foreign");
    platform.write(Topic::Workers, "w2", b"foreign");
    platform.write(Topic::Workers, "w3", b"elsewhere");
    platform.write(Topic::Workers, "w4", REJECTED_VALUE);
    sleep(SECOND).await;
    let counts = ["form", "pool", "value"].map(|fault| rejected(&meter, fault));
    assert_eq!(counts, [Some(2), Some(1), Some(1)]);
}

/// Returns how many records were rejected for a fault, according to the metrics.
fn rejected(meter: &Meter, fault: &str) -> Option<u32> {
    let text = meter.render().unwrap();
    let mut lines = text
        .lines()
        .filter(|line| line.starts_with("fulmarpier_records_rejected_total{"));
    let line = lines.find(|line| line.contains(&format!("fault=\"{fault}\"")))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Guards against a log filled by a foreign entry that comes again and again.
#[tokio::test(start_paused = true)]
async fn an_invalid_entry_is_logged_once_for_each_key_and_fault() {
    let platform = Fake::new();
    let (meter, lines) = (Meter::new().unwrap(), Lines::default());
    let log = Logger::root(lines.clone().fuse(), slog::o!());
    let one = start_node_with_log("one", &platform, Millicores(250), meter.clone(), log);
    wait_until_ready(&one).await;
    for _ in 0..10 {
        for value in [b"foreign".as_slice(), b"here", b"elsewhere"] {
            for worker in ["w1", "w2"] {
                platform.write(Topic::Workers, worker, value);
            }
            sleep(SECOND).await;
        }
    }
    assert_eq!(lines.count("record-rejected"), 4);
    let counts = ["form", "pool"].map(|fault| rejected(&meter, fault));
    assert_eq!(counts, [Some(20), Some(20)]);
}

/// Values that other writers may leave in any topic.
const GARBAGE: [&[u8]; 3] = [b"", b"\xff\xff\xff\xff", REJECTED_VALUE];

/// Writes invalid records into every topic, under keys that nodes use and under others. A key that ends in `/x` is that
/// of a cancellation.
fn write_garbage(platform: &Fake, job: u64) {
    let job = JobId(job).to_string();
    let cancelled = format!("{job}/x");
    for value in GARBAGE {
        for key in ["owner", "another"] {
            platform.write(Topic::Claims, key, value);
        }
        for key in ["config", "another"] {
            platform.write(Topic::Configuration, key, value);
        }
        for key in [job.as_str(), "w/w0", "another"] {
            platform.write(Topic::Progress, key, value);
        }
        for partition in 0..SMALL_CELL_JOB_PARTITIONS {
            for key in [job.as_str(), cancelled.as_str(), "another", "another/x"] {
                platform.write(Topic::Jobs(partition), key, value);
            }
        }
    }
}

#[tokio::test]
async fn an_owner_keeps_working_among_unreadable_records() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    write_garbage(&platform, 1);
    // Longer than an ownership claim is valid without renewal.
    sleep(2 * SECOND).await;
    submit(&one, 2).await.unwrap();
    wait_until_completed(&one, 2).await;
    assert_eq!(
        one.frontend().job_state(JobId(1)).await,
        Ok(State::Completed)
    );
    assert_eq!((platform.starts(1), platform.starts(2)), (4, 4));
    assert_eq!(platform.owner().as_deref(), Some("one"));
    assert!(
        platform
            .valid_claims()
            .iter()
            .all(|claim| claim.epoch.0 == 1)
    );
}

/// How many records at the end of each topic a store with a truncated history keeps.
const KEPT_RECORDS: usize = 80;

#[rstest]
#[case::whole_history(None)]
#[case::truncated_history(Some(KEPT_RECORDS))]
#[tokio::test]
async fn a_new_owner_takes_over_the_last_valid_records(#[case] kept: Option<usize>) {
    let platform = Fake::new();
    // These records are older than those that remain when the history is truncated.
    for _ in 0..KEPT_RECORDS {
        platform.write(Topic::Claims, "another", b"old");
    }
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    one.stop(Duration::ZERO).await;
    write_garbage(&platform, 1);
    if let Some(kept) = kept {
        platform.truncate_history(kept);
    }
    // This node has read neither the claim nor the configuration before.
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    assert_eq!(
        two.frontend().job_state(JobId(1)).await,
        Ok(State::Completed)
    );
    submit(&two, 2).await.unwrap();
    wait_until_completed(&two, 2).await;
    assert_eq!((platform.starts(1), platform.starts(2)), (4, 4));
    let last = platform.valid_claims().pop().unwrap();
    assert!(
        last.epoch.0 >= 2,
        "the former owner's orders must be refused"
    );
}

#[tokio::test(start_paused = true)]
async fn a_malformed_cancellation_cancels_no_job() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    // Without a usable worker the job stays queued.
    platform.write(Topic::Workers, "w0", b"foreign");
    sleep(SECOND).await;
    submit(&one, 1).await.unwrap();
    let key = format!("{}/x", JobId(1));
    for partition in 0..SMALL_CELL_JOB_PARTITIONS {
        platform.write(Topic::Jobs(partition), &key, b"cancel");
    }
    sleep(3 * SECOND).await;
    assert_eq!(one.frontend().job_state(JobId(1)).await, Ok(State::Queued));
    platform.write(Topic::Workers, "w0", b"here");
    wait_until_completed(&one, 1).await;
}
