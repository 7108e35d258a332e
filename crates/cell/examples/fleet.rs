//! Measures the cost of the engine's decisions for fleets of several sizes.
//!
//! Jobs of three different queues arrive at rates proportional to the fleet and use a given percentage of it; the
//! workers answer at once, and the advice service after a fixed time. Prints the processor time that the engine uses
//! per second of virtual time, and the longest time that one event took:
//!
//! `cargo run --release -p fulmarpier-cell --example fleet [WORKERS ...] [load=PERCENT ...] [mixed] [large]`.
//!
//! With `mixed` the engine is told that a third each of the workers is slow, typical and fast, which does not change
//! how long their tasks take. With `large` the workers have 64 cores, some urgent jobs are gangs, and some batch jobs
//! spread their tasks. The last column is a digest of all orders: it is the same for two versions of the engine that
//! decide the same.

use std::{
    collections::BTreeMap,
    hash::{
        Hash,
        Hasher, //
    },
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
        AdviceTiming,
        Config,
        Queue, //
    },
    effect::Effect,
    engine::{
        Engine,
        StoredState, //
    },
    evacuation::Evacuation,
    event::{
        Ended,
        ExitReason,
        Grant,
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
    speed::Class,
};
use fulmarpier_state::{
    alias::{
        FxHasher,
        HashMap, //
    },
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

/// The fleet sizes that are measured by default.
const DEFAULT_FLEET_SIZES: [u32; 5] = [48, 350, 540, 1_200, 3_000];
/// The loads that are measured by default, in per cent of the fleet's capacity.
const DEFAULT_LOADS: [u32; 1] = [80];
/// The load that the rates of the job kinds add up to, in per cent of the fleet's capacity.
const NOMINAL_LOAD: f64 = 80.0;
/// The duration of each measurement, in virtual time.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(20);
/// The interval between the registrations of a worker.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(1_500);
/// The interval between calls that let the engine act on the passing of time.
const TICK: Duration = Duration::from_millis(5);
/// The time that it takes to store a record.
const RECORD_LATENCY: Duration = Duration::from_millis(8);

/// A fleet and the jobs that are submitted to it.
struct Profile {
    /// The capacity of a worker, in thousandths of a core and mebibytes.
    worker_capacity: (u32, u64),
    /// The number of nodes that call the advice service.
    nodes: u32,
    kinds: [Kind; 3],
}

/// A kind of job.
struct Kind {
    queue: &'static str,
    priority: u8,
    /// The number of jobs per second for each hundred workers.
    rate: f64,
    /// The range of the number of tasks per job.
    task_count: (u16, u16),
    /// The range of the size of a task, in thousandths of a core; it takes as many mebibytes of memory.
    cpu: (u32, u32),
    /// The range of the duration of a task, in milliseconds.
    duration_ms: (u64, u64),
    /// The share of jobs that are gangs.
    gangs: f64,
    /// The share of jobs that allow only one of their tasks on a worker.
    spread: f64,
    /// The duration of a call for advice in milliseconds, and the share of workers that the answer allows.
    advice: (u64, f64),
}

/// Workers of 16 cores.
static SMALL: Profile = Profile {
    worker_capacity: (16_000, 32_768),
    nodes: 36,
    kinds: [
        Kind {
            queue: "gang",
            priority: 1,
            rate: 1.6,
            task_count: (2, 40),
            cpu: (1_500, 7_500),
            duration_ms: (1_000, 7_000),
            gangs: 1.0,
            spread: 0.0,
            advice: (360, 0.25),
        },
        Kind {
            queue: "batch",
            priority: 2,
            rate: 3.4,
            task_count: (2, 50),
            cpu: (500, 3_000),
            duration_ms: (500, 4_000),
            gangs: 0.0,
            spread: 0.0,
            advice: (46, 0.45),
        },
        Kind {
            queue: "urgent",
            priority: 0,
            rate: 30.0,
            task_count: (1, 6),
            cpu: (800, 4_200),
            duration_ms: (200, 1_400),
            gangs: 0.0,
            spread: 0.0,
            advice: (8, 0.7),
        },
    ],
};

/// Workers of 64 cores, with wide jobs.
static LARGE: Profile = Profile {
    worker_capacity: (64_000, 262_144),
    nodes: 45,
    kinds: [
        Kind {
            queue: "gang",
            priority: 1,
            rate: 6.0,
            task_count: (10, 30),
            cpu: (1_500, 7_500),
            duration_ms: (1_000, 7_000),
            gangs: 1.0,
            spread: 0.0,
            advice: (360, 0.25),
        },
        Kind {
            queue: "batch",
            priority: 2,
            rate: 24.0,
            task_count: (10, 40),
            cpu: (500, 3_000),
            duration_ms: (500, 4_000),
            gangs: 0.0,
            spread: 0.3,
            advice: (46, 0.45),
        },
        Kind {
            queue: "urgent",
            priority: 0,
            rate: 120.0,
            task_count: (1, 6),
            cpu: (800, 4_200),
            duration_ms: (200, 1_400),
            gangs: 0.3,
            spread: 0.0,
            advice: (8, 0.7),
        },
    ],
};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let fleet_sizes = arguments.iter().filter_map(|text| text.parse().ok());
    let loads = arguments
        .iter()
        .filter_map(|text| text.strip_prefix("load="));
    let loads = loads.filter_map(|text| text.parse().ok());
    let fleet_sizes = values_or_default(fleet_sizes.collect(), &DEFAULT_FLEET_SIZES);
    let loads = values_or_default(loads.collect(), &DEFAULT_LOADS);
    let is_mixed = arguments.iter().any(|text| text == "mixed");
    let is_large = arguments.iter().any(|text| text == "large");
    let profile = if is_large { &LARGE } else { &SMALL };
    println!(
        "load  workers  starts/s    ms/s  us/start  worst ms  waiting  passes/s  us/pass  ns/check  digest"
    );
    for load in loads {
        for fleet_size in &fleet_sizes {
            measure(profile, *fleet_size, load, is_mixed);
        }
    }
}

