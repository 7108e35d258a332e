//! Small builders for the tests of the engine.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        Effect,
        Engine, //
    },
    id::{
        Attempt,
        DataCentreId,
        JobId,
        RackId,
        ShardId,
        TaskId,
        WorkerId, //
    },
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    placement::Weights,
    policy::Policy,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
    worker,
};

/// A size of whole cores with two gibibytes each.
pub(crate) fn cores(count: u32) -> Resources {
    let memory = Bytes::from_gib(2 * u64::from(count));
    Resources::new(Millicores::from_cores(count), memory, 0)
}

/// A time in whole seconds.
pub(crate) const fn at(secs: u64) -> Timestamp {
    Timestamp::from_millis(secs * 1_000)
}

pub(crate) const fn job_id(number: u32) -> JobId {
    JobId::from_u128(number as u128)
}

/// A batch job of normal priority that runs for ten seconds.
pub(crate) fn batch(tasks: u32, size: u32) -> Spec {
    Spec {
        team: "manifest".parse().expect("a valid name"),
        kind: Kind::Batch,
        size: cores(size),
        tasks,
        priority: Priority::Normal,
        runtime: Some(Duration::from_secs(10)),
        deadline: None,
        idempotent: true,
        checkpoint: false,
        spread: Spread::Any,
        payload: Payload::default(),
    }
}

pub(crate) fn gang(tasks: u32, size: u32) -> Spec {
    Spec {
        kind: Kind::Gang,
        ..batch(tasks, size)
    }
}

pub(crate) fn service(tasks: u32, size: u32) -> Spec {
    let kind = Kind::Service {
        service: "desk".parse().expect("a valid name"),
        slots: 8,
        port: 0,
    };
    Spec {
        kind,
        runtime: None,
        ..batch(tasks, size)
    }
}

/// An engine that waits for nothing, with workers of some cores, eight to a rack.
pub(crate) fn cell(workers: u32, size: u32) -> Engine {
    let policy = Policy::default().weights(Weights::new(1, 1, 0));
    cell_with(policy, workers, size)
}

pub(crate) fn cell_with(policy: Policy, workers: u32, size: u32) -> Engine {
    let mut engine = Engine::new(ShardId(1), policy);
    for number in 0..workers {
        engine.upsert_worker(worker(number, size), at(0));
    }
    engine
}

pub(crate) fn worker(number: u32, size: u32) -> worker::Spec {
    let rack = RackId(number / 8);
    let data_centre = DataCentreId(u16::try_from(number / 8 % 3).expect("a small number"));
    worker::Spec::new(WorkerId(number), cores(size)).place(data_centre, rack)
}

/// The starts among some effects.
pub(crate) fn starts(effects: &[Effect]) -> Vec<(TaskId, Attempt, WorkerId)> {
    let start = |effect: &Effect| match effect {
        Effect::Start {
            task,
            attempt,
            worker,
            ..
        } => Some((*task, *attempt, *worker)),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Decides, and reports every start as taken.
pub(crate) fn run(engine: &mut Engine, now: Timestamp) -> Vec<(TaskId, Attempt, WorkerId)> {
    let started = starts(&engine.decide(now, 1_000));
    for (task, attempt, worker) in &started {
        engine.started(*task, *attempt, *worker, now);
    }
    started
}
