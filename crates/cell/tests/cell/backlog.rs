//! The backlog of decisions: how long steps wait for the first pass that examines them, and whose they are.

use std::time::Duration;

use fulmarpier_cell::job::Step;

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

const SECOND: Duration = Duration::from_secs(1);
/// More steps than one pass examines.
const MANY: usize = 4_000;
/// The steps of a job.
const STEPS: usize = 100;

/// Returns steps of which a worker runs one at a time.
fn wide_steps() -> Vec<Step> {
    let step = Step {
        count: 1,
        size: size(4_000, 1_024),
        ..quick_step()
    };
    vec![step; STEPS]
}

/// Jobs that wait for capacity are no backlog, however many there are.
#[test]
fn steps_that_wait_for_capacity_are_no_backlog() {
    let mut world = World::new(1, Faults::default());
    for _ in 0..10 {
        world.submit("urgent", wide_steps());
    }
    world.run(SECOND);
    let backlog = world.engine.backlog();
    assert!(backlog.urgent < SECOND / 100, "{backlog:?}");
    assert_eq!(world.engine.backlogged_workspaces(), None);
}

/// A backlog is noticed while passes leave steps unexamined, and is gone once they have examined all.
#[test]
fn a_backlog_is_worked_off() {
    let mut world = World::new(1, Faults::default());
    world.run(SECOND);
    for _ in 0..MANY / STEPS {
        world.submit("batch", wide_steps());
    }
    let mut longest = Duration::ZERO;
    for _ in 0..200 {
        world.run(SECOND / 200);
        let backlog = world.engine.backlog();
        assert!(backlog.urgent <= backlog.other, "{backlog:?}");
        longest = longest.max(backlog.other);
    }
    assert!(longest > Duration::ZERO);
    assert_eq!(world.engine.backlog().other, Duration::ZERO);
}
