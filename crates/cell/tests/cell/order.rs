//! The order in which waiting steps are placed.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    job::{
        Schedule,
        Step, //
    },
};

use rstest::rstest;

use crate::world::{
    Faults,
    World,
    size, //
};

/// Guards against steps that match no worker using up a scheduling pass, so that later steps are never considered.
#[test]
fn steps_without_a_matching_worker_do_not_block_others() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let step = |requires: Option<&str>| Step {
        count: 1,
        size: size(1_000, 1_024),
        requires: requires.map(Into::into),
        ..Step::default()
    };
    for _ in 0..100 {
        world.submit("batch", vec![step(Some("no-such-label"))]);
    }
    let job = world.submit("batch", vec![step(None)]);
    world.run(Duration::from_secs(10));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.starts, 1);
}

/// Guards against a scheduling pass that considers only the first waiting steps.
///
/// More steps than one pass considers wait for one half of the workers, then a job arrives for which the other half is
/// idle.
#[test]
fn a_job_that_fits_starts_at_once_behind_thousands_that_do_not() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let labelled = Step {
        requires: Some("r1".into()),
        ..whole_worker_step(1, 1_600)
    };
    for _ in 0..3_000 {
        world.submit("batch", vec![labelled.clone()]);
    }
    world.run(Duration::from_millis(100));
    let job = world.submit("batch", vec![whole_worker_step(1, 1_600)]);
    // It runs for up to 3 s.
    world.run(Duration::from_millis(3_500));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against starts that workers refuse because the ticket expired while the start waited for an outage to end.
#[rstest]
#[case::singles(false)]
#[case::gang(true)]
fn a_ticket_that_expired_during_an_outage_is_not_used(#[case] gang: bool) {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.start_outage(Duration::from_secs(4));
    let step = Step {
        count: 4,
        size: size(1_000, 1_024),
        gang,
        ..Step::default()
    };
    let job = world.submit("urgent", vec![step]);
    world.run(Duration::from_secs(12));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!((world.starts, world.refused_tickets), (4, 0));
}

/// Guards against an occurrence of a repeated job that is ranked by when the job was received rather than when it is
/// due.
#[test]
fn an_occurrence_is_as_urgent_as_a_job_received_at_its_due_time() {
    let mut world = World::new(1, Faults::default());
    let step = |count| Step {
        count,
        size: size(1_000, 1_024),
        estimate: Duration::from_secs(1),
        ..Step::default()
    };
    let minute = Duration::from_secs(60);
    let schedule = Schedule {
        times: 1,
        first: Duration::from_micros(world.now.as_micros()) + minute,
        period: minute,
    };
    let repeated = world.submit_repeated("batch", vec![step(1)], Some(schedule));
    world.run(minute - Duration::from_millis(500));
    // All workers are full when the occurrence is due, and other jobs wait that arrived earlier and later.
    world.submit("batch", vec![step(80)]);
    world.run(Duration::from_millis(550));
    let later = world.submit("batch", vec![step(400)]);
    world.run(Duration::from_secs(8));
    assert_eq!(world.engine.state(repeated), Some(State::Completed));
    assert_eq!(world.engine.state(later), Some(State::Running));
}

/// Number of workers, each of which one task of `whole_worker_step` fills.
const WORKERS: u16 = 8;

/// Returns a step of tasks that take a whole worker each, with an estimate in milliseconds.
fn whole_worker_step(count: u16, estimate: u64) -> Step {
    Step {
        count,
        size: size(4_000, 1_024),
        estimate: Duration::from_millis(estimate),
        ..Step::default()
    }
}

/// Guards against large jobs that go before short urgent ones because the urgent ones are late.
///
/// After a time without an owner, short urgent jobs are late already, while large jobs that wait are on time.
#[test]
fn late_urgent_jobs_run_before_large_jobs_that_are_on_time() {
    let mut world = World::new(3, Faults::default());
    world.run(Duration::from_secs(1));
    let urgent: Vec<_> = (0..8)
        .map(|_| {
            world.submit_late(
                "urgent",
                vec![whole_worker_step(1, 300)],
                Duration::from_secs(2),
            )
        })
        .collect();
    let large: Vec<_> = (0..4)
        .map(|_| world.submit("batch", vec![whole_worker_step(WORKERS, 3_000)]))
        .collect();
    world.run(Duration::from_secs(6));
    let state = |job| world.engine.state(job);
    let completed = urgent
        .iter()
        .filter(|job| state(**job) == Some(State::Completed));
    assert_eq!(
        completed.count(),
        urgent.len(),
        "not all late urgent jobs are completed"
    );
    world.run(Duration::from_secs(60));
    let state = |job| world.engine.state(job);
    assert!(
        large
            .iter()
            .all(|job| state(*job) == Some(State::Completed))
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against a long-running task that permanently ranks behind all other jobs because it is late.
#[test]
fn a_long_running_task_starts_however_late_it_is() {
    let mut world = World::new(5, Faults::default());
    world.run(Duration::from_secs(1));
    let long_running = Step {
        long_running: true,
        ..whole_worker_step(1, 100)
    };
    let service = world.submit_late("batch", vec![long_running], Duration::from_secs(600));
    for _ in 0..4 {
        world.submit("batch", vec![whole_worker_step(WORKERS, 3_000)]);
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.engine.state(service), Some(State::Running));
}
