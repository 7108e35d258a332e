//! Workers that are held for a gang, and when that ends.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::JobId,
    job::Step, //
};

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

const TICK: Duration = Duration::from_millis(25);
const SECOND: Duration = Duration::from_secs(1);

/// Returns a world of eight workers, full of preemptible tasks, that are held for a gang of a workspace.
fn world_with_hold() -> (World, JobId) {
    let mut world = World::new(1, Faults::default());
    world.set_limits(&[("hot", 32)]);
    world.run(SECOND);
    let preemptible = Step {
        count: 400,
        checkpointing: true,
        ..quick_step()
    };
    world.submit("advised-batch", vec![preemptible]);
    world.run(SECOND / 2);
    let gang = Step {
        count: 4,
        size: size(4_000, 1_024),
        estimate: Duration::from_millis(1_600),
        gang: true,
        ..Step::default()
    };
    let gang = world.submit_for("hot", "gang", vec![gang]);
    for _ in 0..400 {
        if world.engine.counts().workers_held > 0 {
            break;
        }
        world.run(TICK);
    }
    assert!(world.engine.counts().workers_held > 0);
    (world, gang)
}

/// Guards against workers that stay closed to other steps although their gang has started.
#[test]
fn a_hold_ends_when_its_gang_starts() {
    let (mut world, gang) = world_with_hold();
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(gang), Some(State::Completed));
    assert_eq!(world.engine.counts().workers_held, 0);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against workers that are held for a gang that never starts.
#[test]
fn a_hold_ends_when_its_gang_is_cancelled() {
    let (mut world, gang) = world_with_hold();
    world.cancel(gang);
    world.run(2 * TICK);
    assert_eq!(world.engine.counts().workers_held, 0);
}

/// Guards against workers that are held for a gang which its workspace's limit holds back.
#[test]
fn a_hold_ends_when_its_workspace_reaches_its_limit() {
    let (mut world, _) = world_with_hold();
    world.set_limits(&[("hot", 1)]);
    world.run(4 * TICK);
    assert_eq!(world.engine.counts().workers_held, 0);
}
