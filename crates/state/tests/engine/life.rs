//! The life of jobs and tasks in one shard, by behaviour.

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
    starts,
    worker, //
};
use fulmarpier_state::{
    engine::{
        Act,
        Cause,
        Effect,
        End,
        Engine,
        Outcome,
        State,
        Submitted, //
    },
    explain::Explanation,
    id::{
        Attempt,
        JobId,
        ShardId,
        WorkerId, //
    },
    job::Spec,
    placement::Weights,
    policy::{
        Policy,
        UnknownTeam, //
    },
    quota::Limit,
    refusal::Reason,
    worker::Condition,
};
use rstest::rstest;

const AGE: Duration = Duration::from_secs(5);

fn state(engine: &Engine, id: JobId) -> State {
    engine.job(id).expect("the job is known").state
}

fn explained(engine: &Engine, id: JobId, now: u64) -> String {
    let explanation = engine.explain(id, at(now)).expect("the job is known");
    explanation.to_string()
}

#[test]
fn a_job_runs_to_its_end() {
    let mut engine = cell(2, 8);
    let spec = batch(3, 4);
    engine.check(&spec, at(1)).expect("it is accepted");
    assert_eq!(
        engine.submit(job_id(1), spec.clone(), at(1)),
        Submitted::New
    );
    assert_eq!(engine.submit(job_id(1), spec, at(1)), Submitted::Known);
    let started = run(&mut engine, at(1));
    assert_eq!(started.len(), 3);
    assert_eq!(state(&engine, job_id(1)), State::Running);
    let mut effects = Vec::new();
    for (task, attempt, worker) in started {
        effects.extend(engine.ended(task, attempt, worker, End::Succeeded, AGE, at(6)));
    }
    let ended = Effect::JobEnded {
        job: job_id(1),
        outcome: Outcome::Succeeded,
    };
    assert_eq!(effects.last(), Some(&ended));
    assert_eq!(engine.digest().free, engine.digest().capacity);
    assert_eq!(engine.audit(), Ok(()));
}

#[rstest]
#[case::empty(batch(0, 1), Reason::Empty)]
#[case::empty_gang(gang(0, 1), Reason::Empty)]
#[case::too_large(batch(1, 9), Reason::TooLarge)]
#[case::too_many(gang(5, 4), Reason::TooLarge)]
#[case::over_quota(gang(4, 4), Reason::OverQuota)]
#[case::past(Spec { deadline: Some(at(0)), ..batch(1, 1) }, Reason::Deadline)]
#[case::unreachable(Spec { deadline: Some(at(2)), ..batch(1, 1) }, Reason::Deadline)]
fn what_can_never_run_is_refused(#[case] spec: Spec, #[case] reason: Reason) {
    let mut engine = cell(2, 8);
    let limit = Limit {
        resources: Some(cores(12)),
        ..Limit::default()
    };
    engine.set_quota(&spec.team, limit);
    let refusal = engine.check(&spec, at(1)).expect_err("it is refused");
    assert_eq!(refusal.reason, reason);
    assert_eq!(engine.counters().refusals.get(&reason), Some(&1));
}

#[test]
fn queues_are_bounded_by_class_and_by_team() {
    let mut policy = Policy::default();
    policy.bounds.normal = 3;
    let mut engine = cell_with(policy, 1, 1);
    let one = batch(1, 1);
    let limit = Limit {
        queue: 2,
        ..Limit::default()
    };
    engine.set_quota(&one.team, limit);
    for number in 0..2 {
        engine.check(&one, at(1)).expect("there is room");
        engine.submit(job_id(number), one.clone(), at(1));
    }
    let refusal = engine
        .check(&one, at(1))
        .expect_err("the team is at its bound");
    assert_eq!(refusal.reason, Reason::TeamQueueFull);
    assert!(refusal.retry_after.is_some());
    let mut other = one;
    other.team = "liaison".parse().expect("a valid name");
    engine.check(&other, at(1)).expect("the class has room");
    engine.submit(job_id(9), other.clone(), at(1));
    let refusal = engine.check(&other, at(1)).expect_err("the class is full");
    assert_eq!(refusal.reason, Reason::QueueFull);
}

#[test]
fn teams_that_are_not_configured_can_be_refused() {
    let policy = Policy {
        unknown_team: UnknownTeam::Refuse,
        ..Policy::default()
    };
    let mut engine = cell_with(policy, 1, 8);
    let refusal = engine.check(&batch(1, 1), at(1)).expect_err("unknown");
    assert_eq!(refusal.reason, Reason::UnknownTeam);
}

#[test]
fn a_start_that_did_not_run_is_decided_again_elsewhere() {
    let mut engine = cell(2, 8);
    engine.submit(job_id(1), batch(1, 8), at(1));
    let (task, attempt, first) = starts(&engine.decide(at(1), 10))[0];
    engine.not_run(task, attempt, first, Cause::Failed, at(2));
    let (_, again, second) = starts(&engine.decide(at(2), 10))[0];
    assert_eq!(again, attempt.next());
    assert_ne!(first, second, "the worker that failed is avoided");
}

