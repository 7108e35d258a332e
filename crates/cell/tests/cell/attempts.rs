//! Tasks whose last attempt was under way on a worker that was lost.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        StepId,
        WorkerId, //
    },
    job::Step,
};
use rstest::rstest;

use crate::world::{
    Faults,
    MAX_ATTEMPTS,
    World,
    quick_step, //
};

const TICK: Duration = Duration::from_millis(25);
const SECOND: Duration = Duration::from_secs(1);
/// Longer than any test.
const FOREVER: Duration = Duration::from_secs(600);

fn single_task() -> Step {
    Step {
        count: 1,
        ..quick_step()
    }
}

fn gang() -> Step {
    Step {
        count: 4,
        gang: true,
        ..quick_step()
    }
}

/// Runs a job of one step until its tasks have failed in all attempts but one and run again.
fn run_last_attempt(queue: &str, step: &Step) -> (World, JobId) {
    run_last_attempt_failing(queue, step, MAX_ATTEMPTS - 1)
}

/// The same, with the given number of runs that fail.
fn run_last_attempt_failing(queue: &str, step: &Step, failures: u32) -> (World, JobId) {
    let mut world = World::new(1, Faults::default());
    world.run(SECOND);
    let job = world.submit(queue, vec![step.clone()]);
    let id = StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    let tasks = (0..step.count).map(|index| id.task(index));
    world.failing_runs = tasks.map(|task| (task, failures)).collect();
    while world.starts < MAX_ATTEMPTS * u32::from(step.count) {
        world.run(TICK);
    }
    (world, job)
}

/// Returns the workers that run tasks.
fn busy_workers(world: &World) -> Vec<WorkerId> {
    let workers = world.workers.values();
    let busy = workers.filter(|worker| worker.tasks().next().is_some());
    busy.map(|worker| worker.id.clone()).collect()
}

/// Runs until a condition holds; returns how long that took.
fn run_until(world: &mut World, condition: impl Fn(&World) -> bool) -> Duration {
    let mut elapsed = Duration::ZERO;
    while !condition(world) && elapsed < FOREVER {
        world.run(TICK);
        elapsed += TICK;
    }
    elapsed
}

/// Guards against a task that waits for the report of a failure which can't come any more.
///
/// A run on a lost worker may have failed there, and counts as an attempt for as long as the worker may return and
/// report that. A worker that is no longer listed, is silent and has no lease left can't.
#[rstest]
#[case::a_single_task("batch", single_task())]
#[case::a_gang("gang", gang())]
fn a_task_is_restarted_once_the_worker_of_its_last_attempt_is_gone(
    #[case] queue: &str,
    #[case] step: Step,
) {
    let (mut world, job) = run_last_attempt(queue, &step);
    for id in cut_off_busy_workers(&mut world) {
        world.depart(&id, 2 * SECOND);
    }
    let starts = world.starts;
    world.run(SECOND);
    run_until(&mut world, |world| world.engine.worker_count() == 8);
    let waited = run_until(&mut world, |world| world.starts > starts);
    assert!(waited <= SECOND, "it is restarted after {waited:?}");
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Makes the workers that run tasks unreachable; returns them.
fn cut_off_busy_workers(world: &mut World) -> Vec<WorkerId> {
    let cut_off = busy_workers(world);
    for id in &cut_off {
        world.workers.get_mut(id).unwrap().unreachable_until = world.now + FOREVER;
    }
    cut_off
}

/// Guards against a job that fails by an end which doesn't count: its worker lists it after its leases have expired.
#[rstest]
#[case::a_single_task("batch", single_task())]
#[case::a_gang("gang", gang())]
fn a_failure_that_a_removed_worker_reports_on_its_return_does_not_count(
    #[case] queue: &str,
    #[case] step: Step,
) {
    let (mut world, job) = run_last_attempt_failing(queue, &step, MAX_ATTEMPTS);
    let cut_off = cut_off_busy_workers(&mut world);
    world.is_list_unavailable = true;
    for id in &cut_off {
        world.engine.unregister(id, world.now);
    }
    let starts = world.starts;
    run_until(&mut world, |world| world.starts > starts);
    assert_eq!(world.engine.state(job), Some(State::Running));
    world.is_list_unavailable = false;
    for id in &cut_off {
        let worker = world.workers.get_mut(id).unwrap();
        worker.unreachable_until = world.now;
        let entry = worker.entry(world.now);
        world.engine.register(entry, world.now);
    }
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}
