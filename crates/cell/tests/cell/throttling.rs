//! Best-effort tasks that share a worker with latency-sensitive tasks: throttling and placement.
//!
//! A best-effort task (`is_best_effort`) may be throttled to a share of its processor time while a latency-sensitive
//! task (one with a `target`) on the same worker is close to or above its target.

use std::time::Duration;

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
        TaskId,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
    record::Accepted,
};
use fulmarpier_state::clock::Timestamp;

use crate::world::{
    queue,
    size, //
};

const TARGET: Duration = Duration::from_millis(100);

/// A cell whose workers carry out all orders to start tasks. The test sets the latency that they report.
struct Cell {
    engine: Engine,
    now: Timestamp,
    workers: Vec<WorkerId>,
    running: Vec<(WorkerId, TaskId, Run)>,
    heartbeats: Vec<Heartbeat>,
    /// The tail of the response times that all running tasks report as their load, in milliseconds.
    tail_latency_ms: u32,
    /// The share of processor time in each answered order to throttle, in percent, in order.
    throttle_shares: Vec<u8>,
    /// How many of the next orders to throttle get no answer.
    orders_to_lose: usize,
}

impl Cell {
    fn new(workers: usize) -> Self {
        let now = Timestamp::from_millis(100_000);
        let ids: Vec<WorkerId> = (0..workers).map(|n| format!("w{n}").into()).collect();
        let mut engine = Engine::new(Epoch(1), Bounds::default(), StoredState::default(), now);
        engine.set_evacuation(Evacuation::default(), now, now);
        for id in &ids {
            let registration = Registration {
                incarnation: None,
                id: id.clone(),
                address: "127.0.0.1:1".parse().unwrap(),
                pool: PoolName::from("pool"),
                capacity: size(4_000, 4_096),
                labels: Vec::new(),
                data_centre: None,
                leaving: None,
            };
            engine.register(registration, now);
        }
        Self {
            engine,
            now,
            workers: ids,
            running: Vec::new(),
            heartbeats: Vec::new(),
            tail_latency_ms: 0,
            throttle_shares: Vec::new(),
            orders_to_lose: 0,
        }
    }

    fn submit(&mut self, job: u64, step: Step) {
        let accepted = Accepted {
            job: JobId(job),
            queue: queue("batch", 2, false).into(),
            spec: Spec {
                payload: "text".into(),
                steps: vec![step],
                schedule: None,
            }
            .into(),
            workspace: None,
            received: self.now,
            partition: 0,
        };
        self.engine.submit(accepted, self.now);
        self.run(Duration::from_millis(500));
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            self.answer_heartbeats();
            for effect in self.engine.advance(self.now) {
                self.handle(effect);
            }
        }
    }

    fn answer_heartbeats(&mut self) {
        let now = self.now;
        let due = |heartbeat: &mut Heartbeat| heartbeat.sent_at + heartbeat.wait <= now;
        let due: Vec<Heartbeat> = self.heartbeats.extract_if(.., due).collect();
        for heartbeat in due {
            let tasks = self.running.iter();
            let tasks = tasks.filter(|(worker, ..)| *worker == heartbeat.to.worker);
            let running = tasks.map(|(_, task, run)| Running {
                task: *task,
                run: *run,
                checkpoint: None,
                load: self.tail_latency_ms,
                progress: None,
            });
            let inventory = Inventory {
                omits_ends: false,
                incarnation: None,
                clock: 1,
                running: running.collect(),
                ended: Vec::new(),
            };
            let answer = HeartbeatAnswer::Inventory(inventory);
            self.engine.handle_heartbeat_answer(
                &heartbeat.to.worker,
                heartbeat.sent_at,
                answer,
                now,
            );
        }
    }

    fn handle(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Heartbeat(heartbeat) => self.heartbeats.push(heartbeat),
            Effect::Record(_) => self.engine.handle_recorded(now),
            Effect::Start(start) => {
                let worker = start.to.worker;
                let (task, run) = (start.task, start.run);
                self.engine
                    .handle_start_answer(&worker, task, run, StartAnswer::Started, now);
                self.running.push((worker, task, run));
            }
            Effect::Throttle(order) => {
                let (worker, task, run) = (order.to.worker, order.task, order.run);
                let answer = match self.orders_to_lose {
                    0 => {
                        self.throttle_shares.push(order.percent);
                        StopAnswer::Confirmed
                    }
                    _ => {
                        self.orders_to_lose -= 1;
                        StopAnswer::NoAnswer
                    }
                };
                self.engine
                    .handle_throttle_answer(&worker, task, run, order.percent, answer, now);
            }
            _ => {}
        }
    }

    fn workers_of(&self, job: u64) -> Vec<&WorkerId> {
        let tasks = self.running.iter();
        let tasks = tasks.filter(|(_, task, _)| task.step.job == JobId(job));
        tasks.map(|(worker, ..)| worker).collect()
    }
}