/// Returns the given values, or the default ones if there are none.
fn values_or_default(values: Vec<u32>, default: &[u32]) -> Vec<u32> {
    match values.is_empty() {
        true => default.to_vec(),
        false => values,
    }
}

/// An event that is scheduled for a later time.
enum Event {
    /// A run ends on a worker.
    End(WorkerId, TaskId, Run),
    /// The advice service answers.
    Advised(NodeName, StepId, Vec<WorkerId>),
    /// A record is stored.
    Recorded,
}

/// A simulated worker that carries out all orders.
#[derive(Default)]
struct SimulatedWorker {
    running: BTreeMap<TaskId, Run>,
    ended: Vec<Ended>,
    serial: u64,
    /// When the pending call that waits for an end was made.
    waiting: Option<Timestamp>,
}

impl SimulatedWorker {
    fn end(&mut self, task: TaskId, run: Run, reason: ExitReason) {
        if self.running.get(&task) != Some(&run) {
            return;
        }
        self.running.remove(&task);
        self.serial += 1;
        self.ended.push(Ended {
            serial: self.serial,
            task,
            run,
            reason,
            checkpoint: None,
        });
    }

    fn inventory(&self, now: Timestamp) -> HeartbeatAnswer {
        let running = self.running.iter().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            load: 0,
            progress: None,
        });
        HeartbeatAnswer::Inventory(Inventory {
            omits_ends: false,
            incarnation: None,
            clock: u64::try_from(now.since(Timestamp::ZERO).as_millis()).unwrap_or(0),
            running: running.collect(),
            ended: self.ended.clone(),
        })
    }
}

/// The engine and a simulation of its surroundings.
struct Simulation {
    profile: &'static Profile,
    engine: Engine,
    now: Timestamp,
    simulated_workers: HashMap<WorkerId, SimulatedWorker>,
    events: BTreeMap<(Timestamp, u64), Event>,
    serial: u64,
    starts: u64,
    engine_time: Duration,
    /// The longest time that one event took.
    longest_event: Duration,
    passes: Passes,
    /// A digest of all orders.
    digest: FxHasher,
    rng: SmallRng,
}

/// The cost of the scheduling passes.
#[derive(Default)]
struct Passes {
    count: u64,
    checks: usize,
    time: Duration,
}

