//! One takeover at a time: what it does, in what order, and when placing begins.

#[path = "support/job.rs"]
mod job;

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    platform::worker::{
        Inventory,
        Running, //
    },
    recovery::{
        Effect,
        Fenced,
        Image,
        Job,
        Machine,
        Settings,
        Step,
        Takeover,
        TaskState, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        TaskId,
        WorkerId, //
    },
    resource::Resources, //
};

use job::spec;

const EPOCH: Epoch = Epoch(9);
const START: Timestamp = Timestamp::from_millis(1_000_000);

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn task(job: u128, index: u32) -> TaskId {
    TaskId::new(JobId::from_u128(job), index)
}

/// Job 1 is idempotent, job 2 is not; task 0 of each was recorded to start on w0.
fn image(tasks: u32) -> Image {
    let mut image = Image::default();
    for (job, idempotent) in [(1, true), (2, false)] {
        let state = TaskState::Starting {
            attempt: Attempt(1),
            worker: WorkerId(0),
        };
        let held = Job {
            spec: Arc::new(spec(tasks, idempotent)),
            accepted: START,
            cancelled: false,
            tasks: [(0, state)].into(),
            delegation: None,
            of: None,
        };
        image.jobs.insert(JobId::from_u128(job), held);
    }
    image
}

fn machine(tasks: u32, unrecorded: bool) -> Machine {
    let takeover = Takeover {
        epoch: EPOCH,
        renewals_end: Some(START),
        unrecorded,
    };
    let workers = [WorkerId(0), WorkerId(1)];
    let settings = Settings::default();
    Machine::new(takeover, &image(tasks), workers, settings, START)
}

fn inventory(worker: u32, epoch: Epoch, tasks: &[TaskId]) -> Inventory {
    let running = |task: &TaskId| Running {
        task: *task,
        attempt: Attempt(1),
        epoch: Epoch(5),
        size: Resources::ZERO,
        usage: Resources::ZERO,
        age: Duration::ZERO,
        lease: Duration::ZERO,
        target: None,
        busy: 0,
    };
    Inventory {
        worker: WorkerId(worker),
        incarnation: Incarnation(1),
        epoch,
        clock: START,
        capacity: Resources::ZERO,
        version: 0,
        base: None,
        running: tasks.iter().map(running).collect(),
        ended: Vec::new(),
    }
}

/// Returns the steps that are due, one short line each.
fn steps(machine: &mut Machine, now: Timestamp) -> Vec<String> {
    let mut lines = Vec::new();
    while let Some(effect) = machine.poll(now) {
        match effect {
            Effect::Take(workers) => lines.push(format!("take {}", workers.len())),
            Effect::Step(step) => lines.push(line(&step)),
        }
    }
    lines
}

fn line(step: &Step) -> String {
    let short = |task: &TaskId| format!("{}/{}", task.job.as_u128(), task.index);
    match step {
        Step::Submit { job, .. } => format!("submit {}", job.as_u128()),
        Step::Restore { task, .. } => format!("restore {}", short(task)),
        Step::Waiting { task, attempt } => format!("waiting {} after {attempt}", short(task)),
        Step::Recall { task, worker, .. } => format!("recall {} on {worker}", short(task)),
        Step::Release { task, worker, .. } => format!("release {} on {worker}", short(task)),
        Step::Adopt { worker, running } => format!("adopt {} on {worker}", short(&running.task)),
        Step::Ended { task, end, .. } => format!("ended {} {end:?}", short(task)),
        Step::Unknown { task, .. } => format!("unknown {}", short(task)),
        Step::Cancel { job } => format!("cancel {}", job.as_u128()),
        Step::WorkerGone { worker } => format!("gone {worker}"),
        Step::WorkerOpen { worker } => format!("open {worker}"),
        Step::Ready => "ready".to_owned(),
        Step::Settled => "settled".to_owned(),
    }
}

#[test]
fn placing_begins_at_once_when_all_workers_answer() {
    let mut machine = machine(1, true);
    assert_eq!(steps(&mut machine, START), ["take 2"]);
    let found = [task(1, 0), task(2, 0)];
    machine.on_inventory(&inventory(0, EPOCH, &found)).unwrap();
    machine.on_inventory(&inventory(1, EPOCH, &[])).unwrap();
    assert_eq!(
        steps(&mut machine, after(5)),
        [
            "open w0",
            "open w1",
            "submit 1",
            "submit 2",
            "adopt 1/0 on w0",
            "adopt 2/0 on w0",
            "ready",
            "settled"
        ]
    );
}

