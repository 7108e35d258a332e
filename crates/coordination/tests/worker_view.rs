//! Random calls to a worker that answers with what has changed: whatever is lost in between, the
//! caller knows exactly what runs, and renews by one word nothing but what it was shown.

#[path = "support/cases.rs"]
mod cases;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_coordination::platform::worker::{
    End,
    Ended,
    Gap,
    Inventory,
    Known,
    Running,
    View, //
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
    resource::Resources,
};
use proptest::prelude::*;

use cases::config;

const TASKS: u32 = 5;

type Key = (TaskId, Attempt);

/// What happens to the worker.
#[derive(Clone, Copy, Debug)]
enum Op {
    Start(u32),
    /// The target of a task has so many slots taken.
    Busy(u32, u16),
    End(u32),
    /// It loses everything and begins a new life.
    Restart,
    /// It takes a call, and the answer arrives or not.
    Call(bool),
}

/// A worker by the letter of the contract.
struct Worker {
    life: u64,
    version: u64,
    /// Each running task with the versions at which it began and at which its report changed.
    running: BTreeMap<TaskId, (Running, u64, u64)>,
    ended: BTreeMap<TaskId, Ended>,
    attempts: u32,
}

impl Worker {
    const fn new() -> Self {
        Self {
            life: 1,
            version: 1,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            attempts: 0,
        }
    }

    fn start(&mut self, task: TaskId) {
        if self.running.contains_key(&task) || self.ended.contains_key(&task) {
            return;
        }
        self.attempts += 1;
        self.version += 1;
        let running = Running {
            task,
            attempt: Attempt(self.attempts),
            epoch: Epoch(1),
            size: Resources::ZERO,
            usage: Resources::ZERO,
            age: Duration::ZERO,
            lease: Duration::ZERO,
            target: None,
            busy: 0,
        };
        self.running
            .insert(task, (running, self.version, self.version));
    }

    fn busy(&mut self, task: TaskId, busy: u16) {
        if let Some((running, _, changed)) = self.running.get_mut(&task) {
            self.version += 1;
            running.busy = busy;
            *changed = self.version;
        }
    }

    fn end(&mut self, task: TaskId) {
        let Some((running, ..)) = self.running.remove(&task) else {
            return;
        };
        self.version += 1;
        let ended = Ended {
            task,
            attempt: running.attempt,
            end: End::Succeeded,
            age: Duration::ZERO,
        };
        self.ended.insert(task, ended);
    }

    fn restart(&mut self) {
        self.life += 1;
        self.running.clear();
        self.ended.clear();
    }

    /// Takes a call; returns its answer and the tasks that it renews without naming them.
    fn call(&mut self, known: Option<Known>, forget: &[TaskId]) -> (Inventory, Vec<Key>) {
        for task in forget {
            self.ended.remove(task);
        }
        let life = Incarnation(self.life);
        let known = known.filter(|known| known.life == life);
        let base = known.map(|known| known.version);
        let shown = |since: u64| base.is_some_and(|base| since <= base);
        let tasks = self.running.values();
        let renewed = tasks.clone().filter(|(_, since, _)| shown(*since));
        let renewed = renewed.map(|(running, ..)| key(running)).collect();
        let news = tasks.filter(|(_, _, changed)| base.is_none_or(|base| *changed > base));
        let inventory = Inventory {
            worker: WorkerId(1),
            incarnation: life,
            epoch: Epoch(1),
            clock: Timestamp::ZERO,
            capacity: Resources::ZERO,
            version: self.version,
            base,
            running: news.map(|(running, ..)| running.clone()).collect(),
            ended: self.ended.values().cloned().collect(),
        };
        (inventory, renewed)
    }

    fn truth(&self) -> Vec<Running> {
        let running = self.running.values();
        running.map(|(running, ..)| running.clone()).collect()
    }
}

fn task(number: u32) -> TaskId {
    TaskId::new(JobId::from_u128(1), number)
}

const fn key(running: &Running) -> Key {
    (running.task, running.attempt)
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..TASKS).prop_map(Op::Start),
        2 => (0..TASKS, 0..3_u16).prop_map(|(task, busy)| Op::Busy(task, busy)),
        3 => (0..TASKS).prop_map(Op::End),
        1 => Just(Op::Restart),
        5 => any::<bool>().prop_map(Op::Call),
    ]
}

/// Applies one call to worker and caller, and compares them where the answer arrives.
fn call(worker: &mut Worker, view: &mut View, told: &mut Vec<TaskId>, arrives: bool) {
    let known = view.known();
    let is_same_life = known.is_some_and(|known| known.life.0 == worker.life);
    let runs = |shown: &Key| worker.running.values().any(|(r, ..)| key(r) == *shown);
    let expected: Vec<Key> = match is_same_life {
        true => view.running().filter(runs).collect(),
        false => Vec::new(),
    };
    let (answer, renewed) = worker.call(known, told);
    assert_eq!(renewed, expected);
    if !arrives {
        return;
    }
    let ended: Vec<TaskId> = answer.ended.iter().map(|ended| ended.task).collect();
    let full = view.take(answer).expect("the caller named what it knows");
    assert_eq!(full.running, worker.truth());
    assert_eq!(full.base, None);
    // Only ends that were taken in are acknowledged.
    *told = ended;
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_lost_answer_hides_a_task(ops in prop::collection::vec(op(), 1..60)) {
        let mut worker = Worker::new();
        let mut view = View::default();
        let mut told = Vec::new();
        for op in ops {
            match op {
                Op::Start(number) => worker.start(task(number)),
                Op::Busy(number, busy) => worker.busy(task(number), busy),
                Op::End(number) => worker.end(task(number)),
                Op::Restart => worker.restart(),
                Op::Call(arrives) => call(&mut worker, &mut view, &mut told, arrives),
            }
        }
        call(&mut worker, &mut view, &mut told, true);
    }
}

#[test]
fn an_answer_relative_to_something_else_is_refused_and_the_whole_is_asked_for() {
    let mut worker = Worker::new();
    let mut view = View::default();
    worker.start(task(0));
    let (first, _) = worker.call(None, &[]);
    view.take(first).expect("a whole inventory");
    let known = view.known();
    worker.start(task(1));
    let (second, _) = worker.call(known, &[]);
    view.take(second.clone()).expect("relative to the first");
    let base = second.base.expect("a relative inventory");
    assert_eq!(view.take(second), Err(Gap { base }));
    assert_eq!(view.known(), None);
}

#[test]
fn a_worker_without_versions_always_tells_the_whole() {
    let mut worker = Worker::new();
    worker.version = 0;
    let mut view = View::default();
    let (answer, _) = worker.call(None, &[]);
    view.take(answer).expect("a whole inventory");
    assert_eq!(view.known(), None);
}
