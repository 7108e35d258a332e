//! How many jobs are said to wait.

use std::time::Duration;

use crate::world::{
    Faults,
    World,
    size, //
};
use fulmarpier_cell::{
    engine::State,
    id::QueueName,
    job::Step, //
};

#[test]
fn a_job_whose_start_came_to_nothing_still_waits() {
    let faults = Faults {
        lost_orders: 1_000,
        ..Faults::default()
    };
    let mut world = World::new(1, faults);
    world.run(Duration::from_secs(1));
    let step = Step {
        count: 1,
        size: size(1_000, 1_024),
        ..Step::default()
    };
    let job = world.submit("batch", vec![step]);
    world.run(Duration::from_millis(300));
    let batch = QueueName::from("batch");
    assert_eq!(world.engine.pending(&batch), 1);
    assert_eq!(world.engine.state(job), Some(State::Queued));
    world.calm();
    world.run(Duration::from_secs(15));
    assert_eq!(world.engine.pending(&batch), 0);
    assert_eq!(world.violations, Vec::<String>::new());
}
