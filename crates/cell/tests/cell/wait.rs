//! Steps that can't run: what is told of them, and that they hold up nobody.

use std::time::Duration;

use fulmarpier_cell::{
    engine::{
        Lack,
        State,
        Wait, //
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

/// A label that the world's workers don't have.
const UNKNOWN: &str = "no-such-label";

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
#[case::label(labelled(UNKNOWN))]
#[case::size(too_large())]
fn callers_don_t_wait_behind_steps_that_no_worker_can_run(
    #[case] hopeless: Step,
    #[values("urgent", "batch")] queue: &str,
) {
    let mut world = world();
    for _ in 0..400 {
        world.submit(queue, vec![hopeless.clone()]);
    }
    world.run(Duration::from_millis(200));
    let jobs: Vec<_> = (0..40)
        .map(|_| world.submit(queue, vec![quick_step()]))
        .collect();
    let mut took = Duration::ZERO;
    while world.completed(&jobs) < jobs.len() && took < Duration::from_secs(30) {
        world.run(Duration::from_millis(100));
        took += Duration::from_millis(100);
    }
    println!("{took:?}");
    // They take 40 times 2 times 1.6 s of 8 workers' 32 places, so 4 s, and the last of them up to 3 s.
    assert!(took <= Duration::from_secs(8), "{took:?}");
}

/// Has one of the workers come back as of another kind.
fn relabel(world: &mut World, kind: &'static str) {
    if let Some(id) = world.workers.keys().next().cloned() {
        world.replace_worker(&id, kind);
    }
}

/// Returns the reasons that were told of a job.
fn told(world: &World, job: JobId) -> Vec<Wait> {
    let own = world.waits.iter().filter(|(of, _)| *of == job);
    own.map(|(_, why)| *why).collect()
}

#[rstest]
fn a_step_runs_when_a_worker_with_its_label_comes(#[values(false, true)] is_taken_over: bool) {
    let mut world = world();
    let job = world.submit("batch", vec![labelled(UNKNOWN)]);
    world.run(Duration::from_secs(20));
    assert_eq!(world.engine.state(job), Some(State::Queued));
    if is_taken_over {
        world.take_over();
        world.run(Duration::from_secs(10));
        assert_eq!(world.engine.state(job), Some(State::Queued));
    }
    relabel(&mut world, UNKNOWN);
    world.run(Duration::from_secs(5));
    assert_eq!(world.engine.state(job), Some(State::Completed));
    assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn a_job_that_was_cancelled_while_no_worker_could_run_it_never_starts() {
    let mut world = world();
    let job = world.submit("batch", vec![labelled(UNKNOWN)]);
    world.run(Duration::from_secs(2));
    world.cancel(job);
    relabel(&mut world, UNKNOWN);
    world.run(Duration::from_secs(5));
    assert_eq!(world.engine.state(job), Some(State::Cancelled));
    assert_eq!(world.starts, 0);
}

#[rstest]
#[case::label(labelled(UNKNOWN), Wait::Label)]
#[case::size(too_large(), Wait::Size)]
fn it_is_told_once_and_at_once_that_no_worker_can_run_a_step(
    #[case] step: Step,
    #[case] why: Wait,
) {
    let mut world = world();
    let job = world.submit("urgent", vec![step]);
    world.run(Duration::from_millis(50));
    assert_eq!(told(&world, job), [why]);
    assert_eq!(world.engine.counts().steps_aside, 1);
    world.run(Duration::from_secs(60));
    assert_eq!(told(&world, job), [why]);
}

#[test]
fn it_is_told_what_a_step_waits_for() {
    let mut world = world();
    // All room is taken for longer than it takes to look for the reason.
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
    assert_eq!(told(&world, job), [Wait::Room]);
}

#[test]
fn a_step_that_starts_in_time_is_not_told_of() {
    let mut world = world();
    world.submit("urgent", vec![quick_step()]);
    world.submit("batch", vec![labelled("a")]);
    world.run(Duration::from_secs(5));
    assert_eq!(world.waits, []);
}

#[test]
fn what_no_worker_offers_is_known_before_a_job_is_taken() {
    let world = world();
    let lack = |steps: Vec<Step>| {
        let spec = Spec {
            text: "text".into(),
            steps,
            schedule: None,
        };
        world.engine.lack(&queue("batch", 2, false), &spec)
    };
    assert_eq!(
        lack(vec![quick_step(), labelled("a"), labelled("r1")]),
        None
    );
    let label = Some(Lack::Label(UNKNOWN.into()));
    assert_eq!(lack(vec![quick_step(), labelled(UNKNOWN)]), label);
    assert_eq!(lack(vec![quick_step(), too_large()]), Some(Lack::Size(1)));
}

#[test]
fn nothing_is_said_of_labels_while_no_worker_is_known() {
    let world = world();
    let other = fulmarpier_cell::config::Queue {
        pool: "elsewhere".into(),
        ..queue("batch", 2, false)
    };
    let spec = Spec {
        text: "text".into(),
        steps: vec![labelled(UNKNOWN)],
        schedule: None,
    };
    assert_eq!(world.engine.lack(&other, &spec), None);
}
