//! Takeover: snapshots, inventories and what is found running.

use std::time::Duration;

use crate::support::{
    at,
    batch,
    cell,
    cores,
    gang,
    job_id,
    run,
    starts,
    worker, //
};
use fulmarpier_state::{
    engine::{
        Act,
        Effect,
        End,
        Engine,
        Image,
        State,
        Twice, //
    },
    id::{
        Attempt,
        TaskId,
        WorkerId, //
    },
    job::Spec,
};

const AGE: Duration = Duration::from_secs(5);

/// A new owner that knows the snapshot and the workers, but no inventory yet.
fn taken_over(old: &Engine, workers: u32) -> Engine {
    let text = serde_json::to_string(&old.export()).expect("an image can be written");
    let image: Image = serde_json::from_str(&text).expect("and read");
    let mut engine = Engine::new(old.shard(), old.policy().clone());
    engine.import(image, at(10));
    for number in 0..workers {
        engine.upsert_worker(worker(number, 8), at(10));
    }
    engine
}

#[test]
fn a_snapshot_keeps_jobs_and_starts_nothing_twice() {
    let mut old = cell(2, 8);
    old.submit(job_id(1), batch(4, 4), at(0));
    old.submit(job_id(2), batch(1, 8), at(0));
    assert_eq!(run(&mut old, at(1)).len(), 4);
    let mut engine = taken_over(&old, 2);
    assert_eq!(engine.audit(), Ok(()));
    assert!(run(&mut engine, at(11)).is_empty(), "all room is taken");
    assert_eq!(engine.export(), old.export());
    for task in old.tasks(job_id(1)) {
        let (id, attempt, on) = (task.id, task.attempt, task.worker);
        let adopted = engine.adopt(id, attempt, on, task.size, AGE, at(12));
        assert_eq!(adopted, Ok(Vec::new()));
    }
    assert_eq!(engine.job(job_id(1)), old.job(job_id(1)));
}

#[test]
fn a_start_that_the_journal_missed_is_adopted_from_the_inventory() {
    let mut engine = cell(2, 8);
    engine.submit(job_id(1), batch(3, 4), at(0));
    let task = TaskId::new(job_id(1), 1);
    let adopted = engine.adopt(task, Attempt(4), WorkerId(1), cores(4), AGE, at(1));
    assert_eq!(adopted, Ok(Vec::new()));
    let started = run(&mut engine, at(1));
    let mut indices: Vec<u32> = started.iter().map(|(task, ..)| task.index).collect();
    indices.sort_unstable();
    assert_eq!(indices, [0, 2], "only those that don't run");
    assert_eq!(engine.audit(), Ok(()));
}

#[test]
fn an_end_that_the_journal_missed_is_not_run_again() {
    let mut engine = cell(1, 8);
    engine.submit(
        job_id(1),
        Spec {
            idempotent: false,
            ..batch(1, 4)
        },
        at(0),
    );
    let task = TaskId::new(job_id(1), 0);
    let succeeded = End::Succeeded;
    let effects = engine.adopt_ended(task, Attempt(1), WorkerId(0), succeeded, AGE, at(1));
    assert!(matches!(effects.last(), Some(Effect::JobEnded { .. })));
    assert!(run(&mut engine, at(1)).is_empty());
    let again = engine.adopt_ended(task, Attempt(1), WorkerId(0), succeeded, AGE, at(2));
    assert_eq!(again, Vec::new(), "the second report changes nothing");
}

#[test]
fn a_recalled_start_of_a_non_idempotent_task_is_never_repeated() {
    let mut engine = cell(2, 8);
    engine.submit(
        job_id(1),
        Spec {
            idempotent: false,
            ..batch(1, 4)
        },
        at(0),
    );
    engine.recall(TaskId::new(job_id(1), 0), Attempt(1), WorkerId(7), at(0));
    assert!(run(&mut engine, at(1)).is_empty());
    engine.worker_lost(WorkerId(7), at(60));
    let ended = engine.job(job_id(1)).expect("it is remembered");
    assert_eq!(ended.ended.unknown, 1);
    assert!(run(&mut engine, at(61)).is_empty());
}

