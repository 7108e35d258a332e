//! Which steps get their turn.

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

#[test]
fn steps_that_find_no_worker_don_t_hide_one_that_would() {
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

/// More steps than a pass looks at wait for one half of the workers, and a job comes for which the other half is idle.
#[test]
fn a_job_with_room_is_served_at_once_behind_thousands_that_have_none() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let half = Step {
        requires: Some("r1".into()),
        ..whole(1, 1_600)
    };
    for _ in 0..3_000 {
        world.submit("batch", vec![half.clone()]);
    }
    world.run(Duration::from_millis(100));
    let job = world.submit("batch", vec![whole(1, 1_600)]);
    // It runs for up to 3 s.
    world.run(Duration::from_millis(3_500));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[rstest]
#[case::singles(false)]
#[case::gang(true)]
fn a_ticket_that_ran_out_while_the_store_was_away_is_not_used(#[case] gang: bool) {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.lose_store(Duration::from_secs(4));
    let step = Step {
        count: 4,
        size: size(1_000, 1_024),
        gang,
        ..Step::default()
    };
    let job = world.submit("urgent", vec![step]);
    world.run(Duration::from_secs(12));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!((world.starts, world.turned_away), (4, 0));
}

#[test]
fn an_occurrence_is_as_urgent_as_a_job_that_arrives_at_its_time() {
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
    // All room is taken when its time comes, and others wait that arrive earlier and later.
    world.submit("batch", vec![step(80)]);
    world.run(Duration::from_millis(550));
    let later = world.submit("batch", vec![step(400)]);
    world.run(Duration::from_secs(8));
    assert_eq!(world.engine.state(repeated), Some(State::Completed));
    assert_eq!(world.engine.state(later), Some(State::Running));
}

/// The room of the world's workers, in tasks of a whole worker.
const WORKERS: u16 = 8;

/// A step that takes whole workers for a while.
fn whole(count: u16, estimate: u64) -> Step {
    Step {
        count,
        size: size(4_000, 1_024),
        estimate: Duration::from_millis(estimate),
        ..Step::default()
    }
}

/// After a time without an owner quick urgent jobs are late, while large ones that wait are in time.
#[test]
fn callers_of_late_urgent_jobs_get_their_answers_before_large_jobs_in_time() {
    let mut world = World::new(3, Faults::default());
    world.run(Duration::from_secs(1));
    let urgent: Vec<_> = (0..8)
        .map(|_| world.submit_late("urgent", vec![whole(1, 300)], Duration::from_secs(2)))
        .collect();
    let large: Vec<_> = (0..4)
        .map(|_| world.submit("batch", vec![whole(WORKERS, 3_000)]))
        .collect();
    world.run(Duration::from_secs(6));
    let state = |job| world.engine.state(job);
    let served = urgent
        .iter()
        .filter(|job| state(**job) == Some(State::Completed));
    assert_eq!(served.count(), urgent.len(), "of the late urgent jobs");
    world.run(Duration::from_secs(60));
    let state = |job| world.engine.state(job);
    assert!(
        large
            .iter()
            .all(|job| state(*job) == Some(State::Completed))
    );
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_lasting_task_is_never_too_late_to_start() {
    let mut world = World::new(5, Faults::default());
    world.run(Duration::from_secs(1));
    let lasting = Step {
        lasting: true,
        ..whole(1, 100)
    };
    let service = world.submit_late("batch", vec![lasting], Duration::from_secs(600));
    for _ in 0..4 {
        world.submit("batch", vec![whole(WORKERS, 3_000)]);
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.engine.state(service), Some(State::Running));
}
