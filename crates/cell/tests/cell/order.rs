//! Which steps get their turn.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    job::Step, //
};

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