#[test]
fn a_task_that_runs_twice_is_reported_and_the_newer_start_kept() {
    let mut engine = cell(2, 8);
    engine.submit(job_id(1), batch(1, 4), at(0));
    let (task, attempt, first) = starts(&engine.decide(at(0), 1))[0];
    let second = WorkerId(1 - first.0);
    let found = engine.adopt(task, attempt.next(), second, cores(4), AGE, at(1));
    let twice = Twice {
        task,
        kept: (attempt.next(), second),
        stop: (attempt, first),
    };
    assert_eq!(found, Err(twice));
    assert_eq!(engine.audit(), Ok(()));
    assert_eq!(engine.free(first), Some(cores(4)), "it may still run there");
    engine.ended(task, attempt, first, End::Stopped, AGE, at(2));
    assert_eq!(engine.free(first), Some(cores(8)));
    assert_eq!(engine.tasks(job_id(1))[0].worker, second);
}

#[test]
fn what_nobody_knows_is_stopped_and_keeps_its_room_until_it_ends() {
    let mut engine = cell(1, 8);
    let task = TaskId::new(job_id(77), 0);
    let effects = engine.adopt(task, Attempt(1), WorkerId(0), cores(6), AGE, at(1));
    let stop = Effect::Act {
        task,
        attempt: Attempt(1),
        worker: WorkerId(0),
        act: Act::Stop,
    };
    assert_eq!(effects, Ok(vec![stop]));
    engine.submit(job_id(1), batch(1, 4), at(1));
    assert!(run(&mut engine, at(1)).is_empty(), "there is no room yet");
    engine.ended(task, Attempt(1), WorkerId(0), End::Stopped, AGE, at(2));
    assert_eq!(run(&mut engine, at(2)).len(), 1);
}

#[test]
fn a_worker_that_holds_more_than_it_offers_gets_nothing_new() {
    let mut engine = cell(1, 8);
    engine.submit(job_id(1), batch(4, 4), at(0));
    for index in 0..3 {
        let task = TaskId::new(job_id(1), index);
        let adopted = engine.adopt(task, Attempt(1), WorkerId(0), cores(4), AGE, at(1));
        assert_eq!(adopted, Ok(Vec::new()));
    }
    assert!(run(&mut engine, at(1)).is_empty());
    let first = TaskId::new(job_id(1), 0);
    engine.ended(first, Attempt(1), WorkerId(0), End::Succeeded, AGE, at(2));
    assert!(
        run(&mut engine, at(2)).is_empty(),
        "two of four cores each remain"
    );
    assert_eq!(engine.audit(), Ok(()));
    let second = TaskId::new(job_id(1), 1);
    engine.ended(second, Attempt(1), WorkerId(0), End::Succeeded, AGE, at(3));
    assert_eq!(run(&mut engine, at(3)).len(), 1);
}

#[test]
fn a_hold_is_kept_for_its_gang_and_expires_by_itself() {
    let mut engine = cell(2, 8);
    let held = engine.hold(5, cores(8), 2, at(10), at(1)).expect("it fits");
    assert_eq!(engine.hold(5, cores(8), 2, at(10), at(2)), Some(held));
    assert_eq!(engine.hold(6, cores(1), 1, at(10), at(2)), None);
    engine.submit(job_id(1), batch(1, 1), at(2));
    assert!(run(&mut engine, at(3)).is_empty());
    assert_eq!(run(&mut engine, at(10)).len(), 1, "the hold has expired");
    let late = engine.commit_hold(5, job_id(2), gang(4, 8), 2, at(11));
    assert_eq!(late, None);
    engine
        .hold(7, cores(4), 1, at(20), at(12))
        .expect("it fits");
    let effects = engine.commit_hold(7, job_id(2), gang(4, 4), 2, at(13));
    let started = starts(&effects.expect("in time"));
    assert_eq!(started[0].0, TaskId::new(job_id(2), 2));
    assert_eq!(engine.job(job_id(2)).expect("known").state, State::Running);
    assert_eq!(engine.audit(), Ok(()));
}
