//! What the engine's decisions cost on fleets of several sizes.
//!
//! Jobs of three unlike queues come in proportion to the fleet and take so many hundredths of it; workers and
//! the advice service answer at once. Prints the processor time of the engine for each second of the
//! cell's time, and the longest that one event took:
//! `cargo run --release -p fulmarpier-cell --example fleet [WORKERS ...] [load=PERCENT ...]`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use fulmarpier_cell::{
    bounds::Bounds,
    config::{
        AdviceTerms,
        Config,
        Queue, //
    },
    effect::Effect,
    engine::{
        Engine,
        Inheritance, //
    },
    evacuation::Evacuation,
    event::{
        Advised,
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
        NodeName,
        PoolName,
        QueueName,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
    record::Accepted,
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

/// The fleets that are measured unless others are named.
const FLEETS: [u32; 5] = [48, 350, 540, 1_200, 3_000];
/// The loads that are measured unless others are named, in hundredths of what the fleet has.
const LOADS: [u32; 1] = [80];
/// What the rates of the kinds of jobs come to, in hundredths of what the fleet has.
const RATED: f64 = 80.0;
/// For how long each runs.
const SPAN: Duration = Duration::from_secs(20);
/// How often the workers report themselves.
const REPORTS: Duration = Duration::from_millis(1_500);
/// How often the engine is told that time has passed.
const TICK: Duration = Duration::from_millis(5);
/// How long a record takes to be kept.
const RECORD: Duration = Duration::from_millis(8);
/// What a worker has, in thousandths of a core and mebibytes.
const WORKER: (u32, u64) = (16_000, 32_768);
/// How many nodes ask for advice.
const HANDS: u32 = 36;

/// A kind of job.
struct Kind {
    queue: &'static str,
    priority: u8,
    /// How many come in a second for each hundred workers.
    rate: f64,
    width: (u16, u16),
    cpu: (u32, u32),
    runs: (u64, u64),
    gang: bool,
    advice: (u64, f64),
}

const KINDS: [Kind; 3] = [
    Kind {
        queue: "gang",
        priority: 1,
        rate: 1.6,
        width: (2, 40),
        cpu: (1_500, 7_500),
        runs: (1_000, 7_000),
        gang: true,
        advice: (360, 0.25),
    },
    Kind {
        queue: "batch",
        priority: 2,
        rate: 3.4,
        width: (2, 50),
        cpu: (500, 3_000),
        runs: (500, 4_000),
        gang: false,
        advice: (46, 0.45),
    },
    Kind {
        queue: "urgent",
        priority: 0,
        rate: 30.0,
        width: (1, 6),
        cpu: (800, 4_200),
        runs: (200, 1_400),
        gang: false,
        advice: (8, 0.7),
    },
];

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let fleets = arguments.iter().filter_map(|text| text.parse().ok());
    let loads = arguments
        .iter()
        .filter_map(|text| text.strip_prefix("load="));
    let loads = loads.filter_map(|text| text.parse().ok());
    let fleets = named_or(fleets.collect(), &FLEETS);
    let loads = named_or(loads.collect(), &LOADS);
    println!("load  workers  starts/s  ms/s  us/start  worst ms  waiting");
    for load in loads {
        for fleet in &fleets {
            run(*fleet, load);
        }
    }
}

/// Returns what was named, or the usual ones.
fn named_or(named: Vec<u32>, usual: &[u32]) -> Vec<u32> {
    match named.is_empty() {
        true => usual.to_vec(),
        false => named,
    }
}

/// What happens later.
enum Later {
    /// A run ends on a worker.
    End(WorkerId, TaskId, Run),
    /// The advice service answers.
    Advised(NodeName, StepId, Vec<WorkerId>),
    /// A record is kept.
    Recorded,
}

/// A worker that does what it is told.
#[derive(Default)]
struct Host {
    running: BTreeMap<TaskId, Run>,
    ended: Vec<Ended>,
    serial: u64,
    /// When the call that waits for an end was made.
    waiting: Option<Timestamp>,
}

impl Host {
    fn end(&mut self, task: TaskId, run: Run, how: How) {
        if self.running.get(&task) != Some(&run) {
            return;
        }
        self.running.remove(&task);
        self.serial += 1;
        self.ended.push(Ended {
            serial: self.serial,
            task,
            run,
            how,
            checkpoint: None,
        });
    }

