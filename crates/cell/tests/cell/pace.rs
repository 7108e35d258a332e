//! Placement by the speed of workers.

use std::time::Duration;

use fulmarpier_cell::job::Step;

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

/// The nodes that ask for advice.
const NODES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// How many workers there are, each with the capacity for four tasks of the usual size.
const WORKERS: u32 = 24;
/// The time between two batches of jobs.
const TICK: Duration = Duration::from_millis(250);

/// Returns a step of tasks of the usual size.
fn step(count: u16) -> Step {
    Step {
        count,
        ..quick_step()
    }
}

/// Returns a gang of tasks that take half a worker each.
fn gang(count: u16) -> Step {
    Step {
        count,
        size: size(2_000, 1_024),
        gang: true,
        ..quick_step()
    }
}

/// Guards against decisions that change where no worker is known to be slower or faster than the others.
///
/// The snapshot was taken before placement regarded the speed of workers. The load exceeds the capacity, so that tasks
/// wait, tickets are renewed, and tasks are preempted.
#[test]
fn equal_workers_are_chosen_as_without_regard_to_speed() {
    let mut world = World::sized(7, Faults::default(), WORKERS, &NODES);
    world.run(Duration::from_secs(1));
    for tick in 0..8 {
        let racks = Step {
            same_rack: tick % 2 == 0,
            ..gang(3)
        };
        let near = Step {
            affinity: Some("r1".into()),
            checkpointing: true,
            ..step(24)
        };
        world.submit("urgent", vec![step(3)]);
        world.submit("gang", vec![racks]);
        world.submit("batch", vec![near]);
        world.run(TICK);
    }
    assert!(!world.preempted.is_empty());
    assert_eq!(world.violations, Vec::<String>::new());
    insta::assert_snapshot!(world.decisions.join("\n"));
}
