//! Steps that can't run: the reason that is reported for them, and that they delay no other step.

use std::time::Duration;

use fulmarpier_cell::{
    engine::{
        State,
        UnmetRequirement,
        WaitReason, //
    },
    id::JobId,
    job::{
        Spec,
        Step, //
    },
};
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    queue,
    quick_step,
    size, //
};

/// A label that no worker of the world has.
const UNKNOWN_LABEL: &str = "no-such-label";

fn labelled(label: &str) -> Step {
    Step {
        requires: Some(label.into()),
        ..quick_step()
    }
}

fn too_large() -> Step {
    Step {
        size: size(5_000, 1_024),
        ..quick_step()
    }
}

fn world() -> World {
    let mut world = World::new(1, Faults::default());
    world.run(Duration::from_secs(1));
    world
}

#[rstest]
#[case::label(labelled(UNKNOWN_LABEL))]
#[case::size(too_large())]
fn jobs_don_t_wait_behind_steps_that_no_worker_can_run(
    #[case] unsatisfiable: Step,
    #[values("urgent", "batch")] queue: &str,
) {
    let mut world = world();
    for _ in 0..400 {
        world.submit(queue, vec![unsatisfiable.clone()]);
    }
    world.run(Duration::from_millis(200));
    let jobs: Vec<_> = (0..40)
        .map(|_| world.submit(queue, vec![quick_step()]))
        .collect();
    let mut elapsed = Duration::ZERO;
    while world.completed(&jobs) < jobs.len() && elapsed < Duration::from_secs(30) {
        world.run(Duration::from_millis(100));
        elapsed += Duration::from_millis(100);
    }
    println!("{elapsed:?}");
    // The 40 jobs have 2 tasks each, of 1.6 s on average, and the 8 workers run 32 tasks at a time. That takes 40 times
    // 2 times 1.6 s divided by 32, so 4 s, and the last of the tasks takes up to 3 s.
    assert!(elapsed <= Duration::from_secs(8), "{elapsed:?}");
}

/// Replaces one of the workers by one with another label.
fn replace_one_worker(world: &mut World, label: &'static str) {
    if let Some(id) = world.workers.keys().next().cloned() {
        world.replace_worker(&id, label);
    }
}

/// Returns the reasons to wait that were reported for a job.
fn reported_waits(world: &World, job: JobId) -> Vec<WaitReason> {
    let own = world.reported_waits.iter().filter(|(id, _)| *id == job);
    own.map(|(_, why)| *why).collect()
}

#[rstest]
fn a_step_runs_when_a_worker_with_its_label_comes(#[values(false, true)] is_taken_over: bool) {
    let mut world = world();
    let job = world.submit("batch", vec![labelled(UNKNOWN_LABEL)]);
    world.run(Duration::from_secs(20));
    assert_eq!(world.engine.state(job), Some(State::Queued));
    if is_taken_over {
        world.take_over();
        world.run(Duration::from_secs(10));
        assert_eq!(world.engine.state(job), Some(State::Queued));
    }
    replace_one_worker(&mut world, UNKNOWN_LABEL);
    world.run(Duration::from_secs(5));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_job_that_was_cancelled_while_no_worker_could_run_it_never_starts() {
    let mut world = world();
    let job = world.submit("batch", vec![labelled(UNKNOWN_LABEL)]);
    world.run(Duration::from_secs(2));
    world.cancel(job);
    replace_one_worker(&mut world, UNKNOWN_LABEL);
    world.run(Duration::from_secs(5));
    assert_eq!(world.engine.state(job), Some(State::Cancelled));
    assert_eq!(world.starts, 0);
}

#[rstest]
#[case::label(labelled(UNKNOWN_LABEL), WaitReason::Label)]
#[case::size(too_large(), WaitReason::Size)]
fn why_no_worker_can_run_a_step_is_reported_once_and_at_once(
    #[case] step: Step,
    #[case] why: WaitReason,
) {
    let mut world = world();
    let job = world.submit("urgent", vec![step]);
    world.run(Duration::from_millis(50));
    assert_eq!(reported_waits(&world, job), [why]);
    assert_eq!(world.engine.counts().unschedulable_steps, 1);
    world.run(Duration::from_secs(60));
    assert_eq!(reported_waits(&world, job), [why]);
}

#[test]
fn a_step_without_free_capacity_is_reported_to_wait_for_it() {
    let mut world = world();
    // No capacity becomes free before the engine evaluates the wait reason.
    world.submit(
        "batch",
        vec![Step {
            count: 200,
            ..quick_step()
        }],
    );
    world.run(Duration::from_millis(100));
    let job = world.submit("batch", vec![quick_step()]);
    world.run(Duration::from_secs(3));
    assert_eq!(reported_waits(&world, job), [WaitReason::FreeCapacity]);
}

#[test]
fn no_wait_is_reported_for_a_step_that_starts_in_time() {
    let mut world = world();
    world.submit("urgent", vec![quick_step()]);
    world.submit("batch", vec![labelled("a")]);
    world.run(Duration::from_secs(5));
    assert_eq!(world.reported_waits, []);
}

#[test]
fn unmet_requirements_are_known_before_a_job_is_accepted() {
    let world = world();
    let unmet = |steps: Vec<Step>| {
        let spec = Spec {
            payload: "text".into(),
            steps,
            schedule: None,
        };
        world
            .engine
            .unmet_requirement(&queue("batch", 2, false), &spec)
    };
    assert_eq!(
        unmet(vec![quick_step(), labelled("a"), labelled("r1")]),
        None
    );
    let label = Some(UnmetRequirement::Label(UNKNOWN_LABEL.into()));
    assert_eq!(unmet(vec![quick_step(), labelled(UNKNOWN_LABEL)]), label);
    assert_eq!(
        unmet(vec![quick_step(), too_large()]),
        Some(UnmetRequirement::Size(1))
    );
}

#[test]
fn no_unmet_requirement_is_reported_while_the_pool_has_no_workers() {
    let world = world();
    let other = fulmarpier_cell::config::Queue {
        pool: "elsewhere".into(),
        ..queue("batch", 2, false)
    };
    let spec = Spec {
        payload: "text".into(),
        steps: vec![labelled(UNKNOWN_LABEL)],
        schedule: None,
    };
    assert_eq!(world.engine.unmet_requirement(&other, &spec), None);
}
