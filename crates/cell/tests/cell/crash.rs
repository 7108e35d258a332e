//! Tasks that crash each worker that starts them.
//!
//! A crashed worker reports no end of its runs. If the owner queues the tasks of a lost worker again as if they had
//! never been started, no attempt is used up, and a task that crashes its workers is started again without end. Each
//! start takes down a worker with everything that runs there: workers crash 10 ms after such a start and come back
//! after 3 s as other incarnations. With a start every 3.3 s, a sixteenth of a busy fleet is down at any time. The
//! owner's log shows this fault when the step of such a task waits again as soon as its worker is found to be another
//! incarnation.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        StepId,
        TaskId, //
    },
    job::Step,
};
use rstest::rstest;

use crate::world::{
    Faults,
    Restart,
    World,
    quick_step, //
};

/// What else goes wrong in the cell while the job runs, at intervals of some seconds.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    Nothing,
    Takeovers,
    Outages,
    LostOrders,
    /// Half of the workers that crash come back under their ids.
    Restarts,
}

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

fn long_running() -> Step {
    Step {
        long_running: true,
        ..single_task()
    }
}

/// Returns the last task of the last step of a job.
fn last_task(job: JobId, steps: &[Step]) -> TaskId {
    let last = steps.last().expect("a job has steps");
    let step = StepId {
        job,
        occurrence: 0,
        step: u16::try_from(steps.len() - 1).expect("a few steps"),
    };
    step.task(last.count - 1)
}

/// Runs a minute with a job whose last task crashes its workers and with other jobs.
///
/// Returns the world, that job and the others.
fn run_scenario(
    queue: &str,
    steps: Vec<Step>,
    disturbance: Disturbance,
) -> (World, JobId, Vec<JobId>) {
    let faults = Faults {
        lost_orders: if matches!(disturbance, Disturbance::LostOrders) {
            150
        } else {
            0
        },
        // Crashed workers come back under their ids only where this is above zero; at 1 hardly any restarts by chance.
        restarts: u32::from(matches!(disturbance, Disturbance::Restarts)),
        ..Faults::default()
    };
    let mut world = World::new(1, faults);
    world.run(Duration::from_secs(1));
    let job = world.submit(queue, steps.clone());
    world.crashing_task_ids.insert(last_task(job, &steps));
    let mut others = Vec::new();
    for second in 0..60 {
        if second < 40 {
            others.push(world.submit(
                "batch",
                vec![Step {
                    count: 4,
                    ..quick_step()
                }],
            ));
            others.push(world.submit("urgent", vec![single_task()]));
        }
        match disturbance {
            Disturbance::Takeovers if second % 3 == 1 => world.take_over(),
            Disturbance::Outages if second % 5 == 1 => world.start_outage(Duration::from_secs(2)),
            _ => {}
        }
        world.run(Duration::from_secs(1));
    }
    (world, job, others)
}

#[rstest]
#[case::an_urgent_task("urgent", vec![single_task()], Disturbance::Nothing)]
#[case::a_task_of_a_later_step("batch", vec![quick_step(), Step { after: vec![0], ..quick_step() }], Disturbance::Nothing)]
#[case::a_member_of_a_gang("gang", vec![gang()], Disturbance::Nothing)]
#[case::a_long_running_task("batch", vec![long_running()], Disturbance::Nothing)]
#[case::while_owners_change("urgent", vec![single_task()], Disturbance::Takeovers)]
#[case::a_member_of_a_gang_while_owners_change("gang", vec![gang()], Disturbance::Takeovers)]
#[case::during_outages("urgent", vec![single_task()], Disturbance::Outages)]
#[case::while_orders_are_lost("urgent", vec![single_task()], Disturbance::LostOrders)]
#[case::whose_workers_come_back_under_their_ids("urgent", vec![single_task()], Disturbance::Restarts)]
#[case::a_gang_whose_workers_come_back_under_their_ids("gang", vec![gang()], Disturbance::Restarts)]
fn a_job_whose_task_crashes_its_workers_fails_and_the_others_complete(
    #[case] queue: &str,
    #[case] steps: Vec<Step>,
    #[case] disturbance: Disturbance,
) {
    let (world, job, others) = run_scenario(queue, steps, disturbance);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
    assert_eq!(world.completed(&others), others.len());
}

