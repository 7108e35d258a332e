//! Records of other writers that have the expected form but hold values which no node writes: numbers that are too large
//! and references to what doesn't exist.
//!
//! The tests guard against a record that ends every owner that reads it, or that no later valid record replaces.

use std::time::Duration;

use fulmarpier_cell::{
    config::{
        AdviceTiming,
        Queue, //
    },
    id::{
        Epoch,
        JobId,
        Run, //
    },
    job::{
        Schedule,
        Step, //
    },
    record::{
        self,
        Accepted,
        Failures,
        PlainProgress,
        StepProgress, //
    },
};
use fulmarpier_node::platform::Topic;
use rstest::rstest;
use tokio::time::sleep;

use crate::{
    platform::{
        Fake,
        REJECTED_VALUE, //
    },
    support::{
        SECOND,
        acceptance,
        job,
        queue,
        start_node,
        step,
        submit,
        wait_until_completed,
        wait_until_ready, //
    },
    world::{
        Record,
        USUAL_SIZES,
        World, //
    },
};

/// The job whose record is odd.
const ODD_JOB: u64 = 77;
/// How long the jobs of a world may take.
const JOBS_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts a second owner that reads what the store holds, and checks that it runs a job of its own.
async fn check_takeover(platform: &Fake) {
    let one = start_node("one", platform);
    wait_until_ready(&one).await;
    submit(&one, 2).await.unwrap();
    wait_until_completed(&one, 2).await;
    one.stop(Duration::ZERO).await;
    let two = start_node("two", platform);
    wait_until_ready(&two).await;
    submit(&two, 3).await.unwrap();
    wait_until_completed(&two, 3).await;
    assert_eq!((platform.starts(2), platform.starts(3)), (4, 4));
    let epochs = platform
        .valid_claims()
        .into_iter()
        .map(|claim| claim.epoch.0);
    assert!(epochs.max() <= Some(2), "an owner has ended by itself");
}

fn of_steps(steps: Vec<Step>) -> Accepted {
    acceptance(ODD_JOB, job(steps, None), 0)
}

fn of_schedule(times: u32, first: Duration, period: Duration) -> Accepted {
    let schedule = Schedule {
        times,
        first,
        period,
    };
    acceptance(ODD_JOB, job(vec![step()], Some(schedule)), 0)
}

fn of_queue(change: impl FnOnce(&mut Queue)) -> Accepted {
    let mut queue = queue();
    change(&mut queue);
    Accepted {
        queue: queue.into(),
        ..of_steps(vec![step()])
    }
}

fn after(steps: &[u16]) -> Step {
    Step {
        after: steps.to_vec(),
        ..step()
    }
}

fn lasting(estimate: Duration) -> Step {
    Step { estimate, ..step() }
}

#[rstest]
#[case::no_steps(of_steps(Vec::new()))]
#[case::no_tasks(of_steps(vec![Step { count: 0, ..step() }]))]
#[case::after_a_step_that_does_not_exist(of_steps(vec![after(&[9])]))]
#[case::after_itself(of_steps(vec![after(&[0])]))]
#[case::after_each_other(of_steps(vec![after(&[1]), after(&[0])]))]
#[case::too_many_tasks(of_steps(vec![Step { count: u16::MAX, ..step() }; 100]))]
#[case::too_many_steps(of_steps(vec![step(); 5_000]))]
#[case::longest_estimates(of_steps(vec![lasting(Duration::MAX), Step { after: vec![0], ..lasting(Duration::MAX) }]))]
#[case::longest_target(of_steps(vec![Step { target: Some(Duration::MAX), ..step() }]))]
#[case::longest_period(of_schedule(u32::MAX, Duration::ZERO, Duration::MAX))]
#[case::latest_start(of_schedule(2, Duration::MAX, Duration::MAX))]
#[case::no_period(of_schedule(u32::MAX, Duration::ZERO, Duration::ZERO))]
#[case::stretch_not_a_number(of_queue(|queue| queue.stretch = f64::NAN))]
#[case::stretch_infinite(of_queue(|queue| queue.stretch = f64::INFINITY))]
#[case::stretch_negative(of_queue(|queue| queue.stretch = -1.0))]
#[case::longest_objective(of_queue(|queue| queue.objective_offset = Duration::MAX))]
#[case::most_attempts(of_queue(|queue| queue.max_attempts = u32::MAX))]
#[case::no_attempts(of_queue(|queue| queue.max_attempts = 0))]
#[case::longest_advice(of_queue(|queue| queue.advice = Some(AdviceTiming {
    call_overhead: Duration::MAX,
    time_per_worker: Duration::MAX,
    ticket_validity: Duration::MAX,
})))]
#[tokio::test(start_paused = true)]
async fn an_odd_acceptance_ends_no_owner(#[case] odd: Accepted) {
    let platform = Fake::new();
    platform.record_job(0, &odd);
    check_takeover(&platform).await;
}

