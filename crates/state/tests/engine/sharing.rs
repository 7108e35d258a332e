//! How kinds of work share one capacity, by behaviour.

use std::time::Duration;

use crate::support::{
    at,
    batch,
    cell,
    cell_with,
    cores,
    gang,
    job_id,
    run,
    service,
    starts, //
};
use fulmarpier_state::{
    engine::{
        Act,
        Cause,
        Effect,
        End,
        Engine,
        State, //
    },
    explain::Explanation,
    id::{
        Attempt,
        JobId,
        TaskId, //
    },
    job::{
        Priority,
        Spec, //
    },
    placement::Weights,
    policy::Policy,
    quota::Limit,
};
use rstest::rstest;

const AGE: Duration = Duration::from_secs(5);

fn urgent(tasks: u32, size: u32) -> Spec {
    Spec {
        priority: Priority::Urgent,
        ..batch(tasks, size)
    }
}

fn state(engine: &Engine, id: JobId) -> State {
    engine.job(id).expect("the job is known").state
}

fn explained(engine: &Engine, id: JobId, now: u64) -> String {
    let explanation = engine.explain(id, at(now)).expect("the job is known");
    explanation.to_string()
}

#[rstest]
#[case(0, 0)]
#[case(3, 3)]
#[case(usize::MAX, 16)]
fn a_pass_decides_as_many_starts_as_it_may(#[case] limit: usize, #[case] expected: usize) {
    let mut engine = cell(2, 8);
    engine.submit(job_id(1), batch(1, 1), at(0));
    run(&mut engine, at(0));
    engine.submit(job_id(2), batch(50, 1), at(1));
    let room = expected.min(15);
    assert_eq!(starts(&engine.decide(at(1), limit)).len(), room);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut engine = cell(4, 8);
    engine.submit(job_id(1), batch(1, 8), at(0));
    run(&mut engine, at(0));
    engine.submit(job_id(2), gang(4, 8), at(1));
    assert!(run(&mut engine, at(5)).is_empty());
    insta::assert_snapshot!(
        explained(&engine, job_id(2), 5),
        @"capacity is held for it and should be free at 10.000000"
    );
    engine.submit(
        job_id(3),
        Spec {
            runtime: Some(AGE * 100),
            ..batch(8, 4)
        },
        at(6),
    );
    assert!(
        run(&mut engine, at(7)).is_empty(),
        "nothing long goes ahead"
    );
    let first = TaskId::new(job_id(1), 0);
    let worker = engine.tasks(job_id(1))[0].worker;
    engine.ended(first, Attempt(1), worker, End::Succeeded, AGE, at(8));
    let started = run(&mut engine, at(8));
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(task, ..)| task.job == job_id(2)));
}

#[test]
fn short_work_fills_in_before_a_reservation_and_ends_by_its_time() {
    let mut engine = cell(2, 8);
    engine.submit(
        job_id(1),
        Spec {
            runtime: Some(AGE * 20),
            ..batch(1, 8)
        },
        at(0),
    );
    run(&mut engine, at(0));
    engine.submit(job_id(2), gang(2, 8), at(0));
    run(&mut engine, at(20));
    engine.submit(
        job_id(3),
        Spec {
            runtime: Some(AGE),
            ..batch(2, 4)
        },
        at(21),
    );
    let short = run(&mut engine, at(21));
    assert_eq!(short.len(), 2, "it fits in before the gang");
    assert_eq!(engine.counters().backfills, 2);
    let effects = engine.decide(at(150), 10);
    let stops = effects.iter().filter(|e| matches!(e, Effect::Act { .. }));
    assert_eq!(stops.count(), 2, "what outstays its time makes room");
    assert_eq!(engine.audit(), Ok(()));
}

#[test]
fn a_gang_that_loses_a_task_starts_again_together() {
    let mut engine = cell(3, 8);
    engine.submit(job_id(1), gang(3, 8), at(0));
    let started = run(&mut engine, at(0));
    let (task, attempt, worker) = started[0];
    let effects = engine.ended(task, attempt, worker, End::Failed, AGE, at(5));
    let stops = effects.iter().filter(|e| matches!(e, Effect::Act { .. }));
    assert_eq!(stops.count(), 2);
    assert!(run(&mut engine, at(6)).is_empty(), "two of them still run");
    for (task, attempt, worker) in &started[1..] {
        engine.ended(*task, *attempt, *worker, End::Stopped, AGE, at(7));
    }
    assert_eq!(run(&mut engine, at(9)).len(), 3);
}

#[rstest]
#[case::idempotent(true, 2, 0, 3)]
#[case::non_idempotent(false, 0, 1, 0)]
fn a_gang_with_a_refused_start_is_made_whole(
    #[case] idempotent: bool,
    #[case] stopped: usize,
    #[case] at_once: usize,
    #[case] together: usize,
) {
    let mut engine = cell(3, 8);
    engine.submit(
        job_id(1),
        Spec {
            idempotent,
            ..gang(3, 8)
        },
        at(0),
    );
    let started = starts(&engine.decide(at(0), 10));
    let (task, attempt, worker) = started[0];
    let effects = engine.not_run(task, attempt, worker, Cause::Late, at(1));
    let stops = effects.iter().filter(|e| matches!(e, Effect::Act { .. }));
    assert_eq!(stops.count(), stopped);
    assert_eq!(starts(&engine.decide(at(1), 10)).len(), at_once);
    for (task, attempt, worker) in &started[1..] {
        let end = match idempotent {
            true => End::Stopped,
            false => End::Succeeded,
        };
        engine.ended(*task, *attempt, *worker, end, AGE, at(2));
    }
    assert_eq!(starts(&engine.decide(at(3), 10)).len(), together);
    assert_eq!(engine.audit(), Ok(()));
}

