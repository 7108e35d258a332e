//! Tasks whose last attempt was under way on a worker that was lost.

use std::time::Duration;

use fulmarpier_cell::{
    engine::{
        State,
        WaitReason, //
    },
    id::{
        JobId,
        StepId,
        TaskId,
        WorkerId, //
    },
    job::Step,
};
use rstest::rstest;

use crate::world::{
    Faults,
    MAX_ATTEMPTS,
    Restart,
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

/// Returns the first task of a job.
fn first_task(job: JobId) -> TaskId {
    let step = StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
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
    let id = first_task(job).step;
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

/// Why a worker that is lost may still return.
#[derive(Clone, Copy, Debug)]
enum Presence {
    /// It is listed.
    Listed,
    /// Another writer has overwritten its entry.
    Overwritten,
    /// Its entry was removed, and then written by another writer.
    WrittenAgain,
    /// The owner knows it from the records of the former owner only.
    OnRecord,
}

/// Guards against a start without an attempt left, and against a wait without a reason.
#[rstest]
#[case::a_single_task("batch", single_task())]
#[case::a_gang("gang", gang())]
fn a_task_waits_while_the_worker_of_its_last_attempt_may_return(
    #[case] queue: &str,
    #[case] step: Step,
    #[values(
        Presence::Listed,
        Presence::Overwritten,
        Presence::WrittenAgain,
        Presence::OnRecord
    )]
    presence: Presence,
) {
    let (mut world, job) = run_last_attempt(queue, &step);
    for id in cut_off_busy_workers(&mut world) {
        match presence {
            Presence::Listed => {}
            Presence::Overwritten => world.overwrite_entry(&id, FOREVER),
            Presence::WrittenAgain => {
                world.engine.unregister(&id, world.now);
                world.overwrite_entry(&id, FOREVER);
            }
            Presence::OnRecord => world.depart(&id, TICK),
        }
    }
    if let Presence::OnRecord = presence {
        world.run(2 * TICK);
        world.take_over();
    }
    let starts = world.starts;
    run_until(&mut world, |world| {
        world.reported_waits.contains(&(job, WaitReason::Attempts))
    });
    assert_eq!(world.starts, starts);
    let waited = run_until(&mut world, |world| world.starts > starts);
    assert!(
        waited >= 10 * SECOND && waited <= 13 * SECOND,
        "it is restarted after {waited:?}"
    );
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against the same needless wait where the worker is still listed when its leases expire.
#[rstest]
#[case::a_single_task("batch", single_task())]
#[case::a_gang("gang", gang())]
fn a_task_is_restarted_once_the_lapsed_worker_of_its_last_attempt_is_unlisted(
    #[case] queue: &str,
    #[case] step: Step,
) {
    let (mut world, job) = run_last_attempt(queue, &step);
    let cut_off = cut_off_busy_workers(&mut world);
    run_until(&mut world, |world| {
        world.reported_waits.contains(&(job, WaitReason::Attempts))
    });
    let starts = world.starts;
    world.is_list_unavailable = true;
    for id in cut_off {
        world.engine.unregister(&id, world.now);
    }
    let waited = run_until(&mut world, |world| world.starts > starts);
    assert!(waited <= SECOND, "it is restarted after {waited:?}");
}

/// Guards against the same wait for a run whose order was never sent: it was placed while the store was unavailable,
/// and its worker's leases expired before its record was written.
#[test]
fn a_run_that_was_never_ordered_uses_no_attempt() {
    let mut world = World::new(1, Faults::default());
    world.run(SECOND);
    let job = world.submit("batch", vec![single_task()]);
    world.failing_runs.insert(first_task(job), MAX_ATTEMPTS - 1);
    while world.starts < MAX_ATTEMPTS - 1 {
        world.run(TICK);
    }
    world.start_outage(14 * SECOND);
    // The run takes 3 s at most; then the last attempt is placed, and waits for its record.
    world.run(4 * SECOND);
    for worker in world.workers.values_mut() {
        worker.unreachable_until = world.now + 9 * SECOND;
    }
    world.run(10 * SECOND);
    assert_eq!(world.starts, MAX_ATTEMPTS - 1);
    let waited = run_until(&mut world, |world| world.starts == MAX_ATTEMPTS);
    assert!(waited <= 3 * SECOND, "it is started after {waited:?}");
    let held = (job, WaitReason::Attempts);
    assert!(!world.reported_waits.contains(&held));
    world.run(10 * SECOND);
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
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

/// Guards against a wait without a reason of a task that must not start until its doubted crashes are settled.
#[test]
fn a_task_that_awaits_the_settlement_of_crashes_is_reported_to_wait_for_it() {
    let mut world = World::new(1, Faults::default());
    world.crash_restart = Some(Restart {
        downtime: FOREVER,
        ..Restart::default()
    });
    world.run(SECOND);
    let job = world.submit("urgent", vec![single_task()]);
    world.crashing_task_ids.insert(first_task(job));
    world.run(60 * SECOND);
    assert_eq!(world.starts, 5);
    let last = world.reported_waits.last();
    assert_eq!(last, Some(&(job, WaitReason::Attempts)));
}