#[rstest]
#[case::idempotent(true, State::Waiting, Some(Attempt(2)))]
#[case::non_idempotent(false, State::Ended(Outcome::Unknown), None)]
fn a_lost_worker_loses_no_truth(
    #[case] idempotent: bool,
    #[case] expected: State,
    #[case] next: Option<Attempt>,
) {
    let mut engine = cell(2, 8);
    let spec = Spec {
        idempotent,
        ..batch(1, 8)
    };
    engine.submit(job_id(1), spec, at(1));
    let (task, attempt, worker) = starts(&engine.decide(at(1), 10))[0];
    engine.suspect(task, attempt, worker);
    assert!(starts(&engine.decide(at(60), 10)).is_empty(), "it may run");
    engine.worker_lost(worker, at(90));
    assert_eq!(state(&engine, job_id(1)), expected);
    let again = starts(&engine.decide(at(90), 10));
    assert_eq!(again.first().map(|start| start.1), next);
}

/// Workers go down under the start of a task and tell of no end; a task that was started again for ever took one after the
/// other down.
#[rstest]
#[case::a_batch_task(batch(1, 8), 3)]
#[case::a_task_of_a_gang(gang(2, 8), 3)]
fn a_task_that_crashes_its_workers_is_given_up(#[case] spec: Spec, #[case] expected: u32) {
    let mut engine = cell(8, 8);
    engine.submit(job_id(1), spec, at(0));
    let mut crashes = 0;
    for second in 1..20 {
        let now = at(second);
        let started = starts(&engine.decide(now, 10));
        for (task, attempt, worker) in started {
            engine.started(task, attempt, worker, now);
            if task.index == 0 {
                crashes += 1;
                engine.worker_lost(worker, now);
            } else {
                engine.ended(task, attempt, worker, End::Stopped, AGE, now);
            }
        }
    }
    assert_eq!(crashes, expected);
    assert_eq!(state(&engine, job_id(1)), State::Ended(Outcome::Failed));
}

/// A worker that has shown a task at work before it went down did not crash under its start.
#[test]
fn a_task_that_was_seen_at_work_is_started_again_however_often_its_worker_is_lost() {
    let mut engine = cell(20, 8);
    engine.submit(job_id(1), batch(1, 8), at(0));
    for second in 1..10 {
        let (task, attempt, worker) = starts(&engine.decide(at(second), 10))[0];
        engine.started(task, attempt, worker, at(second));
        engine.usage(task, cores(1), at(second));
        engine.worker_lost(worker, at(second));
    }
    assert_eq!(state(&engine, job_id(1)), State::Waiting);
}

#[test]
fn failures_are_retried_with_backoff_up_to_the_budget() {
    let mut engine = cell(8, 8);
    engine.submit(job_id(1), batch(1, 1), at(0));
    let mut now = at(1);
    let mut tried = 0;
    while state(&engine, job_id(1)) != State::Ended(Outcome::Failed) {
        for (task, attempt, worker) in run(&mut engine, now) {
            tried += 1;
            engine.ended(task, attempt, worker, End::Failed, AGE, now);
        }
        now = engine.next_wake().unwrap_or(now).max(now);
        assert!(tried < 100, "the budget ends the retries");
    }
    assert_eq!(tried, 4, "one start and three retries");
    assert!(now > at(2), "each retry waits longer");
}

#[test]
fn a_job_that_fails_everywhere_is_held_and_spares_the_workers() {
    let mut engine = cell(8, 8);
    for number in 10..40 {
        engine.submit(job_id(number), batch(1, 8), at(0));
    }
    for _ in 0..4 {
        for (task, attempt, worker) in run(&mut engine, at(0)) {
            engine.ended(task, attempt, worker, End::Succeeded, AGE, at(0));
        }
    }
    engine.submit(job_id(1), batch(3, 8), at(0));
    let mut effects = Vec::new();
    for (task, attempt, worker) in run(&mut engine, at(1)) {
        effects.extend(engine.ended(task, attempt, worker, End::Failed, AGE, at(2)));
    }
    assert!(effects.contains(&Effect::Held { job: job_id(1) }));
    let quarantined = |effect: &Effect| matches!(effect, Effect::Quarantined { .. });
    assert!(!effects.iter().any(quarantined));
    assert!(matches!(
        engine.explain(job_id(1), at(2)),
        Some(Explanation::Held { .. })
    ));
    engine.release_job(job_id(1), at(3));
    assert_ne!(state(&engine, job_id(1)), State::Held);
}