/// The crashed workers stay away until their leases have expired, then come back under their ids, and owners change
/// meanwhile.
///
/// A worker that is silent but still listed may only be cut off, so its crash is doubted until it is known to be
/// gone. If the owner dies before that and the next owner doesn't know of the doubted crash, no crash is ever
/// counted, and the task takes down one worker after the other until it is cancelled.
#[rstest]
#[case::a_single_task("urgent", vec![single_task()])]
#[case::a_member_of_a_gang("gang", vec![gang()])]
#[case::a_long_running_task("batch", vec![long_running()])]
fn a_doubted_crash_is_counted_by_the_next_owner(
    #[case] queue: &str,
    #[case] steps: Vec<Step>,
    #[values(7, 8, 9, 11, 180)] seconds_between_takeovers: u64,
    #[values(true, false)] breaks_connections: bool,
) {
    let mut world = World::new(1, Faults::default());
    world.crash_restart = Some(Restart {
        downtime: Duration::from_secs(12),
        breaks_connections,
        ..Restart::default()
    });
    world.run(Duration::from_secs(1));
    let job = world.submit(queue, steps.clone());
    world.crashing_task_ids.insert(last_task(job, &steps));
    for _ in 0..180 / seconds_between_takeovers {
        world.run(Duration::from_secs(seconds_between_takeovers));
        world.take_over();
    }
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
}

/// Two workers crash for another reason just after they started a task; on the third worker the task keeps running.
#[test]
fn a_task_that_keeps_running_after_two_crashes_shares_its_worker_again() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let job = world.submit("batch", vec![long_running()]);
    let task = last_task(job, &[long_running()]);
    world.crashing_task_ids.insert(task);
    while world.tasks_lost_with.len() < 2 {
        world.run(Duration::from_millis(25));
    }
    world.crashing_task_ids.clear();
    world.run(Duration::from_secs(10));
    // The other job fits only if its tasks may also run on the worker of the long-running task.
    let others = world.submit(
        "batch",
        vec![Step {
            count: 31,
            ..quick_step()
        }],
    );
    world.run(Duration::from_millis(200));
    assert_eq!(world.engine.counts().allocations, 32);
    world.run(Duration::from_secs(10));
    assert_eq!(world.engine.state(others), Some(State::Completed));
    assert_eq!(world.engine.state(job), Some(State::Running));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// No worker is ever empty: each runs a long-running task.
#[test]
fn a_task_suspected_of_crashes_doesn_t_wait_for_an_empty_worker_for_ever() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let service = Step {
        count: 8,
        anti_affinity: Some(1),
        ..long_running()
    };
    world.submit("batch", vec![service]);
    world.run(Duration::from_secs(1));
    let job = world.submit("urgent", vec![single_task()]);
    world
        .crashing_task_ids
        .insert(last_task(job, &[single_task()]));
    world.run(Duration::from_secs(60));
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
}

/// Half of the workers, as if in one rack, crash twice, just after they have started tasks that are not the cause.
#[test]
fn a_rack_that_goes_down_twice_fails_no_job() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let mut jobs = Vec::new();
    for _ in 0..2 {
        jobs.extend((0..8).map(|_| {
            world.submit(
                "batch",
                vec![Step {
                    count: 4,
                    ..quick_step()
                }],
            )
        }));
        world.run(Duration::from_millis(50));
        let rack = world.workers.keys().filter(|id| id.as_str() < "w4");
        for id in rack.cloned().collect::<Vec<_>>() {
            world.take_down(id);
        }
        world.run(Duration::from_secs(4));
    }
    world.run(Duration::from_secs(30));
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.wrongly_given_up, 0);
    assert_eq!(world.completed(&jobs), jobs.len());
}

