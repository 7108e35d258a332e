//! Wide gangs on full cells: advice about many workers, nodes that are down, and the rank among narrow gangs.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    job::Step, //
};
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

/// Returns a gang of tasks that take a whole worker each, with an estimate in milliseconds.
fn gang(count: u16, estimate: u64) -> Step {
    Step {
        count,
        size: size(4_000, 1_024),
        estimate: Duration::from_millis(estimate),
        gang: true,
        ..Step::default()
    }
}

/// Guards against a gang that never gets advice about some workers.
///
/// A call for advice names at most 100 workers, and each node makes one call at a time. The remaining workers must not
/// be left out because no node was free at that moment, nor must their calls wait until they have free capacity.
#[rstest]
#[case::one_node(&["a"])]
#[case::three_nodes(&["a", "b", "c"])]
fn a_wide_gang_gets_advice_about_all_workers_however_few_nodes_are_free(
    #[case] nodes: &[&'static str],
) {
    let mut world = World::sized(1, Faults::default(), 400, nodes);
    world.run(Duration::from_secs(1));
    // All workers are full, for up to 3 s.
    let others = Step {
        gang: false,
        ..gang(400, 1_600)
    };
    world.submit("batch", vec![others]);
    world.run(Duration::from_millis(100));
    // The gang needs half of the workers. It can start only once there is advice about at least three quarters of them.
    world.submit("gang", vec![gang(200, 1_000)]);
    // A call about 100 workers takes 0.12 s.
    world.run(Duration::from_millis(700));
    assert_eq!(world.advice_call_sizes, [100, 100, 100, 100]);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against urgent jobs that wait for advice from nodes that are down.
///
/// Nodes go down in turn, one of six at a time; urgent jobs complete as if all were up.
#[test]
fn nodes_that_are_down_do_not_delay_urgent_jobs() {
    let nodes = ["a", "b", "c", "d", "e", "f"];
    let mut world = World::sized(3, Faults::default(), 48, &nodes);
    world.run(Duration::from_secs(1));
    let mut jobs = Vec::new();
    for tick in 0..100 {
        if tick % 20 == 0 {
            world.nodes_down = [nodes[tick / 20].into()].into();
        }
        jobs.push(world.submit("urgent", vec![quick_step()]));
        world.run(Duration::from_millis(50));
    }
    // Tasks run for up to 3 s.
    world.run(Duration::from_millis(3_100));
    assert_eq!(world.completed(&jobs), jobs.len());
    // After the first few failures a node that is down is called at most once a second.
    assert!(
        world.failed_advice_calls <= 20,
        "{} calls failed",
        world.failed_advice_calls
    );
}

/// Number of gangs of one worker that arrive per second. Together they need a tenth more than the eight workers have.
const NARROW_GANGS_PER_SECOND: u32 = 6;

/// Guards against starvation of a wide gang that is late.
///
/// A late gang ranks behind all jobs that can still be on time. With narrow gangs arriving all the time it would wait
/// for ever, so it ranks among them once 64 of them have gone before it.
#[test]
fn a_late_wide_gang_runs_although_narrow_ones_keep_arriving() {
    let mut world = World::new(2, Faults::default());
    world.run(Duration::from_secs(1));
    let mut narrow = Vec::new();
    let mut submit_narrow = |world: &mut World| {
        narrow.push(world.submit("gang", vec![gang(1, 1_600)]));
        world.run(Duration::from_secs(1) / NARROW_GANGS_PER_SECOND);
        narrow.len()
    };
    while submit_narrow(&mut world) < 20 {}
    // The gang should have started 1 s ago, and it still has value for another 50 s.
    let wide = world.submit_late("gang", vec![gang(5, 10_000)], Duration::from_secs(12));
    while world.engine.state(wide) != Some(State::Completed) && submit_narrow(&mut world) < 220 {}
    assert_eq!(world.engine.state(wide), Some(State::Completed));
    let before = world.completed(&narrow);
    println!("{before} of {} narrow gangs completed", narrow.len());
    // Up to eight are running when the wide gang's turn comes, and some more end while it runs.
    assert!(
        (32..=96).contains(&before),
        "{before} narrow gangs completed before the wide one"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}