    fn inventory(&self, now: Timestamp) -> HoldAnswer {
        let running = self.running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            load: 0,
        });
        HoldAnswer::Listed(Inventory {
            incarnation: None,
            clock: u64::try_from(now.since(Timestamp::ZERO).as_millis()).unwrap_or(0),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}

/// The cell around the engine.
struct Cell {
    engine: Engine,
    now: Timestamp,
    hosts: HashMap<WorkerId, Host>,
    later: BTreeMap<(Timestamp, u64), Later>,
    serial: u64,
    starts: u64,
    spent: Duration,
    /// The longest that one event took.
    worst: Duration,
    rng: SmallRng,
}

impl Cell {
    fn new(workers: u32) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let mut cell = Self {
            engine: Engine::new(Epoch(1), Bounds::default(), Inheritance::default(), now),
            now,
            hosts: HashMap::default(),
            later: BTreeMap::new(),
            serial: 0,
            starts: 0,
            spent: Duration::ZERO,
            worst: Duration::ZERO,
            rng: SmallRng::seed_from_u64(1),
        };
        cell.engine.configure(config());
        cell.engine.evacuate(Evacuation::default(), now, now);
        let hands: Vec<NodeName> = (0..HANDS)
            .map(|n| NodeName::from(format!("n{n}")))
            .collect();
        cell.engine.set_hands(&hands, now);
        for nth in 0..workers {
            let id = WorkerId::from(format!("w{nth}"));
            cell.engine.register(registration(&id, nth), now);
            cell.hosts.insert(id, Host::default());
        }
        cell
    }

    /// Has all workers report themselves; the time that takes is not counted.
    fn report(&mut self, workers: u32) {
        for nth in 0..workers {
            let id = WorkerId::from(format!("w{nth}"));
            self.engine.register(registration(&id, nth), self.now);
        }
    }

    /// Does something with the engine and counts the time that it takes.
    fn spend(&mut self, work: impl FnOnce(&mut Engine, Timestamp)) {
        let now = self.now;
        let began = Instant::now();
        work(&mut self.engine, now);
        self.spent += began.elapsed();
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let began = Instant::now();
        let effects = self.engine.advance(self.now);
        let took = began.elapsed();
        self.spent += took;
        self.worst = self.worst.max(took);
        for effect in effects {
            self.take_effect(effect);
        }
    }

    fn schedule(&mut self, span: Duration, what: Later) {
        self.serial += 1;
        self.later.insert((self.now + span, self.serial), what);
    }

    fn take_effect(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Start(order) => {
                let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
                let (shortest, longest) = kind_of(task.step.job).runs;
                let span = Duration::from_millis(self.rng.random_range(shortest..longest));
                self.starts += 1;
                if let Some(host) = self.hosts.get_mut(&worker) {
                    host.running.insert(task, run);
                }
                self.schedule(span, Later::End(worker.clone(), task, run));
                self.spend(|engine, now| {
                    engine.started(&worker, task, run, StartAnswer::Started, now);
                });
            }
            Effect::Stop(order) => {
                let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
                self.spend(|engine, now| {
                    engine.stopped(&worker, task, run, StopAnswer::Confirmed, now);
                });
                self.end(&worker, task, run, How::Stopped);
            }
            Effect::Hold(order) => {
                let worker = order.to.worker.clone();
                let Some(host) = self.hosts.get_mut(&worker) else {
                    return;
                };
                host.ended.retain(|ended| ended.serial > order.acknowledged);
                if host.ended.is_empty() && !order.wait.is_zero() {
                    host.waiting = Some(order.asked);
                    return;
                }
                let answer = host.inventory(now);
                self.spend(|engine, now| engine.held(&worker, order.asked, answer, now));
            }
            Effect::Advise {
                node,
                step,
                workers,
            } => {
                let (base, _) = kind_of(step.job).advice;
                self.schedule(
                    Duration::from_millis(base),
                    Later::Advised(node, step, workers),
                );
            }
            Effect::Record(_) => self.schedule(RECORD, Later::Recorded),
            // Nothing fills here.
            Effect::Pace(_) | Effect::Forget(_) | Effect::Note(_) | Effect::Deposed => {}
        }
    }

    fn end(&mut self, worker: &WorkerId, task: TaskId, run: Run, how: How) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(worker) else {
            return;
        };
        host.end(task, run, how);
        let Some(asked) = host.waiting.take() else {
            return;
        };
        let answer = host.inventory(now);
        self.spend(|engine, now| engine.held(worker, asked, answer, now));
    }

    fn take(&mut self, what: Later) {
        match what {
            Later::End(worker, task, run) => self.end(&worker, task, run, How::Done),
            Later::Recorded => self.spend(|engine, now| engine.recorded(now)),
            Later::Advised(node, step, workers) => {
                let share = kind_of(step.job).advice.1;
                let rng = &mut self.rng;
                let allowed = workers.into_iter().filter(|_| rng.random_bool(share));
                let allowed: Vec<Advised> = allowed
                    .map(|worker| Advised {
                        worker,
                        ticket: "ticket".into(),
                    })
                    .collect();
                self.spend(|engine, now| engine.advised(&node, step, Some(allowed), now));
            }
        }
    }

    fn submit(&mut self, kind: usize) {
        let Kind {
            width,
            cpu,
            runs,
            gang,
            ..
        } = KINDS[kind];
        self.serial += 1;
        let cpu = self.rng.random_range(cpu.0..cpu.1);
        let step = Step {
            count: self.rng.random_range(width.0..width.1),
            size: Resources::new(Millicores(cpu), Bytes::from_mib(u64::from(cpu)), 0),
            estimate: Duration::from_millis((runs.0 + runs.1) / 2),
            gang,
            checkpointing: !gang,
            ..Step::default()
        };
        let accepted = Accepted {
            // Which kind a job is stands in its id.
            job: JobId(self.serial * 3 + kind as u64),
            queue: Arc::new(queue(&KINDS[kind])),
            spec: Arc::new(Spec {
                text: "text".into(),
                steps: vec![step],
                schedule: None,
            }),
            workspace: None,
            received: self.now,
            partition: 0,
        };
        self.spend(|engine, now| {
            engine.submit(accepted, now);
        });
    }
}

