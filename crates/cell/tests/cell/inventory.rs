//! Workers with more ended runs than an inventory lists.

use std::time::Duration;

use fulmarpier_cell::job::Step;
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    size, //
};

/// Guards against a task that starts again because the end of its run is beyond those that its worker lists at a time.
#[rstest]
#[case::same_owner(false)]
#[case::new_owner(true)]
fn a_run_whose_end_isn_t_listed_yet_is_not_started_again(#[case] owner_dies: bool) {
    let mut world = World::sized(1, Faults::default(), 1, &["a"]);
    world.run(Duration::from_secs(1));
    world.resize(1_600);
    world.run(Duration::from_secs(1));
    let many = Step {
        count: 800,
        size: size(1_000, 1_024),
        estimate: Duration::from_millis(500),
        ..Step::default()
    };
    let jobs = [
        world.submit("batch", vec![many.clone()]),
        world.submit("batch", vec![many]),
    ];
    while world.starts < 1_600 {
        world.run(Duration::from_millis(25));
    }
    // All runs end meanwhile, and the lease lasts longer.
    world.cut_off_all(Duration::from_millis(4_000));
    if owner_dies {
        world.run(Duration::from_millis(2_000));
        world.take_over();
    }
    world.run(Duration::from_secs(20));
    assert_eq!(world.violations.first(), None);
    assert_eq!(world.starts, 1_600);
    assert_eq!(world.completed(&jobs), 2);
}
