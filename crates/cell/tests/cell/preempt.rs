//! Preemption: it is worth what starts because of it, and comes to rest.
//!
//! Long after some workers had gone down, half of all runs of a fleet were stopped, and one task was placed some forty times: gangs
//! that were late had tasks make way that were in time, and these came before the gangs in the next pass and took the
//! room back. The owner's log showed it: 2,023 decisions to make room, 108 of which were followed by a start of the step
//! that they were for, on the same worker.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::JobId,
    job::Step, //
};
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step,
    size, //
};

/// How many workers there are, with room for four tasks of the usual size each.
const WORKERS: u32 = 48;
/// How many members a gang has; each takes a whole worker.
const MEMBERS: u16 = 8;

/// Tasks that save their work and make way for others.
fn yielding() -> Step {
    Step {
        count: 4,
        checkpointing: true,
        estimate: Duration::from_millis(1_600),
        ..quick_step()
    }
}

fn wide_gang() -> Step {
    Step {
        count: MEMBERS,
        size: size(4_000, 1_024),
        estimate: Duration::from_millis(1_600),
        gang: true,
        ..Step::default()
    }
}

/// Plays 20 s of a load in parts of a hundred of what the fleet bears; some gangs come in the middle, late already.
fn play(seed: u64, load: u32, late: usize) -> (World, Vec<JobId>) {
    let nodes = ["a", "b", "c", "d", "e", "f"];
    let mut world = World::sized(seed, Faults::default(), WORKERS, &nodes);
    world.run(Duration::from_secs(1));
    let mut gangs = Vec::new();
    let mut share = 0;
    for tick in 0..200 {
        if tick == 50 {
            let ago = Duration::from_secs(8);
            gangs.extend((0..late).map(|_| world.submit_late("gang", vec![wide_gang()], ago)));
        }
        // The fleet bears three of these jobs each tenth of a second.
        share += 3 * load;
        for _ in 0..share / 100 {
            world.submit("batch", vec![yielding()]);
        }
        share %= 100;
        world.run(Duration::from_millis(100));
    }
    (world, gangs)
}

/// What makes room for a late gang starts it, or isn't done: no more tasks make way than the gangs have taken the room of.
#[rstest]
fn no_more_tasks_make_way_than_the_steps_that_start_need(
    #[values(70, 85, 95)] load: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let (mut world, gangs) = play(seed, load, 4);
    let ended = world.now;
    world.run(Duration::from_secs(30));
    assert_eq!(world.violations, Vec::<String>::new());
    let states = gangs.iter().map(|gang| world.engine.state(*gang));
    assert!(
        states
            .into_iter()
            .all(|state| state == Some(State::Completed))
    );
    // Each member takes the room of four tasks.
    let needed = gangs.len() * usize::from(MEMBERS) * 4;
    let made_way = world.preempted.len();
    assert!(made_way <= needed, "{made_way} made way, {needed} would do");
    let rest = ended + Duration::from_secs(5);
    assert!(world.preempted.iter().all(|(at, _)| *at <= rest));
}
