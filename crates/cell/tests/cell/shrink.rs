//! Workers whose capacity shrinks while they run.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    job::Step, //
};

use crate::world::{
    Faults,
    World,
    quick_step, //
};

/// Guards against starts on workers whose capacity shrank during an outage of the store.
///
/// Starts that were decided before wait for their records, and no worker can report its new capacity meanwhile.
#[test]
fn no_worker_is_overcommitted_after_capacities_shrank_during_an_outage() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.start_outage(Duration::from_secs(7));
    let step = Step {
        count: 32,
        ..quick_step()
    };
    let job = world.submit("batch", vec![step]);
    world.run(Duration::from_secs(1));
    world.resize(1);
    world.run(Duration::from_secs(30));
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Completed));
}

/// Guards against an engine that stops placing tasks because workers can't report their capacity, although no capacity
/// has ever shrunk.
#[test]
fn jobs_run_while_only_the_list_of_workers_is_unavailable() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.is_list_unavailable = true;
    world.run(Duration::from_secs(10));
    let step = Step {
        count: 16,
        ..quick_step()
    };
    let job = world.submit("batch", vec![step]);
    world.run(Duration::from_secs(4));
    assert_eq!(world.engine.state(job), Some(State::Completed));
}
