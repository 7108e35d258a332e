//! The cost of a decision: one task ends in a full cell, and what starts instead is decided.

#[expect(dead_code, reason = "the tests use the rest")]
#[path = "../tests/engine/support.rs"]
mod support;

use std::time::{
    Duration,
    Instant, //
};

use criterion::{
    BenchmarkId,
    Criterion,
    criterion_group, //
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        Effect,
        End,
        Engine, //
    },
    id::{
        Attempt,
        TaskId,
        WorkerId, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use support::{
    at,
    batch,
    cell,
    job_id, //
};

const CELLS: [u32; 4] = [50, 300, 1_200, 12_000];
const QUEUES: [u32; 3] = [1_000, 12_000, 100_000];
const CORES: u32 = 16;
const TEAMS: u32 = 270;
/// Decisions for the quantiles of one cell.
const DECISIONS: usize = 5_000;
/// The cell and the queue of the design size, and one of ten times the workers.
const DESIGN: (u32, u32) = (1_200, 12_000);
const LARGER: (u32, u32) = (12_000, 12_000);
/// The median of the larger cell may be this many times that of the design size.
const GROWTH: f64 = 2.0;

/// A full cell with jobs waiting.
struct Full {
    engine: Engine,
    rng: StdRng,
    now: Timestamp,
    next: u32,
    running: Vec<(TaskId, Attempt, WorkerId)>,
}

impl Full {
    fn new(workers: u32, waiting: u32) -> Self {
        let mut full = Self {
            engine: cell(workers, CORES),
            rng: StdRng::seed_from_u64(7),
            now: at(1),
            next: 0,
            running: Vec::new(),
        };
        let filling = workers * CORES / 2;
        full.submit(filling + waiting);
        full.decide();
        let missing = waiting.saturating_sub(full.engine.digest().waiting_jobs);
        full.submit(missing);
        full.decide();
        full
    }

    fn submit(&mut self, count: u32) {
        for _ in 0..count {
            // Most tasks are small, few are large.
            let uniform: f64 = self.rng.random_range(0.001..1.0);
            let size = [1, 1, 2, 2, 4, 8][self.rng.random_range(0..6)];
            let mut spec = batch(1, size);
            let team = self.rng.random_range(0..TEAMS);
            spec.team = format!("team-{team}").parse().expect("a valid name");
            spec.runtime = Some(Duration::from_secs_f64(10.0 * uniform.powf(-0.7)));
            self.next += 1;
            self.engine.submit(job_id(self.next), spec, self.now);
        }
    }

    /// Ends one task and decides; returns the time per start, or of the call without one.
    fn step(&mut self) -> Duration {
        let pick = self.rng.random_range(0..self.running.len());
        let (task, attempt, worker) = self.running.swap_remove(pick);
        self.now = self.now + Duration::from_millis(5);
        let age = Duration::from_secs(10);
        let clock = Instant::now();
        self.engine
            .ended(task, attempt, worker, End::Succeeded, age, self.now);
        let effects = self.engine.decide(self.now, usize::MAX);
        let took = clock.elapsed();
        let started = self.note(effects);
        self.submit(started);
        took / started.max(1)
    }

    fn decide(&mut self) {
        let effects = self.engine.decide(self.now, usize::MAX);
        self.note(effects);
    }

    fn note(&mut self, effects: Vec<Effect>) -> u32 {
        let mut count = 0;
        for effect in effects {
            if let Effect::Start {
                task,
                attempt,
                worker,
                ..
            } = effect
            {
                self.engine.started(task, attempt, worker, self.now);
                self.running.push((task, attempt, worker));
                count += 1;
            }
        }
        count
    }
}

/// The median and the 99th percentile of one decision.
fn quantiles(workers: u32, waiting: u32) -> (Duration, Duration) {
    let mut full = Full::new(workers, waiting);
    let mut times: Vec<Duration> = (0..DECISIONS).map(|_| full.step()).collect();
    times.sort_unstable();
    let digest = full.engine.digest();
    let free = 100 * digest.free.cpu / digest.capacity.cpu;
    let jobs = digest.waiting_jobs;
    let reserved = full.engine.counters().reservations;
    let (p50, p99) = (times[DECISIONS / 2], times[DECISIONS * 99 / 100]);
    println!(
        "{workers} workers, {waiting} waiting: p50 {p50:?} p99 {p99:?} \
         ({free} % free, {jobs} jobs wait, {reserved} reservations made)"
    );
    (p50, p99)
}

/// Prints the quantiles of all cells, and fails where the median grows too fast with the cell.
fn report() {
    for workers in CELLS {
        for waiting in QUEUES {
            quantiles(workers, waiting);
        }
    }
    let design = quantiles(DESIGN.0, DESIGN.1).0.as_secs_f64();
    let larger = quantiles(LARGER.0, LARGER.1).0.as_secs_f64();
    let growth = larger / design;
    println!("growth of the median for ten times the workers: {growth:.2}, at most {GROWTH}");
    assert!(growth <= GROWTH, "a decision grows too fast with the cell");
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for workers in CELLS {
        let mut full = Full::new(workers, DESIGN.1);
        let id = BenchmarkId::new("12000_waiting", workers);
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|count| (0..count).map(|_| full.step()).sum());
        });
    }
    group.finish();
}

criterion_group!(benches, decide);

fn main() {
    // Under `cargo test` nothing is timed.
    if std::env::args().any(|arg| arg == "--bench") {
        report();
    }
    benches();
    Criterion::default().configure_from_args().final_summary();
}
