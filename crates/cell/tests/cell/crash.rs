//! Tasks that crash each worker that starts them.
//!
//! Urgent tasks of a busy fleet were started again every 3.3 s for as long as the day lasted, and each start took a worker
//! down with all that ran there: workers crashed 10 ms after such a start, came back after 3 s as other incarnations, and
//! by the end a sixteenth of them was down at any time. A crashed worker tells of no end, so no try was used up: what
//! was lost with a worker was put back as if it had never been started. The owner's log showed it: the step of such a task
//! waited again in the instant in which its worker was found to be another incarnation.

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

/// What befalls the cell meanwhile, once a second.
#[derive(Clone, Copy, Debug)]
enum Beside {
    Nothing,
    Takeovers,
    Outages,
    LostOrders,
    /// Half of the workers that go down come back under their ids.
    Restarts,
}

fn single() -> Step {
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

fn lasting() -> Step {
    Step {
        lasting: true,
        ..single()
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

/// Plays a minute with a job whose last task crashes its workers, beside others; returns the world and all jobs.
fn play(queue: &str, steps: Vec<Step>, beside: Beside) -> (World, JobId, Vec<JobId>) {
    let faults = Faults {
        lost_orders: if matches!(beside, Beside::LostOrders) {
            150
        } else {
            0
        },
        // None by itself: a thousandth of a second's chance, drawn below one.
        restarts: u32::from(matches!(beside, Beside::Restarts)),
        ..Faults::default()
    };
    let mut world = World::new(1, faults);
    world.run(Duration::from_secs(1));
    let job = world.submit(queue, steps.clone());
    world.crashers.insert(last_task(job, &steps));
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
            others.push(world.submit("urgent", vec![single()]));
        }
        match beside {
            Beside::Takeovers if second % 3 == 1 => world.take_over(),
            Beside::Outages if second % 5 == 1 => world.lose_store(Duration::from_secs(2)),
            _ => {}
        }
        world.run(Duration::from_secs(1));
    }
    (world, job, others)
}

#[rstest]
#[case::an_urgent_task("urgent", vec![single()], Beside::Nothing)]
#[case::a_task_of_a_later_step("batch", vec![quick_step(), Step { after: vec![0], ..quick_step() }], Beside::Nothing)]
#[case::a_member_of_a_gang("gang", vec![gang()], Beside::Nothing)]
#[case::a_lasting_task("batch", vec![lasting()], Beside::Nothing)]
#[case::while_owners_change("urgent", vec![single()], Beside::Takeovers)]
#[case::a_member_of_a_gang_while_owners_change("gang", vec![gang()], Beside::Takeovers)]
#[case::while_the_store_goes_away("urgent", vec![single()], Beside::Outages)]
#[case::while_orders_are_lost("urgent", vec![single()], Beside::LostOrders)]
#[case::whose_workers_come_back_under_their_ids("urgent", vec![single()], Beside::Restarts)]
#[case::a_gang_whose_workers_come_back_under_their_ids("gang", vec![gang()], Beside::Restarts)]
fn a_task_that_crashes_its_workers_is_given_up(
    #[case] queue: &str,
    #[case] steps: Vec<Step>,
    #[case] beside: Beside,
) {
    let (world, job, others) = play(queue, steps, beside);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
    assert_eq!(world.completed(&others), others.len());
}

/// Its workers stay away until their leases have lapsed and come back under their ids, and owners change meanwhile.
///
/// Callers saw such a task take one worker after the other down, for as long as it was not cancelled. A worker that is silent and
/// listed may only be cut off, so its crash is doubted until it is known to be gone. The owner that doubted it died before that,
/// and the next one counted nothing.
#[rstest]
#[case::a_single_task("urgent", vec![single()])]
#[case::a_member_of_a_gang("gang", vec![gang()])]
#[case::a_lasting_task("batch", vec![lasting()])]
fn a_doubted_crash_is_counted_by_the_next_owner(
    #[case] queue: &str,
    #[case] steps: Vec<Step>,
    #[values(7, 8, 9, 11, 180)] between: u64,
    #[values(true, false)] is_broken: bool,
) {
    let mut world = World::new(1, Faults::default());
    world.crash_restart = Some(Restart {
        away: Duration::from_secs(12),
        is_broken,
        ..Restart::default()
    });
    world.run(Duration::from_secs(1));
    let job = world.submit(queue, steps.clone());
    world.crashers.insert(last_task(job, &steps));
    for _ in 0..180 / between {
        world.run(Duration::from_secs(between));
        world.take_over();
    }
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
}

/// Two workers go down by themselves when they had just begun a task, which works well on the third one.
#[test]
fn a_task_that_works_on_after_two_crashes_is_cleared() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let job = world.submit("batch", vec![lasting()]);
    let task = last_task(job, &[lasting()]);
    world.crashers.insert(task);
    while world.taken_along.len() < 2 {
        world.run(Duration::from_millis(25));
    }
    world.crashers.clear();
    world.run(Duration::from_secs(10));
    // What is started now finds room on each worker, that of the lasting task included.
    let others = world.submit(
        "batch",
        vec![Step {
            count: 31,
            ..quick_step()
        }],
    );
    world.run(Duration::from_millis(200));
    assert_eq!(world.engine.counts().claims, 32);
    world.run(Duration::from_secs(10));
    assert_eq!(world.engine.state(others), Some(State::Completed));
    assert_eq!(world.engine.state(job), Some(State::Running));
    assert_eq!(world.violations, Vec::<String>::new());
}