#[test]
fn urgent_work_takes_the_room_that_loses_the_least() {
    let mut engine = cell(3, 8);
    let stubborn = Spec {
        idempotent: false,
        ..batch(1, 8)
    };
    let saving = Spec {
        checkpoint: true,
        ..batch(1, 8)
    };
    engine.submit(job_id(1), stubborn, at(0));
    engine.submit(job_id(2), batch(1, 8), at(0));
    engine.submit(job_id(3), saving, at(0));
    assert_eq!(run(&mut engine, at(0)).len(), 3);
    engine.submit(job_id(4), urgent(1, 2), at(5));
    engine.submit(job_id(5), urgent(1, 8), at(5));
    engine.submit(job_id(6), urgent(1, 8), at(5));
    let acts: Vec<_> = engine
        .decide(at(5), 10)
        .into_iter()
        .filter_map(|effect| match effect {
            Effect::Act { task, act, .. } => Some((task.job, act)),
            _ => None,
        })
        .collect();
    assert_eq!(acts, [(job_id(3), Act::Checkpoint), (job_id(2), Act::Stop)]);
    let worker = engine.tasks(job_id(3))[0].worker;
    let saved = TaskId::new(job_id(3), 0);
    engine.ended(saved, Attempt(1), worker, End::Checkpointed, AGE, at(6));
    let started = run(&mut engine, at(6));
    assert!(started.iter().all(|(task, ..)| task.job != job_id(3)));
    assert!(!started.is_empty(), "the room goes to urgent work");
    assert_eq!(
        state(&engine, job_id(1)),
        State::Running,
        "never the non-idempotent"
    );
}

#[test]
fn a_service_spreads_restarts_and_changes_its_size() {
    let mut engine = cell(24, 8);
    engine.submit(job_id(1), service(3, 4), at(0));
    let started = run(&mut engine, at(0));
    let racks: std::collections::BTreeSet<u32> = started.iter().map(|s| s.2.0 / 8).collect();
    assert_eq!(racks.len(), 3, "one task in each rack");
    let (task, attempt, worker) = started[0];
    engine.ended(task, attempt, worker, End::Failed, AGE, at(5));
    assert!(matches!(
        engine.explain(job_id(1), at(5)),
        Some(Explanation::Backoff { .. })
    ));
    assert_eq!(run(&mut engine, at(7)).len(), 1, "it starts again");
    engine
        .set_service_size(job_id(1), 5, at(8))
        .expect("it runs");
    assert_eq!(run(&mut engine, at(8)).len(), 2);
    let effects = engine
        .set_service_size(job_id(1), 2, at(9))
        .expect("it runs");
    assert_eq!(effects.len(), 3, "three are stopped");
}

#[test]
fn a_quota_is_never_passed_and_explained() {
    let mut engine = cell(4, 8);
    let team = batch(1, 1).team;
    let limit = Limit {
        resources: Some(cores(8)),
        ..Limit::default()
    };
    engine.set_quota(&team, limit);
    engine.submit(job_id(1), batch(8, 4), at(0));
    let started = run(&mut engine, at(0));
    assert_eq!(started.len(), 2);
    insta::assert_snapshot!(
        explained(&engine, job_id(1), 1),
        @"its team holds 8 cpu, 16GiB of at most 8 cpu, 16GiB"
    );
    let (task, attempt, worker) = started[0];
    engine.ended(task, attempt, worker, End::Succeeded, AGE, at(5));
    assert_eq!(run(&mut engine, at(5)).len(), 1);
}

#[test]
fn a_flood_from_one_team_does_not_keep_another_waiting() {
    let mut engine = cell(4, 8);
    for number in 0..500 {
        engine.submit(job_id(number), batch(1, 4), at(0));
    }
    let running = run(&mut engine, at(0));
    assert_eq!(running.len(), 8);
    let other = Spec {
        team: "liaison".parse().expect("a valid name"),
        ..batch(1, 4)
    };
    engine.submit(job_id(900), other, at(1));
    let (task, attempt, worker) = running[0];
    engine.ended(task, attempt, worker, End::Succeeded, AGE, at(2));
    let next = run(&mut engine, at(2));
    assert_eq!(next[0].0.job, job_id(900), "the first free room is its own");
}

#[test]
fn urgent_work_left_over_by_a_pass_is_due_at_once() {
    let policy = Policy::default().weights(Weights::new(0, 0, 1));
    let mut engine = cell_with(policy, 2, 8);
    engine.submit(job_id(1), urgent(4, 1), at(1));
    assert_eq!(starts(&engine.decide(at(1), 1)).len(), 1);
    assert_eq!(engine.next_wake(), Some(at(1)));
}
