//! Inventories that reach the engine: which runs show the speed of their worker, and what a restart forgets.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Effect,
        Heartbeat,
        LogRecord, //
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
        StartAnswer, //
    },
    id::{
        Epoch,
        Incarnation,
        JobId,
        Run,
        TaskId,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
    record::Accepted,
    speed::{
        Class,
        Progress, //
    },
};
use fulmarpier_state::clock::Timestamp;
use rstest::rstest;

use crate::world::{
    queue,
    size, //
};

const WORKERS: usize = 8;
/// The index of the slow worker.
const SLOW: usize = 3;
const SLOWDOWN: f64 = 4.0;
const TASK_SECONDS: f64 = 1.0;
const TICK: Duration = Duration::from_millis(20);
const RACK: &str = "rack";

/// A run and its progress, in per cent.
struct Task {
    worker: usize,
    id: TaskId,
    run: Run,
    percent: f64,
}

/// A cell of workers that carry out all orders; one of them is slow.
struct Cell {
    engine: Engine,
    now: Timestamp,
    incarnations: [u64; WORKERS],
    serials: [u64; WORKERS],
    tasks: Vec<Task>,
    ended: Vec<(usize, Ended)>,
    heartbeats: Vec<Heartbeat>,
    /// The logged changes of classes.
    logged: Vec<(WorkerId, Class)>,
    jobs: u64,
}

impl Cell {
    fn new() -> Self {
        let now = Timestamp::from_millis(100_000);
        let mut engine = Engine::new(Epoch(1), Bounds::default(), StoredState::default(), now);
        engine.set_evacuation(Evacuation::default(), now, now);
        let mut cell = Self {
            engine,
            now,
            incarnations: [1; WORKERS],
            serials: [0; WORKERS],
            tasks: Vec::new(),
            ended: Vec::new(),
            heartbeats: Vec::new(),
            logged: Vec::new(),
            jobs: 0,
        };
        (0..WORKERS).for_each(|worker| cell.register(worker));
        cell
    }

    fn register(&mut self, worker: usize) {
        let registration = Registration {
            incarnation: Some(Incarnation(self.incarnations[worker])),
            id: format!("w{worker}").into(),
            address: "127.0.0.1:1".parse().unwrap(),
            pool: "pool".into(),
            capacity: size(4_000, 4_096),
            labels: vec![RACK.into()],
            data_centre: None,
            leaving: None,
        };
        self.engine.register(registration, self.now);
    }

    /// Lets another incarnation take the place of a worker.
    fn restart(&mut self, worker: usize) {
        self.tasks.retain(|task| task.worker != worker);
        self.ended.retain(|(at, _)| *at != worker);
        self.incarnations[worker] += 1;
        self.serials[worker] = 0;
        self.register(worker);
    }