/// No worker is ever empty: each holds a task that lasts.
#[test]
fn a_task_doesn_t_wait_for_an_empty_worker_for_ever() {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    let service = Step {
        count: 8,
        anti_affinity: Some(1),
        ..lasting()
    };
    world.submit("batch", vec![service]);
    world.run(Duration::from_secs(1));
    let job = world.submit("urgent", vec![single()]);
    world.crashers.insert(last_task(job, &[single()]));
    world.run(Duration::from_secs(60));
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
}

/// Half of the workers, as of one rack, go down twice, just after they have begun tasks that harm nobody.
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
            world.go_down(id);
        }
        world.run(Duration::from_secs(4));
    }
    world.run(Duration::from_secs(30));
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.wronged, 0);
    assert_eq!(world.completed(&jobs), jobs.len());
}

/// How a fleet fared of whose jobs some crash their workers.
struct Fare {
    /// How many others each of these took along with each worker that it took down.
    taken_along: Vec<Vec<usize>>,
    /// How many of the others were completed when the load ended, of how many.
    completed: (usize, usize),
    violations: Vec<String>,
    wronged: u32,
}

/// Tells how a fleet fares once its load has ended, and what comes of the rest of it.
fn fare(mut world: World, others: &[JobId]) -> Fare {
    let completed = (world.completed(others), others.len());
    world.run(Duration::from_secs(30));
    let taken_along = |task: &TaskId| {
        let crashes = world.taken_along.iter();
        let own = crashes.filter(|(crashed, _)| crashed == task);
        own.map(|(_, others)| *others).collect()
    };
    Fare {
        taken_along: world.crashers.iter().map(taken_along).collect(),
        completed,
        violations: world.violations,
        wronged: world.wronged,
    }
}

/// Plays 40 s of two thirds of the load that 48 workers bear, 20 jobs of four tasks a second.
fn play_fleet(seed: u64, crashers: u32) -> Fare {
    let faults = Faults {
        crashers,
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
    fare(world, &others)
}

/// One task in 500 crashes its workers: three go down under it, nothing is taken along the third time, and the others are served
/// as without.
#[test]
fn a_fleet_with_crashing_tasks_serves_the_others() {
    let without = play_fleet(1, 0);
    let with = play_fleet(1, 8);
    assert_eq!(with.violations, Vec::<String>::new());
    assert_eq!(with.wronged, 0);
    assert!(with.taken_along.len() >= 5, "some crash their workers");
    for others in &with.taken_along {
        assert!(matches!(others[..], [_, _, 0]), "{:?}", with.taken_along);
    }
    let share = |fare: &Fare| fare.completed.0 as f64 / fare.completed.1 as f64;
    let (with, without) = (share(&with), share(&without));
    assert!(
        with > without - 0.02,
        "{with} of them, and {without} without"
    );
}

/// The same on eight workers of which four fifths are busy, and eight tasks that crash them one after the other.
#[test]
fn on_a_busy_fleet_nothing_is_taken_along_from_the_third_crash_on() {
    let mut world = World::new(1, Faults::default());
    let step = Step {
        count: 4,
        ..quick_step()
    };
    for nth in 0..200 {
        world.submit("batch", vec![step.clone()]);
        if nth < 160 && nth % 20 == 10 {
            let job = world.submit("urgent", vec![single()]);
            world.crashers.insert(last_task(job, &[single()]));
        }
        world.run(Duration::from_millis(250));
    }
    assert_eq!(world.violations, Vec::<String>::new());
    let fare = fare(world, &[]);
    for others in &fare.taken_along {
        assert!(matches!(others[..], [_, _, 0]), "{:?}", fare.taken_along);
    }
}
