//! Random histories of one owner: jobs and cancellations are recorded without notices to the owner, while the
//! store is slow, loses answers or blocks reads of single partitions.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        QueueName, //
    }, //
};
use fulmarpier_node::{
    Node,
    frontend::Refusal,
    platform::Topic, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::{
    runtime::Builder,
    time::{
        Instant,
        sleep, //
    },
};

use crate::{
    platform::{
        Fake,
        Mode, //
    },
    support::{
        SECOND,
        acceptance,
        job,
        start_node,
        step, //
    },
};

/// How long the store may misbehave in a history.
const FAULT_PERIOD: Duration = Duration::from_secs(15);
/// How long the store is healthy after that, before the jobs are checked.
const RECOVERY_PERIOD: Duration = Duration::from_secs(15);
/// An order to start that was sent before a cancellation was answered arrives within this time.
const ORDER_TRANSIT_TIME: Duration = Duration::from_millis(50);
/// A recorded cancellation takes effect within this time, even if no node notifies the owner.
const CANCELLATION_DELAY: Duration = Duration::from_secs(3);

/// How many histories are run by default; `HISTORIES=1000` in the environment runs more.
const DEFAULT_HISTORIES: u64 = 25;

struct Simulation {
    rng: SmallRng,
    platform: Fake,
    node: Node<Fake>,
    last_job: u64,
    /// Jobs that are recorded in the store.
    jobs: BTreeSet<u64>,
    /// When the cancellation of each job has to be in effect.
    cancellation_deadlines: BTreeMap<u64, Instant>,
    /// Jobs whose recorded cancellation says that the job was known. They may be shown although they have no record.
    recorded_cancellations: BTreeSet<u64>,
    /// Jobs with a cancellation of which its caller was told that it may or may not be stored.
    uncertain_cancellations: BTreeSet<u64>,
    /// Before this time reads of a partition are not blocked anew: they are blocked already, or they have to succeed
    /// because a cancellation in the partition is due.
    no_block_before: BTreeMap<u16, Instant>,
    violations: Vec<String>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = Fake::new();
        if rng.random_bool(0.5) {
            platform.limit_reads(rng.random_range(1..4));
        }
        let mut simulation = Self {
            rng,
            node: start_node("one", &platform),
            platform,
            last_job: 0,
            jobs: BTreeSet::new(),
            cancellation_deadlines: BTreeMap::new(),
            recorded_cancellations: BTreeSet::new(),
            uncertain_cancellations: BTreeSet::new(),
            no_block_before: BTreeMap::new(),
            violations: Vec::new(),
        };
        for _ in 0..4 {
            simulation.block_partition();
        }
        simulation
    }

    fn block_partition(&mut self) {
        let partition = self.rng.random_range(0..16);
        let span = Duration::from_millis(self.rng.random_range(100..4_000));
        let no_block_before = self.no_block_before.get(&partition);
        if no_block_before.is_some_and(|until| Instant::now() < *until) {
            // Otherwise the owner could not read a cancellation there in time.
            return;
        }
        self.platform.block_reads(Topic::Jobs(partition), span);
        self.no_block_before
            .insert(partition, Instant::now() + span);
    }

    fn random_job(&mut self) -> u64 {
        // The range includes three jobs that do not exist, or not yet.
        self.rng.random_range(0..=self.last_job + 2)
    }

    fn record_job(&mut self) {
        self.last_job += 1;
        let partition = self.rng.random_range(0..16);
        let id = self.last_job;
        let spec = job(vec![step()], None);
        self.platform
            .record_job(partition, &acceptance(id, spec, partition));
        self.jobs.insert(id);
    }

    fn record_cancellation(&mut self) {
        let job = self.random_job();
        let partition = self.rng.random_range(0..16);
        self.platform.record_cancellation(partition, job);
        // The deadline counts from the moment at which the partition can be read.
        let now = Instant::now();
        let readable = self
            .no_block_before
            .get(&partition)
            .map_or(now, |until| now.max(*until));
        let due = readable + CANCELLATION_DELAY;
        self.no_block_before.insert(partition, due);
        self.recorded_cancellations.insert(job);
        let earliest = self.cancellation_deadlines.entry(job).or_insert(due);
        *earliest = due.min(*earliest);
    }

    async fn cancel(&mut self) {
        let job = self.random_job();
        let queue = QueueName::from("q");
        let deadline = Instant::now() + 3 * SECOND;
        let frontend = self.node.frontend();
        let answer = frontend.cancel(&queue, JobId(job), deadline).await;
        let now = Instant::now();
        let due = match answer {
            // There may have been no owner to notify.
            Ok(()) => now + CANCELLATION_DELAY,
            Err(Refusal::NoJob) => now + ORDER_TRANSIT_TIME,
            Err(Refusal::Unknown) => {
                self.uncertain_cancellations.insert(job);
                return;
            }
            Err(_) => return,
        };
        let earliest = self.cancellation_deadlines.entry(job).or_insert(due);
        *earliest = due.min(*earliest);
    }

    async fn check_job_state(&mut self) {
        let job = self.random_job();
        let exists = self.jobs.contains(&job);
        let found = self.node.frontend().job_state(JobId(job)).await;
        let shown = match found {
            Ok(_) => true,
            Err(Refusal::NoJob) => false,
            Err(_) => return,
        };
        if exists && !shown {
            self.violations
                .push(format!("job {job} exists but is reported as missing"));
        }
        // A recorded cancellation counts as evidence that the job exists.
        if !exists && shown && !self.recorded_cancellations.contains(&job) {
            self.violations
                .push(format!("job {job} does not exist but is reported"));
        }
    }

    async fn act(&mut self) {
        match self.rng.random_range(0..10) {
            0..=2 => self.record_job(),
            3 => self.record_cancellation(),
            4 | 5 => self.cancel().await,
            6 | 7 => self.check_job_state().await,
            8 => self.block_partition(),
            _ => {
                let modes = [
                    Mode::Healthy,
                    Mode::Healthy,
                    Mode::Slow,
                    Mode::HalfAnswersLost,
                ];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.platform.set_mode(mode);
            }
        }
        let pause = self.rng.random_range(1..300);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Checks that each job ended as its callers may expect, and that none started after its cancellation.
    async fn check_jobs(&mut self) {
        for job in self.jobs.clone() {
            let due = self.cancellation_deadlines.get(&job).copied();
            let last = self.platform.last_start(job);
            if let (Some(last), Some(due)) = (last, due)
                && last > due
            {
                let late = last - due;
                let line = format!(
                    "job {job} started {late:?} after its cancellation had to be in effect"
                );
                self.violations.push(line);
            }
            let state = self.node.frontend().job_state(JobId(job)).await;
            let is_expected = match state {
                Ok(State::Completed) => true,
                Ok(State::Cancelled) => {
                    due.is_some() || self.uncertain_cancellations.contains(&job)
                }
                _ => false,
            };
            if !is_expected {
                let line = format!("job {job} ended as {state:?}");
                self.violations.push(line);
            }
        }
    }
}

/// Runs a history in its own runtime, so that all tasks of its node end with it.
fn run_history(seed: u64) -> Vec<String> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.unwrap().block_on(simulate(seed))
}

async fn simulate(seed: u64) -> Vec<String> {
    let mut simulation = Simulation::new(seed);
    let until = Instant::now() + FAULT_PERIOD;
    while Instant::now() < until {
        simulation.act().await;
    }
    simulation.platform.set_mode(Mode::Healthy);
    sleep(RECOVERY_PERIOD).await;
    simulation.check_jobs().await;
    simulation.violations
}

#[test]
fn answers_and_starts_are_correct_in_random_histories() {
    let count = std::env::var("HISTORIES").ok();
    let count = count.map_or(DEFAULT_HISTORIES, |count| count.parse().unwrap());
    for seed in 0..count {
        let violations = run_history(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