impl Simulation {
    fn new(profile: &'static Profile, workers: u32) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let mut simulation = Self {
            profile,
            engine: Engine::new(Epoch(1), Bounds::default(), StoredState::default(), now),
            now,
            simulated_workers: HashMap::default(),
            events: BTreeMap::new(),
            serial: 0,
            starts: 0,
            engine_time: Duration::ZERO,
            longest_event: Duration::ZERO,
            passes: Passes::default(),
            digest: FxHasher::default(),
            rng: SmallRng::seed_from_u64(1),
        };
        simulation.engine.configure(config(profile));
        simulation
            .engine
            .set_evacuation(Evacuation::default(), now, now);
        let nodes: Vec<NodeName> = (0..profile.nodes)
            .map(|n| NodeName::from(format!("n{n}")))
            .collect();
        simulation.engine.set_advice_nodes(&nodes, now);
        for nth in 0..workers {
            let id = WorkerId::from(format!("w{nth}"));
            simulation
                .engine
                .register(registration(profile, &id, nth), now);
            simulation
                .simulated_workers
                .insert(id, SimulatedWorker::default());
        }
        simulation
    }

    /// Tells the engine that a third each of the workers is slow, typical and fast.
    fn set_speed_classes(&mut self, workers: u32) {
        for (nth, class) in (0..workers).zip(Class::ALL.into_iter().cycle()) {
            let id = WorkerId::from(format!("w{nth}"));
            self.engine.set_speed_class(&id, class);
        }
    }

    /// Registers all workers again; the time that this takes is not counted.
    fn register_workers(&mut self, workers: u32) {
        for nth in 0..workers {
            let id = WorkerId::from(format!("w{nth}"));
            self.engine
                .register(registration(self.profile, &id, nth), self.now);
        }
    }

    /// Calls the engine and counts the time that it takes.
    fn call_engine(&mut self, call: impl FnOnce(&mut Engine, Timestamp)) {
        let now = self.now;
        let began = Instant::now();
        call(&mut self.engine, now);
        self.engine_time += began.elapsed();
        self.advance();
    }

    fn advance(&mut self) {
        let is_pass = self.engine.is_pass_due(self.now);
        let began = Instant::now();
        let effects = self.engine.advance(self.now);
        let took = began.elapsed();
        if is_pass {
            self.passes.count += 1;
            self.passes.checks += self.engine.pass_cost();
            self.passes.time += took;
        }
        self.engine_time += took;
        self.longest_event = self.longest_event.max(took);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn apply_effect(&mut self, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Start(order) => {
                let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
                (&worker, task, run, now).hash(&mut self.digest);
                let (shortest, longest) = self.kind_of(task.step.job).duration_ms;
                let delay = Duration::from_millis(self.rng.random_range(shortest..longest));
                self.starts += 1;
                if let Some(simulated_worker) = self.simulated_workers.get_mut(&worker) {
                    simulated_worker.running.insert(task, run);
                }
                self.schedule(delay, Event::End(worker.clone(), task, run));
                self.call_engine(|engine, now| {
                    engine.handle_start_answer(&worker, task, run, StartAnswer::Started, now);
                });
            }
            Effect::Stop(order) => {
                let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
                (&worker, task, run, now).hash(&mut self.digest);
                self.call_engine(|engine, now| {
                    engine.handle_stop_answer(&worker, task, run, StopAnswer::Confirmed, now);
                });
                self.end(&worker, task, run, ExitReason::Stopped);
            }
            Effect::Heartbeat(order) => {
                let worker = order.to.worker.clone();
                let Some(simulated_worker) = self.simulated_workers.get_mut(&worker) else {
                    return;
                };
                simulated_worker
                    .ended
                    .retain(|ended| ended.serial > order.acknowledged);
                if simulated_worker.ended.is_empty() && !order.wait.is_zero() {
                    simulated_worker.waiting = Some(order.sent_at);
                    return;
                }
                let answer = simulated_worker.inventory(now);
                self.call_engine(|engine, now| {
                    engine.handle_heartbeat_answer(&worker, order.sent_at, answer, now)
                });
            }
            Effect::Advise {
                node,
                step,
                workers,
            } => {
                (&node, step, &workers, now).hash(&mut self.digest);
                let (base, _) = self.kind_of(step.job).advice;
                self.schedule(
                    Duration::from_millis(base),
                    Event::Advised(node, step, workers),
                );
            }
            Effect::Record(_) => self.schedule(RECORD_LATENCY, Event::Recorded),
            // No task is best-effort here.
            Effect::Throttle(_) | Effect::Remove(_) | Effect::Log(_) | Effect::OwnershipLost(_) => {
            }
        }
    }

    fn end(&mut self, worker: &WorkerId, task: TaskId, run: Run, reason: ExitReason) {
        let now = self.now;
        let Some(simulated_worker) = self.simulated_workers.get_mut(worker) else {
            return;
        };
        simulated_worker.end(task, run, reason);
        let Some(sent_at) = simulated_worker.waiting.take() else {
            return;
        };
        let answer = simulated_worker.inventory(now);
        self.call_engine(|engine, now| {
            engine.handle_heartbeat_answer(worker, sent_at, answer, now)
        });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::End(worker, task, run) => self.end(&worker, task, run, ExitReason::Done),
            Event::Recorded => self.call_engine(|engine, now| engine.handle_recorded(now)),
            Event::Advised(node, step, workers) => {
                let share = self.kind_of(step.job).advice.1;
                let rng = &mut self.rng;
                let allowed = workers.into_iter().filter(|_| rng.random_bool(share));
                let allowed: Vec<Grant> = allowed
                    .map(|worker| Grant {
                        worker,
                        ticket: "ticket".into(),
                    })
                    .collect();
                self.call_engine(|engine, now| {
                    engine.handle_advice(&node, step, Some(allowed), now)
                });
            }
        }
    }

    fn submit(&mut self, kind: usize) {
        let Kind {
            task_count,
            cpu,
            duration_ms,
            gangs,
            spread,
            ..
        } = self.profile.kinds[kind];
        self.serial += 1;
        let cpu = self.rng.random_range(cpu.0..cpu.1);
        let gang = self.rng.random_bool(gangs);
        let step = Step {
            count: self.rng.random_range(task_count.0..task_count.1),
            size: Resources::new(Millicores(cpu), Bytes::from_mib(u64::from(cpu)), 0),
            estimate: Duration::from_millis((duration_ms.0 + duration_ms.1) / 2),
            gang,
            anti_affinity: self.rng.random_bool(spread).then_some(1),
            checkpointing: !gang,
            ..Step::default()
        };
        let accepted = Accepted {
            // The id of a job gives its kind.
            job: JobId(self.serial * 3 + kind as u64),
            queue: Arc::new(queue(&self.profile.kinds[kind])),
            spec: Arc::new(Spec {
                payload: "text".into(),
                steps: vec![step],
                schedule: None,
            }),
            workspace: None,
            received: self.now,
            partition: 0,
        };
        self.call_engine(|engine, now| {
            engine.submit(accepted, now);
        });
    }

    fn kind_of(&self, job: JobId) -> &'static Kind {
        &self.profile.kinds[usize::try_from(job.0 % 3).unwrap_or(0)]
    }
}