    /// Submits jobs of one step for some seconds, two of them each second.
    fn submit(&mut self, step: &Step, seconds: u32) {
        for _ in 0..2 * seconds {
            self.jobs += 1;
            let accepted = Accepted {
                job: JobId(self.jobs),
                queue: queue("batch", 2, false).into(),
                spec: Spec {
                    payload: "text".into(),
                    steps: vec![step.clone()],
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
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.work();
            self.answer_heartbeats();
            for effect in self.engine.advance(self.now) {
                self.handle(effect);
            }
        }
    }

    /// Lets all tasks progress, and ends those that are done.
    fn work(&mut self) {
        for task in &mut self.tasks {
            let percent = 100.0 * TICK.as_secs_f64() / TASK_SECONDS;
            task.percent += match task.worker {
                SLOW => percent / SLOWDOWN,
                _ => percent,
            };
        }
        for task in self.tasks.extract_if(.., |task| task.percent >= 100.0) {
            self.serials[task.worker] += 1;
            let ended = Ended {
                serial: self.serials[task.worker],
                task: task.id,
                run: task.run,
                reason: ExitReason::Done,
                checkpoint: None,
            };
            self.ended.push((task.worker, ended));
        }
    }

    fn answer_heartbeats(&mut self) {
        let now = self.now;
        let ended = &self.ended;
        let is_due = |heartbeat: &mut Heartbeat| {
            let worker = index(&heartbeat.to.worker);
            let new =
                |(at, end): &(usize, Ended)| *at == worker && end.serial > heartbeat.acknowledged;
            heartbeat.sent_at + heartbeat.wait <= now || ended.iter().any(new)
        };
        let due: Vec<Heartbeat> = self.heartbeats.extract_if(.., is_due).collect();
        for heartbeat in due {
            let worker = index(&heartbeat.to.worker);
            let own = self.tasks.iter().filter(|task| task.worker == worker);
            let running = own.map(|task| Running {
                task: task.id,
                run: task.run,
                checkpoint: None,
                load: 0,
                progress: Progress::try_from(task.percent.floor()).ok(),
            });
            let ended = self.ended.iter().filter(|(at, _)| *at == worker);
            let inventory = Inventory {
                incarnation: Some(Incarnation(self.incarnations[worker])),
                clock: now.as_millis(),
                running: running.collect(),
                ended: ended.map(|(_, end)| end.clone()).collect(),
            };
            self.engine.handle_heartbeat_answer(
                &heartbeat.to.worker,
                heartbeat.sent_at,
                HeartbeatAnswer::Inventory(inventory),
                now,
            );
        }
    }

    fn handle(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Heartbeat(heartbeat) => {
                let worker = index(&heartbeat.to.worker);
                let acknowledged = heartbeat.acknowledged;
                self.ended
                    .retain(|(at, end)| *at != worker || end.serial > acknowledged);
                self.heartbeats.push(heartbeat);
            }
            Effect::Record(_) => self.engine.handle_recorded(now),
            Effect::Start(start) => {
                let (task, run) = (start.task, start.run);
                let answer = StartAnswer::Started;
                self.engine
                    .handle_start_answer(&start.to.worker, task, run, answer, now);
                self.tasks.push(Task {
                    worker: index(&start.to.worker),
                    id: task,
                    run,
                    percent: 0.0,
                });
            }
            Effect::Log(LogRecord::Speed {
                worker,
                class,
                speed,
                runs,
            }) => {
                println!(
                    "LOG {now} {class:?} {speed} {runs} {}",
                    self.tasks.iter().filter(|t| t.worker == SLOW).count()
                );
                self.logged.push((worker, class));
            }
            _ => {}
        }
    }
}

fn index(worker: &WorkerId) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

/// Returns a step that fills half of the workers.
fn step() -> Step {
    Step {
        count: 16,
        size: size(1_000, 512),
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

/// Guards against progress that does not reach the estimate, and against a restarted worker that keeps the class of its
/// predecessor.
#[test]
fn a_slow_worker_is_logged_and_counted_until_it_restarts() {
    let mut cell = Cell::new();
    cell.submit(&step(), 12);
    let slow = WorkerId::from(format!("w{SLOW}"));
    assert_eq!(cell.logged, [(slow, Class::Slow)]);
    assert_eq!(cell.engine.counts().workers_by_speed, [1, WORKERS - 1, 0]);
    cell.restart(SLOW);
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.engine.counts().workers_by_speed, [0, WORKERS, 0]);
}

/// Guards against workers that are judged by runs whose pace is not their own.
#[rstest]
#[case::gang(Step { gang: true, ..step() })]
#[case::long_running(Step { long_running: true, ..step() })]
#[case::best_effort(Step { is_best_effort: true, ..step() })]
#[case::away_from_data(Step { affinity: Some("elsewhere".into()), ..step() })]
fn other_runs_do_not_show_the_speed_of_their_worker(#[case] step: Step) {
    let mut cell = Cell::new();
    cell.submit(&step, 12);
    assert_eq!(cell.logged, []);
}

/// Guards against tasks that are not judged in their own rack.
#[test]
fn runs_near_their_data_show_the_speed_of_their_worker() {
    let mut cell = Cell::new();
    let affinity = Some(RACK.into());
    cell.submit(&Step { affinity, ..step() }, 12);
    assert_eq!(cell.logged.len(), 1);
}
