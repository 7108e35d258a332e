//! Wide gangs beside narrow ones: what callers of each get on a full fleet.

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

/// A gang of tasks that take a whole worker each.
fn gang(count: u16, estimate: u64) -> Step {
    Step {
        count,
        size: size(4_000, 1_024),
        estimate: Duration::from_millis(estimate),
        gang: true,
        ..Step::default()
    }
}

/// Calls name 100 workers at most, and nodes ask one at a time: the rest of what a gang has to know must not be left
/// out because no node was free for it at that moment, nor wait until there is room where nobody has asked.
#[rstest]
#[case::one_node(&["a"])]
#[case::three_nodes(&["a", "b", "c"])]
fn a_gang_is_asked_about_all_that_it_needs_however_few_nodes_are_free(
    #[case] nodes: &[&'static str],
) {
    let mut world = World::sized(1, Faults::default(), 400, nodes);
    world.run(Duration::from_secs(1));
    // All workers are taken, for up to 3 s.
    let others = Step {
        gang: false,
        ..gang(400, 1_600)
    };
    world.submit("batch", vec![others]);
    world.run(Duration::from_millis(100));
    // Half of the fleet: it can start only where it is known of three quarters of the workers or more.
    world.submit("gang", vec![gang(200, 1_000)]);
    // A call about 100 workers takes 0.12 s.
    world.run(Duration::from_millis(700));
    assert_eq!(world.asked, [100, 100, 100, 100]);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Machines are restarted in turn, one in six at a time; callers of urgent jobs are served as if none were.
#[test]
fn nodes_that_are_down_hold_up_no_urgent_job() {
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
    // Each that is down is tried again once a second at most, after the first times.
    assert!(world.unadvised <= 20, "{} calls failed", world.unadvised);
}

/// How many gangs of one worker each come in a second: together they take a tenth more than the eight workers have.
const NARROW: u32 = 6;

/// A wide gang that is late comes after all that can be in time; while narrow ones come all the time that would be for
/// ever, so it is ranked with them once 64 of them have gone before it.
#[test]
fn a_wide_gang_is_served_though_narrow_ones_come_all_the_time() {
    let mut world = World::new(2, Faults::default());
    world.run(Duration::from_secs(1));
    let mut narrow = Vec::new();
    let mut come = |world: &mut World| {
        narrow.push(world.submit("gang", vec![gang(1, 1_600)]));
        world.run(Duration::from_secs(1) / NARROW);
        narrow.len()
    };
    while come(&mut world) < 20 {}
    // It was to start 1 s ago and is worth something for 50 s more.
    let wide = world.submit_late("gang", vec![gang(5, 10_000)], Duration::from_secs(12));
    while world.engine.state(wide) != Some(State::Completed) && come(&mut world) < 220 {}
    assert_eq!(world.engine.state(wide), Some(State::Completed));
    let before = world.completed(&narrow);
    println!("{before} of {} narrow ones", narrow.len());
    // Up to eight run when its turn comes, and some more end while the wide one does.
    assert!(
        (32..=96).contains(&before),
        "{before} narrow ones went before it"
    );
    assert_eq!(world.violations, Vec::<String>::new());
}