fn queue(kind: &Kind) -> Queue {
    Queue {
        name: QueueName::from(kind.queue),
        pool: PoolName::from("pool"),
        priority: kind.priority,
        max_attempts: 3,
        stretch: 2.2,
        objective_offset: Duration::from_secs(1),
        advice: Some(AdviceTiming {
            call_overhead: Duration::from_millis(kind.advice.0),
            time_per_worker: Duration::ZERO,
            ticket_validity: Duration::from_millis(1_500),
        }),
    }
}

fn config(profile: &Profile) -> Config {
    let queues = profile.kinds.iter().map(queue);
    Config {
        version: 1,
        queues: queues.map(|q| (q.name.clone(), Arc::new(q))).collect(),
        ..Config::default()
    }
}

fn registration(profile: &Profile, id: &WorkerId, nth: u32) -> Registration {
    Registration {
        incarnation: None,
        id: id.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        pool: PoolName::from("pool"),
        capacity: Resources::new(
            Millicores(profile.worker_capacity.0),
            Bytes::from_mib(profile.worker_capacity.1),
            0,
        ),
        labels: vec!["a".into(), format!("r{}", nth / 8).into()],
        data_centre: None,
        leaving: None,
    }
}

fn measure(profile: &'static Profile, workers: u32, load: u32, is_mixed: bool) {
    let mut simulation = Simulation::new(profile, workers);
    if is_mixed {
        simulation.set_speed_classes(workers);
    }
    let end = simulation.now + MEASUREMENT_DURATION;
    let tick = TICK.as_secs_f64();
    // The number of jobs of each kind that are due, including a fraction of the next one.
    let mut due = [0.0; 3];
    let mut next_registration = simulation.now;
    while simulation.now < end {
        if next_registration <= simulation.now {
            next_registration = simulation.now + REGISTRATION_INTERVAL;
            simulation.register_workers(workers);
        }
        let next = simulation.now + TICK;
        while let Some(entry) = simulation.events.first_entry()
            && entry.key().0 <= next
        {
            let (at, _) = *entry.key();
            let event = entry.remove();
            simulation.now = simulation.now.max(at);
            simulation.handle(event);
        }
        simulation.now = next;
        for (kind, due) in due.iter_mut().enumerate() {
            let rate = profile.kinds[kind].rate * f64::from(load) / NOMINAL_LOAD;
            *due += rate * f64::from(workers) / 100.0 * tick;
            while *due >= 1.0 {
                *due -= 1.0;
                simulation.submit(kind);
            }
        }
        simulation.advance();
    }
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let millis = simulation.engine_time.as_secs_f64() * 1_000.0;
    let passes = &simulation.passes;
    println!(
        "{load:>4} {workers:>8} {:>9.0} {:>7.1} {:>9.1} {:>9.1} {:>8} {:>9.0} {:>8.0} {:>9.0}  {:016x}",
        simulation.starts as f64 / seconds,
        millis / seconds,
        millis * 1_000.0 / simulation.starts as f64,
        simulation.longest_event.as_secs_f64() * 1_000.0,
        simulation.engine.counts().open_steps,
        passes.count as f64 / seconds,
        passes.time.as_secs_f64() * 1_000_000.0 / passes.count as f64,
        passes.time.as_secs_f64() * 1_000_000_000.0 / passes.checks as f64,
        simulation.digest.finish(),
    );
}
