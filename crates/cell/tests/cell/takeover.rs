//! A new owner and the runs that the former owner has left.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::{
        Bounds,
        MAX_FORMER_OWNER_ACTIVITY, //
    },
    effect::{
        Effect,
        LogRecord,
        Loss,
        Refusal, //
    },
    engine::{
        Engine,
        State,
        StoredState, //
    },
    evacuation::Evacuation,
    event::{
        HeartbeatAnswer,
        Inventory,
        Registration,
        Running, //
    },
    id::{
        Epoch,
        JobId,
        PoolName,
        Run,
        StepId,
        WorkerId, //
    },
    job::{
        Schedule,
        Spec,
        Step, //
    },
    record::{
        Accepted,
        WorkerRuns, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

use crate::world::{
    queue,
    size, //
};

const JOB: JobId = JobId(7);

/// Returns a job that was due a second ago and is due again in a minute.
fn repeated_job(now: Timestamp) -> Accepted {
    let step = Step {
        count: 1,
        size: size(1_000, 1_024),
        ..Step::default()
    };
    Accepted {
        job: JOB,
        queue: queue("batch", 2, false).into(),
        spec: Spec {
            payload: "text".into(),
            steps: vec![step],
            schedule: Some(Schedule {
                times: 2,
                first: Duration::from_micros(now.as_micros()) - Duration::from_secs(1),
                period: Duration::from_secs(61),
            }),
        }
        .into(),
        workspace: None,
        received: now,
        partition: 0,
    }
}

fn registration(id: &WorkerId) -> Registration {
    Registration {
        incarnation: None,
        id: id.clone(),
        address: "127.0.0.1:1".parse().unwrap(),
        pool: PoolName::from("pool"),
        capacity: size(4_000, 4_096),
        labels: Vec::new(),
        data_centre: None,
        leaving: None,
    }
}

#[rstest]
#[case::fenced_at_once(Duration::ZERO)]
#[case::fenced_later(Duration::from_secs(20))]
fn a_task_on_a_silent_worker_waits_for_leases_that_the_former_owner_may_still_extend(
    #[case] fenced_after: Duration,
) {
    let takeover = Timestamp::from_millis(100_000);
    let (silent, healthy) = (WorkerId::from("w1"), WorkerId::from("w2"));
    let step = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    };
    let mut accepted = repeated_job(takeover);
    let mut spec = (*accepted.spec).clone();
    spec.schedule = None;
    accepted.spec = spec.into();
    let runs = WorkerRuns {
        incarnation: None,
        address: "127.0.0.1:1".parse().unwrap(),
        runs: vec![(step.task(0), Run(1))],
    };
    let stored = StoredState {
        accepted: vec![accepted],
        workers: vec![(silent.clone(), runs)],
        ..StoredState::default()
    };
    let bounds = Bounds::default();
    let mut engine = Engine::new(Epoch(2), bounds, stored, takeover);
    engine.set_evacuation(Evacuation::default(), takeover, takeover);
    engine.register(registration(&healthy), takeover);
    let mut now = takeover;
    let mut unheard = Vec::new();
    let start_delay = loop {
        if now.since(takeover) == fenced_after {
            engine.note_former_owners_fenced(now);
        }
        engine.register(registration(&healthy), now);
        let mut effects = engine.advance(now);
        assert!(
            now.since(takeover) < fenced_after + Duration::from_secs(60),
            "the task starts"
        );
        if effects.iter().any(|e| matches!(e, Effect::Start(_))) {
            break now.since(takeover);
        }
        for effect in effects.drain(..) {
            match effect {
                Effect::Heartbeat(heartbeat) if heartbeat.to.worker == silent => {
                    engine.handle_heartbeat_answer(
                        &silent,
                        heartbeat.sent_at,
                        HeartbeatAnswer::NoAnswer,
                        now,
                    );
                }
                Effect::Heartbeat(heartbeat) => {
                    let empty = HeartbeatAnswer::Inventory(Inventory::default());
                    engine.handle_heartbeat_answer(&healthy, heartbeat.sent_at, empty, now);
                }
                Effect::Record(_) => engine.handle_recorded(now),
                Effect::Log(record @ LogRecord::Unheard { .. }) => unheard.push((record, now)),
                _ => {}
            }
        }
        now = now + Duration::from_millis(20);
    };
    let leases_end =
        takeover + fenced_after + bounds.lease_expiry_time() + MAX_FORMER_OWNER_ACTIVITY;
    let lost_at = unheard.first().map(|(_, at)| at.since(takeover));
    let records: Vec<LogRecord> = unheard.into_iter().map(|(record, _)| record).collect();
    let expected = LogRecord::Unheard {
        worker: silent,
        why: "gone",
        runs: 1,
        owned: lost_at.unwrap_or_default(),
        lease: leases_end.since(takeover),
    };
    assert_eq!(records, [expected]);
    assert!(
        start_delay >= fenced_after + bounds.lease_expiry_time() + MAX_FORMER_OWNER_ACTIVITY,
        "{start_delay:?}"
    );
    assert!(
        start_delay
            < fenced_after
                + bounds.lease_expiry_time()
                + MAX_FORMER_OWNER_ACTIVITY
                + Duration::from_secs(1),
        "{start_delay:?}"
    );
}

