//! Answers of one worker that arrive out of order.

use std::time::Duration;

use crate::world::{
    queue,
    size, //
};
use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Heartbeat, //
    },
    engine::{
        Engine,
        StoredState, //
    },
    evacuation::Evacuation,
    event::{
        Ended,
        ExitReason,
        HeartbeatAnswer,
        Inventory,
        Registration,
        Running,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Epoch,
        JobId,
        PoolName,
        Run,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
    record::Accepted,
};
use fulmarpier_state::clock::Timestamp;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Advances the engine until it returns no more effects, storing records at once, and returns all effects.
fn drain_effects(engine: &mut Engine, now: Timestamp) -> Vec<Effect> {
    let mut all = Vec::new();
    loop {
        let new = engine.advance(now);
        if new.is_empty() {
            return all;
        }
        if new.iter().any(|effect| matches!(effect, Effect::Record(_))) {
            engine.handle_recorded(now);
        }
        all.extend(new);
    }
}

/// Returns the first heartbeat among some effects: a probe, which is answered at once, or one that waits for the end of
/// a run.
fn find_heartbeat(effects: &[Effect], is_probe: bool) -> Heartbeat {
    let mut heartbeats = effects.iter().filter_map(|effect| match effect {
        Effect::Heartbeat(heartbeat) if heartbeat.wait.is_zero() == is_probe => {
            Some(heartbeat.clone())
        }
        _ => None,
    });
    heartbeats.next().expect("the engine sends a heartbeat")
}

fn accepted(job: JobId) -> Accepted {
    let step = |count| Step {
        count,
        size: size(1_000, 1_024),
        ..Step::default()
    };
    Accepted {
        job,
        queue: queue("batch", 2, false).into(),
        spec: Spec {
            payload: "text".into(),
            steps: vec![step(2)],
            schedule: None,
        }
        .into(),
        workspace: None,
        received: Timestamp::from_millis(1_000),
        partition: 0,
    }
}

/// Guards against an engine that takes up a run again after its end was reported.
///
/// Two heartbeats to one worker are in flight. The answer to the second one arrives first and lists the end of a run;
/// the answer to the first one is older and still lists the run as running.
#[test]
fn an_outdated_inventory_does_not_revive_an_ended_run() {
    let mut now = Timestamp::from_millis(1_000);
    let mut engine = Engine::new(Epoch(1), Bounds::default(), StoredState::default(), now);
    engine.set_evacuation(Evacuation::default(), now, now);
    let worker = WorkerId::from("w1");
    engine.register(
        Registration {
            incarnation: None,
            id: worker.clone(),
            address: "127.0.0.1:1".parse().unwrap(),
            pool: PoolName::from("pool"),
            capacity: size(4_000, 4_096),
            labels: Vec::new(),
            data_centre: None,
            leaving: None,
        },
        now,
    );
    let first = find_heartbeat(&drain_effects(&mut engine, now), true);
    let empty = HeartbeatAnswer::Inventory(Inventory::default());
    engine.handle_heartbeat_answer(&worker, first.sent_at, empty, now);
    let heartbeat = find_heartbeat(&drain_effects(&mut engine, now), false);
    let job = JobId(1);
    engine.submit(accepted(job), now);
    now = now + 5 * MILLISECOND;
    drain_effects(&mut engine, now);
    let step = fulmarpier_cell::id::StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    let (task, unanswered) = (step.task(0), step.task(1));
    engine.handle_start_answer(&worker, task, Run(1), StartAnswer::Started, now);
    // A start that stays unanswered after several attempts causes a second heartbeat, whose answer overtakes the first.
    for _ in 0..3 {
        engine.handle_start_answer(&worker, unanswered, Run(1), StartAnswer::NoAnswer, now);
        drain_effects(&mut engine, now);
    }
    engine.handle_stop_answer(&worker, unanswered, Run(1), StopAnswer::Confirmed, now);
    now = now + 5 * MILLISECOND;
    let probe = find_heartbeat(&drain_effects(&mut engine, now), true);
    let end = Ended {
        serial: 1,
        task,
        run: Run(1),
        reason: ExitReason::Done,
        checkpoint: None,
    };
    let newer = Inventory {
        omits_ends: false,
        incarnation: None,
        clock: 10,
        running: Vec::new(),
        ended: vec![end],
    };
    engine.handle_heartbeat_answer(
        &worker,
        probe.sent_at,
        HeartbeatAnswer::Inventory(newer),
        now,
    );
    drain_effects(&mut engine, now);
    let running = Running {
        task,
        run: Run(1),
        checkpoint: None,
        load: 0,
        progress: None,
    };
    let older = Inventory {
        omits_ends: false,
        incarnation: None,
        clock: 9,
        running: vec![running],
        ended: Vec::new(),
    };
    engine.handle_heartbeat_answer(
        &worker,
        heartbeat.sent_at,
        HeartbeatAnswer::Inventory(older),
        now,
    );
    let stops = drain_effects(&mut engine, now);
    let stops = stops
        .iter()
        .filter(|effect| matches!(effect, Effect::Stop(_)));
    assert_eq!(stops.count(), 0, "no run is left to stop");
    // Only the unanswered start still has an allocation, until the run is certainly gone.
    assert_eq!(engine.counts().allocations, 1);
}
