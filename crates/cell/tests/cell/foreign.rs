//! A worker whose entry turns into one of another writer.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::{
        Bounds,
        FORMER_OWNER, //
    },
    engine::State,
    id::{
        JobId,
        WorkerId, //
    },
    job::Step,
};

use crate::world::{
    Faults,
    World,
    size, //
};

const SECOND: Duration = Duration::from_secs(1);
/// Longer than any test.
const FOR_GOOD: Duration = Duration::from_secs(600);

fn step(count: u16) -> Step {
    Step {
        count,
        size: size(1_000, 1_024),
        estimate: SECOND,
        ..Step::default()
    }
}

fn workers(world: &World) -> Vec<WorkerId> {
    world.workers.keys().cloned().collect()
}

/// Makes a world whose workers all run something, as a job fills them.
fn full() -> (World, JobId) {
    let mut world = World::new(3, Faults::default());
    world.run(SECOND);
    let job = world.submit("batch", vec![step(32)]);
    world.run(SECOND / 10);
    assert_eq!(world.engine.counts().claims, 32);
    (world, job)
}

fn completed(world: &World, job: JobId) -> bool {
    world.engine.state(job) == Some(State::Completed)
}

#[test]
fn what_runs_goes_on_and_nothing_new_is_started() {
    let (mut world, job) = full();
    for id in workers(&world) {
        world.turn_foreign(&id, FOR_GOOD);
    }
    let next = world.submit("batch", vec![step(1)]);
    // Longer than its leases: they are renewed all the while.
    world.run(30 * SECOND);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(completed(&world, job), "its tasks ran to their ends");
    assert_eq!(world.starts, 32, "each where it was first started");
    assert_eq!(world.engine.state(next), Some(State::Queued));
    assert_eq!(world.engine.worker_count(), 8, "none counts as gone");
}

#[test]
fn a_good_entry_brings_a_worker_back() {
    let (mut world, _) = full();
    for id in workers(&world) {
        world.turn_foreign(&id, 5 * SECOND);
    }
    let next = world.submit("batch", vec![step(1)]);
    world.run(4 * SECOND);
    assert_eq!(world.engine.state(next), Some(State::Queued));
    // Its task takes 3 s at most.
    world.run(8 * SECOND);
    assert!(completed(&world, next));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn an_entry_says_nothing_of_a_worker_that_is_not_known() {
    let mut world = World::new(3, Faults::default());
    let stranger = WorkerId::from("another");
    world.engine.distrust(&stranger, world.now);
    world.run(SECOND);
    assert_eq!(world.engine.worker_count(), 8);
}

/// A capacity or an address that nobody confirms must not stay in force for good.
#[test]
fn a_worker_that_is_silent_too_is_given_up_when_its_leases_have_lapsed() {
    let (mut world, job) = full();
    let cut = workers(&world)[0].clone();
    world.workers.get_mut(&cut).unwrap().cut_until = world.now + FOR_GOOD;
    world.turn_foreign(&cut, FOR_GOOD);
    world.run(Bounds::default().lapse() / 2);
    assert_eq!(
        world.engine.worker_count(),
        8,
        "it may run on under its lease"
    );
    assert!(!completed(&world, job));
    world.run(2 * Bounds::default().lapse());
    assert_eq!(world.engine.worker_count(), 7);
    world.run(10 * SECOND);
    assert!(completed(&world, job), "its tasks ran elsewhere");
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_new_owner_finds_what_runs_on_a_worker_whose_entry_it_can_not_read() {
    let (mut world, job) = full();
    for id in workers(&world) {
        world.turn_foreign(&id, FOR_GOOD);
    }
    world.take_over();
    world.run(2 * (Bounds::default().lapse() + FORMER_OWNER));
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(completed(&world, job));
    assert_eq!(world.starts, 32, "nothing was started twice");
}

/// The loss of a worker and what it runs after its return may stand in one record.
#[test]
fn a_new_owner_finds_what_runs_on_a_worker_that_was_lost_and_came_back() {
    let mut world = World::new(3, Faults::default());
    world.run(SECOND);
    let lost = workers(&world)[0].clone();
    world.workers.get_mut(&lost).unwrap().cut_until = world.now + 10 * SECOND;
    world.turn_foreign(&lost, 11 * SECOND);
    // One record is on its way all the while.
    world.lose_store(15 * SECOND);
    world.submit("batch", vec![step(1)]);
    world.run(10 * SECOND);
    assert_eq!(world.engine.worker_count(), 7, "it is given up");
    world.run(3 * SECOND);
    assert_eq!(world.engine.worker_count(), 8, "it is back");
    world.submit("batch", vec![step(64)]);
    world.run(2 * SECOND + SECOND / 10);
    assert!(world.starts > 16, "tasks run everywhere");
    world.turn_foreign(&lost, FOR_GOOD);
    world.take_over();
    world.run(30 * SECOND);
    assert_eq!(world.violations, Vec::<String>::new());
}