/// Guards against an ownership that ends without a word on which worker knew of a later one.
#[test]
fn an_owner_that_a_worker_refuses_for_its_fence_names_the_worker() {
    let now = Timestamp::from_millis(100_000);
    let worker = WorkerId::from("w1");
    let stored = StoredState::default();
    let mut engine = Engine::new(Epoch(2), Bounds::default(), stored, now);
    engine.register(registration(&worker), now);
    let sent_at = engine
        .advance(now)
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Heartbeat(heartbeat) => Some(heartbeat.sent_at),
            _ => None,
        });
    let sent_at = sent_at.expect("a heartbeat is sent");
    engine.handle_heartbeat_answer(&worker, sent_at, HeartbeatAnswer::Fenced, now);
    let refusal = Refusal {
        worker,
        call: "heartbeat",
        heard: None,
    };
    let expected = Effect::OwnershipLost(Loss::Fenced(refusal));
    assert!(engine.advance(now).contains(&expected));
}

#[test]
fn tasks_are_not_taken_for_lost_while_a_former_owner_may_extend_their_leases() {
    let now = Timestamp::from_millis(100_000);
    let task = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    }
    .task(0);
    let silent = WorkerId::from("silent");
    let runs = WorkerRuns {
        incarnation: None,
        address: "127.0.0.1:1".parse().unwrap(),
        runs: vec![(task, Run(1))],
    };
    let stored = StoredState {
        accepted: vec![repeated_job(now)],
        workers: vec![(silent.clone(), runs)],
        ..StoredState::default()
    };
    let mut engine = Engine::new(Epoch(2), Bounds::default(), stored, now);
    for second in 0..600 {
        let now = now + Duration::from_secs(second);
        for effect in engine.advance(now) {
            match effect {
                Effect::Heartbeat(heartbeat) => engine.handle_heartbeat_answer(
                    &silent,
                    heartbeat.sent_at,
                    HeartbeatAnswer::NoAnswer,
                    now,
                ),
                Effect::Record(_) => engine.handle_recorded(now),
                Effect::Log(LogRecord::Lost { .. }) => panic!("lost after {second} s"),
                _ => {}
            }
        }
    }
}

#[test]
fn a_run_of_an_occurrence_that_was_due_is_taken_over() {
    let now = Timestamp::from_millis(100_000);
    let worker = WorkerId::from("w1");
    let task = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    }
    .task(0);
    let runs = WorkerRuns {
        incarnation: None,
        address: "127.0.0.1:1".parse().unwrap(),
        runs: vec![(task, Run(1))],
    };
    let stored = StoredState {
        accepted: vec![repeated_job(now)],
        workers: vec![(worker.clone(), runs)],
        ..StoredState::default()
    };
    let mut engine = Engine::new(Epoch(2), Bounds::default(), stored, now);
    engine.set_evacuation(Evacuation::default(), now, now);
    let effects = engine.advance(now);
    let sent_at = effects.iter().find_map(|effect| match effect {
        Effect::Heartbeat(heartbeat) => Some(heartbeat.sent_at),
        _ => None,
    });
    let running = Running {
        task,
        run: Run(1),
        checkpoint: None,
        load: 0,
        progress: None,
    };
    let inventory = Inventory {
        omits_ends: false,
        incarnation: None,
        clock: 5,
        running: vec![running],
        ended: Vec::new(),
    };
    let sent_at = sent_at.expect("the worker is sent a heartbeat");
    engine.handle_heartbeat_answer(&worker, sent_at, HeartbeatAnswer::Inventory(inventory), now);
    let effects = [effects, engine.advance(now)].concat();
    let stops = effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Stop(_)));
    assert_eq!(stops.count(), 0);
    assert_eq!(engine.state(JOB), Some(State::Running));
}

/// Guards against a run that is started again while a stop of the former owner is still under way.
#[test]
fn a_run_that_is_missing_from_the_first_inventory_may_be_about_to_end() {
    let takeover = Timestamp::from_millis(100_000);
    let first_answer = takeover + Duration::from_secs(5);
    let worker = WorkerId::from("w1");
    let task = StepId {
        job: JOB,
        occurrence: 0,
        step: 0,
    }
    .task(0);
    let mut accepted = repeated_job(takeover);
    let mut spec = (*accepted.spec).clone();
    spec.schedule = None;
    accepted.spec = spec.into();
    let runs = WorkerRuns {
        incarnation: None,
        address: "127.0.0.1:1".parse().unwrap(),
        runs: vec![(task, Run(1))],
    };
    let stored = StoredState {
        accepted: vec![accepted],
        workers: vec![(worker.clone(), runs)],
        ..StoredState::default()
    };
    let bounds = Bounds::default();
    let mut engine = Engine::new(Epoch(2), bounds, stored, takeover);
    engine.note_former_owners_fenced(takeover);
    engine.set_evacuation(Evacuation::default(), takeover, takeover);
    engine.register(registration(&worker), takeover);
    let mut now = takeover;
    let started_at = loop {
        let effects = engine.advance(now);
        if effects.iter().any(|e| matches!(e, Effect::Start(_))) {
            break now;
        }
        for effect in effects {
            match effect {
                Effect::Heartbeat(heartbeat) => {
                    let answer = match now < first_answer {
                        true => HeartbeatAnswer::NoAnswer,
                        false => HeartbeatAnswer::Inventory(Inventory::default()),
                    };
                    engine.handle_heartbeat_answer(&worker, heartbeat.sent_at, answer, now);
                }
                Effect::Record(_) => engine.handle_recorded(now),
                _ => {}
            }
        }
        now = now + Duration::from_millis(20);
        assert!(now < first_answer + Duration::from_secs(10), "it starts");
    };
    let waited = started_at.since(first_answer);
    assert!(waited >= bounds.stop_settle_time(), "{waited:?}");
}
