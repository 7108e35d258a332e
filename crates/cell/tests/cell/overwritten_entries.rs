//! Workers whose entry in the list of workers is overwritten by another writer, so that the owner can't use it.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::{
        Bounds,
        MAX_FORMER_OWNER_ACTIVITY, //
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
const FOREVER: Duration = Duration::from_secs(600);

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

/// Creates a world in which one job fills all workers; returns that job too.
fn fully_loaded() -> (World, JobId) {
    let mut world = World::new(3, Faults::default());
    world.run(SECOND);
    let job = world.submit("batch", vec![step(32)]);
    world.run(SECOND / 10);
    assert_eq!(world.engine.counts().allocations, 32);
    (world, job)
}

fn is_completed(world: &World, job: JobId) -> bool {
    world.engine.state(job) == Some(State::Completed)
}

#[test]
fn with_overwritten_entries_runs_continue_and_no_task_is_started() {
    let (mut world, job) = fully_loaded();
    for id in workers(&world) {
        world.overwrite_entry(&id, FOREVER);
    }
    let next = world.submit("batch", vec![step(1)]);
    // Longer than the leases last, so they must have been renewed.
    world.run(30 * SECOND);
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(is_completed(&world, job), "its tasks ran to completion");
    assert_eq!(world.starts, 32, "each task is started once");
    assert_eq!(world.engine.state(next), Some(State::Queued));
    assert_eq!(world.engine.worker_count(), 8, "no worker is given up");
}

#[test]
fn a_valid_entry_makes_a_worker_available_again() {
    let (mut world, _) = fully_loaded();
    for id in workers(&world) {
        world.overwrite_entry(&id, 5 * SECOND);
    }
    let next = world.submit("batch", vec![step(1)]);
    world.run(4 * SECOND);
    assert_eq!(world.engine.state(next), Some(State::Queued));
    // The task takes 3 s at most.
    world.run(8 * SECOND);
    assert!(is_completed(&world, next));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn an_overwritten_entry_of_an_unknown_worker_is_ignored() {
    let mut world = World::new(3, Faults::default());
    let unknown = WorkerId::from("another");
    world.engine.mark_entry_unusable(&unknown, world.now);
    world.run(SECOND);
    assert_eq!(world.engine.worker_count(), 8);
}

/// A capacity or an address that no entry confirms must not stay in force for ever.
#[test]
fn a_silent_worker_with_an_overwritten_entry_is_given_up_when_its_leases_have_expired() {
    let (mut world, job) = fully_loaded();
    let cut_off = workers(&world)[0].clone();
    world.workers.get_mut(&cut_off).unwrap().unreachable_until = world.now + FOREVER;
    world.overwrite_entry(&cut_off, FOREVER);
    world.run(Bounds::default().lease_expiry_time() / 2);
    assert_eq!(
        world.engine.worker_count(),
        8,
        "the worker may still run tasks under its lease"
    );
    assert!(!is_completed(&world, job));
    world.run(2 * Bounds::default().lease_expiry_time());
    assert_eq!(world.engine.worker_count(), 7);
    world.run(10 * SECOND);
    assert!(is_completed(&world, job), "its tasks ran on other workers");
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_new_owner_finds_the_runs_of_a_worker_with_an_overwritten_entry() {
    let (mut world, job) = fully_loaded();
    for id in workers(&world) {
        world.overwrite_entry(&id, FOREVER);
    }
    world.take_over();
    world.run(2 * (Bounds::default().lease_expiry_time() + MAX_FORMER_OWNER_ACTIVITY));
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(is_completed(&world, job));
    assert_eq!(world.starts, 32, "no task is started twice");
}

/// One record may contain both the loss of a worker and the runs that it starts after its return.
#[test]
fn a_new_owner_finds_the_runs_of_a_worker_that_was_lost_and_came_back() {
    let mut world = World::new(3, Faults::default());
    world.run(SECOND);
    let lost = workers(&world)[0].clone();
    world.workers.get_mut(&lost).unwrap().unreachable_until = world.now + 10 * SECOND;
    world.overwrite_entry(&lost, 11 * SECOND);
    // One write stays in flight for the whole outage.
    world.start_outage(15 * SECOND);
    world.submit("batch", vec![step(1)]);
    world.run(10 * SECOND);
    assert_eq!(world.engine.worker_count(), 7, "the worker is given up");
    world.run(3 * SECOND);
    assert_eq!(world.engine.worker_count(), 8, "the worker is back");
    world.submit("batch", vec![step(64)]);
    world.run(2 * SECOND + SECOND / 10);
    assert!(world.starts > 16, "tasks run on all workers");
    world.overwrite_entry(&lost, FOREVER);
    world.take_over();
    world.run(30 * SECOND);
    assert_eq!(world.violations, Vec::<String>::new());
}
