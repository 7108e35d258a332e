//! Workers whose room shrinks while they run.

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

/// Rooms shrink while the store is away: what was decided before waits for its record, and no worker can tell meanwhile.
#[test]
fn nothing_is_started_on_rooms_that_shrank_during_an_outage() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.lose_store(Duration::from_secs(7));
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

/// Where no room has ever shrunk, nothing is to be feared of workers that can't report for a while.
#[test]
fn an_outage_of_the_list_of_workers_alone_stops_nothing() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world.is_list_away = true;
    world.run(Duration::from_secs(10));
    let step = Step {
        count: 16,
        ..quick_step()
    };
    let job = world.submit("batch", vec![step]);
    world.run(Duration::from_secs(4));
    assert_eq!(world.engine.state(job), Some(State::Completed));
}