fn latency_sensitive(count: u16) -> Step {
    Step {
        count,
        size: size(1_000, 512),
        long_running: true,
        target: Some(TARGET),
        ..Step::default()
    }
}

fn best_effort(count: u16) -> Step {
    Step {
        count,
        size: size(4_000, 512),
        is_best_effort: true,
        ..Step::default()
    }
}

/// Guards against best-effort tasks that keep slowing down a latency-sensitive one on the same worker.
///
/// They are throttled in steps while it approaches and exceeds its target, and their share rises again afterwards.
#[test]
fn best_effort_tasks_are_throttled_while_a_latency_sensitive_one_exceeds_its_target() {
    let mut cell = Cell::new(1);
    cell.submit(1, latency_sensitive(1));
    cell.submit(2, best_effort(1));
    assert_eq!((cell.workers_of(1).len(), cell.workers_of(2).len()), (1, 1));
    cell.tail_latency_ms = 50;
    cell.run(Duration::from_secs(3));
    assert_eq!(cell.throttle_shares, []);
    cell.tail_latency_ms = 90;
    cell.run(Duration::from_millis(1_500));
    assert_eq!(cell.throttle_shares.first(), Some(&50));
    cell.tail_latency_ms = 150;
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.throttle_shares.last(), Some(&0));
    cell.tail_latency_ms = 40;
    cell.run(Duration::from_secs(12));
    assert_eq!(cell.throttle_shares.last(), Some(&100));
    let rises = cell.throttle_shares.iter().skip_while(|share| **share > 0);
    assert!(rises.is_sorted());
}

/// Guards against a throttle order that is never sent again if its answer never comes.
#[test]
fn an_unanswered_throttle_order_is_sent_again() {
    let mut cell = Cell::new(1);
    cell.submit(1, latency_sensitive(1));
    cell.submit(2, best_effort(1));
    cell.orders_to_lose = 2;
    cell.tail_latency_ms = 150;
    cell.run(Duration::from_secs(3));
    assert_eq!(cell.orders_to_lose, 0);
    assert_eq!(cell.throttle_shares.last(), Some(&0));
}

/// Guards against needless placement of best-effort and latency-sensitive tasks on the same worker.
#[test]
fn best_effort_and_latency_sensitive_tasks_run_on_different_workers_if_capacity_allows() {
    let mut cell = Cell::new(3);
    cell.submit(1, latency_sensitive(2));
    cell.submit(2, best_effort(2));
    cell.submit(3, latency_sensitive(1));
    let latency_sensitive_workers = cell.workers_of(1);
    let best_effort_workers = cell.workers_of(2);
    assert_eq!(best_effort_workers.len(), 2);
    assert!(
        best_effort_workers
            .iter()
            .all(|worker| !latency_sensitive_workers.contains(worker))
    );
    assert!(
        cell.workers_of(3)
            .iter()
            .all(|worker| !best_effort_workers.contains(worker))
    );
    assert_eq!(cell.workers.len(), 3);
}