#[test]
fn a_silent_worker_holds_back_only_what_it_may_hold() {
    let mut machine = machine(2, false);
    steps(&mut machine, START);
    machine.on_inventory(&inventory(1, EPOCH, &[])).unwrap();
    assert_eq!(steps(&mut machine, after(999)), [""; 0]);
    assert_eq!(machine.next_wake(after(999)), Some(after(1_000)));
    assert_eq!(
        steps(&mut machine, after(1_000)),
        [
            "take 1",
            "open w1",
            "submit 1",
            "recall 1/0 on w0",
            "submit 2",
            "recall 2/0 on w0",
            "ready"
        ]
    );
    // It answers at last, and holds one of the two.
    let found = [task(1, 0)];
    machine.on_inventory(&inventory(0, EPOCH, &found)).unwrap();
    assert_eq!(
        steps(&mut machine, after(1_500)),
        [
            "open w0",
            "release 1/0 on w0",
            "adopt 1/0 on w0",
            "release 2/0 on w0",
            "unknown 2/0",
            "settled"
        ]
    );
}

#[test]
fn a_silent_worker_is_gone_once_its_leases_have_lapsed() {
    let mut machine = machine(1, true);
    machine.on_inventory(&inventory(1, EPOCH, &[])).unwrap();
    steps(&mut machine, START);
    steps(&mut machine, after(1_000));
    assert_eq!(machine.withheld(), 2);
    let lapse = START + Settings::default().lapse();
    let before = lapse.saturating_sub(Duration::from_micros(1));
    assert_eq!(steps(&mut machine, before), ["take 1"]);
    assert_eq!(
        steps(&mut machine, lapse),
        [
            "release 1/0 on w0",
            "waiting 1/0 after 1",
            "release 2/0 on w0",
            "unknown 2/0",
            "gone w0",
            "settled"
        ]
    );
}

#[test]
fn a_living_earlier_owner_keeps_a_silent_worker_from_being_given_up() {
    let takeover = Takeover {
        epoch: EPOCH,
        renewals_end: None,
        unrecorded: false,
    };
    let workers = [WorkerId(0)];
    let settings = Settings::default();
    let mut machine = Machine::new(takeover, &image(1), workers, settings.clone(), START);
    steps(&mut machine, after(3_600_000));
    assert_eq!(machine.withheld(), 2);
    machine.renewals_ended(after(3_600_000));
    steps(&mut machine, after(3_600_000) + settings.lapse());
    assert!(machine.is_settled());
}

#[test]
fn a_long_queue_waits_as_jobs_and_not_task_by_task() {
    let mut image = image(1);
    for job in 10..1_000 {
        let held = Job {
            spec: Arc::new(spec(100, true)),
            accepted: START,
            cancelled: false,
            tasks: [].into(),
            delegation: None,
            of: None,
        };
        image.jobs.insert(JobId::from_u128(job), held);
    }
    let takeover = Takeover {
        epoch: EPOCH,
        renewals_end: Some(START),
        unrecorded: true,
    };
    let workers = [WorkerId(0)];
    let mut machine = Machine::new(takeover, &image, workers, Settings::default(), START);
    assert_eq!(steps(&mut machine, after(1_000)).len(), 6);
    assert_eq!(machine.withheld(), 992);
}

#[test]
fn a_worker_with_a_higher_epoch_ends_the_takeover() {
    let mut machine = machine(1, true);
    let result = machine.on_inventory(&inventory(0, Epoch(12), &[]));
    let worker = WorkerId(0);
    let epoch = Epoch(12);
    assert_eq!(result, Err(Fenced { worker, epoch }));
}

#[test]
fn an_answer_of_an_earlier_epoch_shows_nothing() {
    let mut machine = machine(1, true);
    let late = inventory(0, Epoch(5), &[]);
    machine.on_inventory(&late).unwrap();
    assert_eq!(machine.silent().count(), 2);
}
