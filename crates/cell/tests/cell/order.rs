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