#[test]
fn a_job_whose_retries_are_spent_starts_no_more_tasks() {
    let mut engine = cell(8, 8);
    engine.submit(job_id(1), batch(100, 8), at(0));
    let mut tried = 0;
    let mut now = at(1);
    while !matches!(state(&engine, job_id(1)), State::Ended(_)) {
        for (task, attempt, worker) in run(&mut engine, now) {
            tried += 1;
            engine.ended(task, attempt, worker, End::Failed, AGE, now);
        }
        now = engine.next_wake().unwrap_or(now).max(now);
    }
    assert_eq!(state(&engine, job_id(1)), State::Ended(Outcome::Failed));
    assert!(tried < 40, "most tasks are spared, {tried} were tried");
    let ended = engine.job(job_id(1)).expect("it is remembered").ended;
    assert!(ended.cancelled > 60, "those that were never run say so");
}

#[test]
fn a_worker_that_fails_everything_gets_only_probes() {
    let mut engine = cell(4, 8);
    let mut quarantined = false;
    for number in 0..40 {
        engine.submit(job_id(number), batch(1, 8), at(1));
    }
    for round in 1..10 {
        for (task, attempt, worker) in run(&mut engine, at(round)) {
            let end = match worker == WorkerId(2) {
                true => End::Failed,
                false => End::Succeeded,
            };
            let effects = engine.ended(task, attempt, worker, end, AGE, at(round));
            quarantined |= effects.contains(&Effect::Quarantined { worker });
        }
    }
    assert!(quarantined);
    engine.submit(job_id(99), batch(40, 8), at(10));
    let placed = run(&mut engine, at(10));
    assert!(engine.next_wake() > Some(at(10)), "it does not spin");
    assert!(placed.iter().all(|(_, _, worker)| *worker != WorkerId(2)));
    let probes = run(&mut engine, at(4_000));
    let probes: Vec<_> = probes.iter().filter(|s| s.2 == WorkerId(2)).collect();
    assert_eq!(probes.len(), 1, "one probe");
}

#[test]
fn cancelling_a_wave_takes_out_what_waits_and_stops_what_runs() {
    let mut engine = cell(1, 8);
    for number in 0..1_000 {
        engine.submit(job_id(number), batch(10_000, 1), at(1));
    }
    let running = run(&mut engine, at(1));
    assert_eq!(running.len(), 8);
    let mut stops = 0;
    for number in 0..1_000 {
        let effects = engine.cancel(job_id(number), at(2)).expect("known");
        let stop = |effect: &&Effect| matches!(effect, Effect::Act { act: Act::Stop, .. });
        stops += effects.iter().filter(stop).count();
    }
    assert_eq!(stops, 8);
    assert_eq!(engine.digest().waiting_jobs, 0);
    for (task, attempt, worker) in running {
        engine.ended(task, attempt, worker, End::Stopped, AGE, at(3));
    }
    assert_eq!(engine.digest().free, engine.digest().capacity);
    assert!(run(&mut engine, at(4)).is_empty());
    let refusal = engine.cancel(job_id(5_000), at(4)).expect_err("unknown");
    assert_eq!(refusal.reason, Reason::UnknownJob);
}

#[test]
fn a_leaving_worker_gets_nothing_new() {
    let mut engine = cell(2, 8);
    engine.set_condition(WorkerId(0), Condition::Leaving, at(0));
    engine.submit(job_id(1), batch(4, 4), at(1));
    let started = run(&mut engine, at(1));
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|(_, _, worker)| *worker == WorkerId(1)));
    engine.set_condition(WorkerId(0), Condition::Open, at(2));
    assert_eq!(run(&mut engine, at(2)).len(), 2);
}

#[test]
fn reasons_name_what_is_missing() {
    let mut engine = Engine::new(ShardId(1), Policy::default().weights(Weights::new(1, 1, 0)));
    engine.submit(job_id(1), batch(1, 8), at(0));
    insta::assert_snapshot!(
        explained(&engine, job_id(1), 0),
        @"no worker that is up is large enough for 8 cpu, 16GiB"
    );
    engine.upsert_worker(worker(1, 8), at(1));
    engine.submit(job_id(2), batch(1, 8), at(1));
    run(&mut engine, at(1));
    insta::assert_snapshot!(
        explained(&engine, job_id(2), 1),
        @"no worker has room for 8 cpu, 16GiB; free on all together: 0 cpu, 0B"
    );
    assert_eq!(engine.explain(job_id(3), at(1)), None);
}

#[test]
fn ended_jobs_are_forgotten_after_their_retention() {
    let mut policy = Policy::default();
    policy.retention.jobs = 2;
    let mut engine = cell_with(policy, 1, 8);
    for number in 1..=4 {
        engine.submit(job_id(number), batch(1, 8), at(0));
        for (task, attempt, worker) in run(&mut engine, at(u64::from(number) * 10)) {
            let now = at(u64::from(number) * 10 + 5);
            engine.ended(task, attempt, worker, End::Succeeded, AGE, now);
        }
    }
    let known: Vec<bool> = (1..=4).map(|n| engine.job(job_id(n)).is_some()).collect();
    assert_eq!(known, [false, false, true, true]);
}