fn failed(index: u16, run: u32) -> StepProgress {
    StepProgress {
        failures: vec![Failures {
            index,
            runs: vec![Run(run)],
        }],
        ..StepProgress::default()
    }
}

#[rstest]
#[case::highest_occurrence(vec![(u32::MAX, vec![StepProgress::default()])])]
#[case::more_steps_than_the_job(vec![(0, vec![StepProgress::default(); 40])])]
#[case::fewer_steps_than_the_job(vec![(0, Vec::new())])]
#[case::an_occurrence_twice(vec![(0, vec![StepProgress::default()]); 2])]
#[case::a_task_that_does_not_exist(vec![(0, vec![failed(u16::MAX, 1)])])]
#[case::highest_run(vec![(0, vec![failed(0, u32::MAX)])])]
#[case::more_done_than_tasks(vec![(0, vec![StepProgress { done: vec![0xff; 9_000], ..StepProgress::default() }])])]
#[tokio::test(start_paused = true)]
async fn odd_progress_ends_no_owner(#[case] occurrences: Vec<(u32, Vec<StepProgress>)>) {
    let platform = Fake::new();
    platform.record_job(0, &of_steps(vec![step()]));
    let progress = PlainProgress {
        occurrences,
        ..PlainProgress::default()
    };
    let entry = record::Entry::PlainJob(JobId(ODD_JOB), progress);
    let value = record::encode(&entry).unwrap();
    platform.write(Topic::Progress, &entry.key(), &value);
    check_takeover(&platform).await;
}

/// A claim whose number leaves no room for the next one.
#[rstest]
#[case::highest(u32::MAX)]
#[case::runs_cannot_be_numbered(u32::MAX / 10_000 + 1)]
#[tokio::test(start_paused = true)]
async fn a_claim_with_too_large_a_number_is_no_claim(#[case] number: u32) {
    let platform = Fake::new();
    let one = start_node("one", &platform);
    wait_until_ready(&one).await;
    submit(&one, 1).await.unwrap();
    wait_until_completed(&one, 1).await;
    let mut odd = platform.valid_claims().pop().unwrap();
    odd.epoch = Epoch(number);
    platform.write_claim(&odd);
    sleep(2 * SECOND).await;
    submit(&one, 2).await.unwrap();
    wait_until_completed(&one, 2).await;
    one.stop(Duration::ZERO).await;
    platform.write_claim(&odd);
    let two = start_node("two", &platform);
    wait_until_ready(&two).await;
    submit(&two, 3).await.unwrap();
    wait_until_completed(&two, 3).await;
    let newest = platform.valid_claims().pop().unwrap();
    assert_eq!(newest.epoch.0, 2);
}

/// An odd entry in place of a worker's and another one under an unknown key, while the owner changes.
#[rstest]
#[case::rejected_value(REJECTED_VALUE)]
#[case::malformed(b"foreign")]
#[tokio::test(start_paused = true)]
async fn jobs_run_on_the_other_workers_beside_an_odd_entry(#[case] odd: &[u8]) {
    let mut world = World::start(&USUAL_SIZES).await;
    world.store.write(Topic::Workers, "w0", odd);
    world.store.write(Topic::Workers, "another", odd);
    sleep(2 * SECOND).await;
    for _ in 0..5 {
        world.submit(4, SECOND);
    }
    sleep(SECOND).await;
    world.end_node(0, true);
    assert_eq!(world.wait_for_jobs(JOBS_TIMEOUT).await, []);
    let before = world.runs().len();
    assert_ne!(before, 0);
    world.store.write(Topic::Workers, "w0", b"here");
    sleep(2 * SECOND).await;
    for _ in 0..30 {
        world.submit(4, SECOND);
    }
    assert_eq!(world.wait_for_jobs(JOBS_TIMEOUT).await, []);
    assert_eq!(world.violations(), Vec::<String>::new());
    let is_first = |run: &&Record| run.worker == 0;
    let runs = world.runs();
    assert_ne!(runs[before..].iter().filter(is_first).count(), 0);
    assert_eq!(runs[..before].iter().filter(is_first).count(), 0);
}