fn kind_of(job: JobId) -> &'static Kind {
    &KINDS[usize::try_from(job.0 % 3).unwrap_or(0)]
}

fn queue(kind: &Kind) -> Queue {
    Queue {
        name: QueueName::from(kind.queue),
        pool: PoolName::from("pool"),
        priority: kind.priority,
        tries: 3,
        stretch: 2.2,
        objective: Duration::from_secs(1),
        advice: Some(AdviceTerms {
            base: Duration::from_millis(kind.advice.0),
            each: Duration::ZERO,
            validity: Duration::from_millis(1_500),
        }),
    }
}

fn config() -> Config {
    let queues = KINDS.iter().map(queue);
    Config {
        version: 1,
        queues: queues.map(|q| (q.name.clone(), Arc::new(q))).collect(),
        ..Config::default()
    }
}

fn registration(id: &WorkerId, nth: u32) -> Registration {
    Registration {
        incarnation: None,
        id: id.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        pool: PoolName::from("pool"),
        capacity: Resources::new(Millicores(WORKER.0), Bytes::from_mib(WORKER.1), 0),
        labels: vec!["a".into(), format!("r{}", nth / 8).into()],
        data_centre: None,
        leaving: None,
    }
}

fn run(workers: u32, load: u32) {
    let mut cell = Cell::new(workers);
    let end = cell.now + SPAN;
    let tick = TICK.as_secs_f64();
    // How many jobs of each kind are to come, with a fraction of the next.
    let mut owed = [0.0; KINDS.len()];
    let mut reports = cell.now;
    while cell.now < end {
        if reports <= cell.now {
            reports = cell.now + REPORTS;
            cell.report(workers);
        }
        let next = cell.now + TICK;
        while let Some(entry) = cell.later.first_entry()
            && entry.key().0 <= next
        {
            let (at, _) = *entry.key();
            let what = entry.remove();
            cell.now = cell.now.max(at);
            cell.take(what);
        }
        cell.now = next;
        for (kind, owed) in owed.iter_mut().enumerate() {
            let rate = KINDS[kind].rate * f64::from(load) / RATED;
            *owed += rate * f64::from(workers) / 100.0 * tick;
            while *owed >= 1.0 {
                *owed -= 1.0;
                cell.submit(kind);
            }
        }
        cell.carry_out();
    }
    let seconds = SPAN.as_secs_f64();
    let millis = cell.spent.as_secs_f64() * 1_000.0;
    println!(
        "{load:>4} {workers:>8} {:>9.0} {:>6.1} {:>9.1} {:>9.1} {:>8}",
        cell.starts as f64 / seconds,
        millis / seconds,
        millis * 1_000.0 / cell.starts as f64,
        cell.worst.as_secs_f64() * 1_000.0,
        cell.engine.counts().open_steps,
    );
}