/// What a fleet with tasks that crash their workers has achieved.
struct Summary {
    /// For each of these tasks and each worker that it crashed: how many other tasks were lost with that worker.
    tasks_lost: Vec<Vec<usize>>,
    /// How many of the other jobs were completed when the load ended, and how many there were.
    completed: (usize, usize),
    violations: Vec<String>,
    /// How many tasks were given up for crashes that they did not cause.
    wrongly_given_up: u32,
}

/// Summarizes a world at the end of its load, then lets it run for 30 s more to finish the rest.
fn summarize(mut world: World, others: &[JobId]) -> Summary {
    let completed = (world.completed(others), others.len());
    world.run(Duration::from_secs(30));
    let tasks_lost = |task: &TaskId| {
        let crashes = world.tasks_lost_with.iter();
        let own = crashes.filter(|(crashed, _)| crashed == task);
        own.map(|(_, others)| *others).collect()
    };
    Summary {
        tasks_lost: world.crashing_task_ids.iter().map(tasks_lost).collect(),
        completed,
        violations: world.violations,
        wrongly_given_up: world.wrongly_given_up,
    }
}

/// Runs 40 s at two thirds of the load that 48 workers can handle: 20 jobs of four tasks per second.
fn run_fleet(seed: u64, crashing_task_count: u32) -> Summary {
    let faults = Faults {
        crashing_tasks: crashing_task_count,
        ..Faults::default()
    };
    let mut world = World::sized(seed, faults, 48, &["a", "b", "c", "d", "e", "f"]);
    world.run(Duration::from_secs(1));
    let mut jobs = Vec::new();
    for nth in 0..800 {
        let queue = if nth % 4 == 0 { "urgent" } else { "batch" };
        jobs.push(world.submit(
            queue,
            vec![Step {
                count: 4,
                ..quick_step()
            }],
        ));
        world.run(Duration::from_millis(50));
    }
    let others: Vec<JobId> = jobs
        .into_iter()
        .filter(|job| !world.crashes(*job))
        .collect();
    summarize(world, &others)
}

/// One task in 500 crashes its workers: it takes down three of them, the third without any other task, and the other
/// jobs complete as often as without such tasks.
#[test]
fn a_fleet_with_crashing_tasks_completes_the_other_jobs() {
    let baseline = run_fleet(1, 0);
    let crashing = run_fleet(1, 8);
    assert_eq!(crashing.violations, Vec::<String>::new());
    assert_eq!(crashing.wrongly_given_up, 0);
    assert!(
        crashing.tasks_lost.len() >= 5,
        "some tasks crash their workers"
    );
    for others in &crashing.tasks_lost {
        assert!(matches!(others[..], [_, _, 0]), "{:?}", crashing.tasks_lost);
    }
    let share = |summary: &Summary| summary.completed.0 as f64 / summary.completed.1 as f64;
    let (crashing, baseline) = (share(&crashing), share(&baseline));
    assert!(
        crashing > baseline - 0.02,
        "{crashing} of the others completed, and {baseline} without crashes"
    );
}

/// The same on eight workers that are four fifths busy, with eight tasks that crash workers one after the other.
#[test]
fn on_a_busy_fleet_the_third_crash_of_a_task_loses_no_other_task() {
    let mut world = World::new(1, Faults::default());
    let step = Step {
        count: 4,
        ..quick_step()
    };
    for nth in 0..200 {
        world.submit("batch", vec![step.clone()]);
        if nth < 160 && nth % 20 == 10 {
            let job = world.submit("urgent", vec![single_task()]);
            world
                .crashing_task_ids
                .insert(last_task(job, &[single_task()]));
        }
        world.run(Duration::from_millis(250));
    }
    assert_eq!(world.violations, Vec::<String>::new());
    let summary = summarize(world, &[]);
    for others in &summary.tasks_lost {
        assert!(matches!(others[..], [_, _, 0]), "{:?}", summary.tasks_lost);
    }
}
