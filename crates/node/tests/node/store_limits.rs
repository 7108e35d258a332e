//! Jobs whose records are larger than what the store takes at once.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::JobId,
    job::{
        Invalid,
        Schedule,
        Step, //
    },
};
use fulmarpier_node::{
    frontend::Refusal,
    platform::{
        StoreLimits,
        Topic, //
    },
};
use fulmarpier_state::resource::Resources;
use futures::future::join_all;
use tokio::time::sleep;

use crate::{
    platform::Fake,
    support::{
        SECOND,
        job,
        start_node,
        step,
        submit_spec,
        wait_until_completed,
        wait_until_ready, //
    },
};

/// Limits that are a few hundred times lower than those of the platform.
const LOW_LIMITS: StoreLimits = StoreLimits {
    record: 600,
    call: 2_000,
};

/// Returns a step of many tasks that fit on one worker together.
fn wide_step(count: u16) -> Step {
    Step {
        count,
        size: Resources::ZERO,
        ..step()
    }
}

/// Guards against a record too large for the store that is sent again for ever, and holds up every job.
#[tokio::test(start_paused = true)]
async fn a_job_of_many_tasks_doesn_t_hold_up_the_others() {
    let platform = Fake::new();
    platform.limit_appends(LOW_LIMITS);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let spec = job(vec![wide_step(5_000)], None);
    submit_spec(&one, 1, spec).await.unwrap();
    sleep(SECOND / 50).await;
    for id in 2..10 {
        submit_spec(&one, id, job(vec![step()], None))
            .await
            .unwrap();
    }
    for id in 1..10 {
        wait_until_completed(&one, id).await;
    }
    assert_eq!(platform.starts(1), 5_000);
    let left = platform.key_count(Topic::Progress);
    assert!(left <= 10, "{left} records are left in the store");
}

/// Guards against a large record of which a new owner reads only a part: it would start the tasks again.
#[tokio::test(start_paused = true)]
async fn a_new_owner_reads_records_that_were_stored_in_pieces() {
    let platform = Fake::new();
    platform.limit_appends(LOW_LIMITS);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let then = Step {
        after: vec![0],
        ..step()
    };
    let spec = job(vec![wide_step(4_900), then], None);
    submit_spec(&one, 1, spec).await.unwrap();
    let mut nodes = vec![one];
    for name in ["two", "three", "four"] {
        sleep(Duration::from_millis(45)).await;
        if let Some(former) = nodes.pop() {
            former.stop(Duration::ZERO).await;
        }
        let node = start_node(name, &platform);
        wait_until_ready(&node).await;
        nodes.push(node);
    }
    wait_until_completed(&nodes[0], 1).await;
    assert_eq!(platform.starts(1), 4_902);
    sleep(5 * SECOND).await;
    let left = platform.key_count(Topic::Progress);
    assert!(left <= 2, "{left} records are left in the store");
}

/// Guards against a job too large for the store that is refused as if a retry could help, with those beside it.
#[tokio::test(start_paused = true)]
async fn a_job_that_can_t_be_stored_is_refused_as_invalid_and_alone() {
    let platform = Fake::new();
    platform.limit_appends(LOW_LIMITS);
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let labelled = Step {
        requires: Some("x".repeat(600).into()),
        ..step()
    };
    let submissions = (1..=40u64).map(|id| {
        let step = if id == 7 { labelled.clone() } else { step() };
        submit_spec(&one, id, job(vec![step], None))
    });
    let outcomes = join_all(submissions).await;
    for (id, outcome) in (1..=40u64).zip(outcomes) {
        if id == 7 {
            let refused = outcome.unwrap_err();
            let is_too_large = matches!(refused, Refusal::Invalid(Invalid::TooLarge { .. }));
            assert!(is_too_large, "{refused}");
        } else {
            assert_eq!(outcome, Ok(()), "job {id}");
            wait_until_completed(&one, id).await;
        }
    }
    let state = one.frontend().job_state(JobId(7)).await;
    assert_eq!(state, Err(Refusal::NoJob));
}

/// Guards against a job that repeats so often that the record of its progress holds up every job.
#[tokio::test(start_paused = true)]
async fn a_job_that_makes_up_for_a_week_doesn_t_hold_up_the_others() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let steps = (0..50u16).map(|index| Step {
        count: 1,
        size: Resources::ZERO,
        after: index.checked_sub(1).into_iter().collect(),
        ..step()
    });
    let schedule = Schedule {
        times: 2_016,
        first: Duration::ZERO,
        period: 300 * SECOND,
    };
    let spec = job(steps.collect(), Some(schedule));
    submit_spec(&one, 1, spec).await.unwrap();
    sleep(2 * SECOND).await;
    for id in 2..12 {
        submit_spec(&one, id, job(vec![step()], None))
            .await
            .unwrap();
        wait_until_completed(&one, id).await;
    }
    let state = one.frontend().job_state(JobId(1)).await;
    assert_eq!(state, Ok(State::Running));
}

/// Guards against endless calls and changes of owner when the store takes less than the settings say.
#[tokio::test(start_paused = true)]
async fn what_the_store_never_takes_is_rarely_sent_again() {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    let spec = job(vec![wide_step(3_000)], None);
    submit_spec(&one, 1, spec).await.unwrap();
    platform.limit_appends(LOW_LIMITS);
    sleep(30 * SECOND).await;
    let refused = platform.oversized_appends();
    assert!((1..=7).contains(&refused), "{refused} calls");
    assert_eq!(platform.takeovers().len(), 1);
    platform.limit_appends(StoreLimits {
        record: 1_000_000,
        call: 1_000_000,
    });
    wait_until_completed(&one, 1).await;
}
