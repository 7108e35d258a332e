//! Answers of one worker that overtake each other.

use std::time::Duration;

use crate::world::{
    queue,
    size, //
};
use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Hold, //
    },
    engine::{
        Engine,
        Inheritance, //
    },
    evacuation::Evacuation,
    event::{
        Ended,
        HoldAnswer,
        How,
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

/// Advances until nothing more comes out, and returns what did; records are kept at once.
fn effects(engine: &mut Engine, now: Timestamp) -> Vec<Effect> {
    let mut all = Vec::new();
    loop {
        let new = engine.advance(now);
        if new.is_empty() {
            return all;
        }
        if new.iter().any(|effect| matches!(effect, Effect::Record(_))) {
            engine.recorded(now);
        }
        all.extend(new);
    }
}

fn hold(effects: &[Effect], is_peek: bool) -> Hold {
    let mut holds = effects.iter().filter_map(|effect| match effect {
        Effect::Hold(hold) if hold.wait.is_zero() == is_peek => Some(hold.clone()),
        _ => None,
    });
    holds.next().expect("the worker is called")
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
            text: "text".into(),
            steps: vec![step(2)],
            schedule: None,
        }
        .into(),
        workspace: None,
        received: Timestamp::from_millis(1_000),
        partition: 0,
    }
}

#[test]
fn a_run_that_has_ended_is_not_taken_up_again_from_an_older_inventory() {
    let mut now = Timestamp::from_millis(1_000);
    let mut engine = Engine::new(Epoch(1), Bounds::default(), Inheritance::default(), now);
    engine.evacuate(Evacuation::default(), now, now);
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
    let first = hold(&effects(&mut engine, now), true);
    let empty = HoldAnswer::Listed(Inventory::default());
    engine.held(&worker, first.asked, empty, now);
    let main = hold(&effects(&mut engine, now), false);
    let job = JobId(1);
    engine.submit(accepted(job), now);
    now = now + 5 * MILLISECOND;
    effects(&mut engine, now);
    let step = fulmarpier_cell::id::StepId {
        job,
        occurrence: 0,
        step: 0,
    };
    let (task, doubted) = (step.task(0), step.task(1));
    engine.started(&worker, task, Run(1), StartAnswer::Started, now);
    // A start that is given up after several copies brings a second call, which overtakes the first.
    for _ in 0..3 {
        engine.started(&worker, doubted, Run(1), StartAnswer::Silent, now);
        effects(&mut engine, now);
    }
    engine.stopped(&worker, doubted, Run(1), StopAnswer::Confirmed, now);
    now = now + 5 * MILLISECOND;
    let peek = hold(&effects(&mut engine, now), true);
    let end = Ended {
        serial: 1,
        task,
        run: Run(1),
        how: How::Done,
        checkpoint: None,
    };
    let newer = Inventory {
        incarnation: None,
        clock: 10,
        running: Vec::new(),
        ended: vec![end],
    };
    engine.held(&worker, peek.asked, HoldAnswer::Listed(newer), now);
    effects(&mut engine, now);
    let running = Running {
        task,
        run: Run(1),
        checkpoint: None,
        load: 0,
    };
    let older = Inventory {
        incarnation: None,
        clock: 9,
        running: vec![running],
        ended: Vec::new(),
    };
    engine.held(&worker, main.asked, HoldAnswer::Listed(older), now);
    let stops = effects(&mut engine, now);
    let stops = stops
        .iter()
        .filter(|effect| matches!(effect, Effect::Stop(_)));
    assert_eq!(stops.count(), 0, "nothing runs that could be stopped");
    // Only the run whose start was given up still holds room, until it is certainly gone.
    assert_eq!(engine.counts().claims, 1);
}
