//! Random histories of one owner: jobs and cancellations are recorded behind its back while the store is slow, loses
//! answers or blocks reads of single partitions.

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
    front::Refusal,
    port::Topic, //
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
        accepted,
        job,
        node,
        step, //
    },
};

/// How long the store may misbehave in a history.
const TROUBLED: Duration = Duration::from_secs(15);
/// How long the store is healthy after that, before the jobs are checked.
const CALM: Duration = Duration::from_secs(15);
/// An order to start that was sent before a cancellation was answered arrives within this time.
const WAY: Duration = Duration::from_millis(50);
/// A recorded cancellation takes effect within this time, even if no node notifies the owner.
const IN_FORCE: Duration = Duration::from_secs(3);

/// How many histories are run by default; `HISTORIES=1000` in the environment runs more.
const USUAL: u64 = 25;

struct World {
    rng: SmallRng,
    platform: Fake,
    node: Node<Fake>,
    serial: u64,
    /// Jobs that are recorded in the store.
    jobs: BTreeSet<u64>,
    /// When the cancellation of each job has to be in effect.
    in_force: BTreeMap<u64, Instant>,
    /// Jobs whose recorded cancellation says that the job was known. They may be shown although they have no record.
    silent: BTreeSet<u64>,
    /// Before this time reads of a partition are not blocked anew: they are blocked already, or they have to succeed
    /// because a cancellation in the partition is due.
    unread: BTreeMap<u16, Instant>,
    violations: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = Fake::new();
        if rng.random_bool(0.5) {
            platform.limit_reads(rng.random_range(1..4));
        }
        let mut world = Self {
            rng,
            node: node("one", &platform),
            platform,
            serial: 0,
            jobs: BTreeSet::new(),
            in_force: BTreeMap::new(),
            silent: BTreeSet::new(),
            unread: BTreeMap::new(),
            violations: Vec::new(),
        };
        for _ in 0..4 {
            world.hold_back();
        }
        world
    }

    fn hold_back(&mut self) {
        let partition = self.rng.random_range(0..16);
        let span = Duration::from_millis(self.rng.random_range(100..4_000));
        let unread = self.unread.get(&partition);
        if unread.is_some_and(|until| Instant::now() < *until) {
            // Otherwise the owner could not read a cancellation there in time.
            return;
        }
        self.platform.block_reads(Topic::Jobs(partition), span);
        self.unread.insert(partition, Instant::now() + span);
    }

    fn some_job(&mut self) -> u64 {
        // The range includes three jobs that do not exist, or not yet.
        self.rng.random_range(0..=self.serial + 2)
    }

    fn put_on_record(&mut self) {
        self.serial += 1;
        let partition = self.rng.random_range(0..16);
        let id = self.serial;
        let spec = job(vec![step()], None);
        self.platform
            .record_job(partition, &accepted(id, spec, partition));
        self.jobs.insert(id);
    }

    fn cancel_on_record(&mut self) {
        let job = self.some_job();
        let partition = self.rng.random_range(0..16);
        self.platform.record_cancellation(partition, job);
        // The deadline counts from the moment at which the partition can be read.
        let now = Instant::now();
        let readable = self
            .unread
            .get(&partition)
            .map_or(now, |until| now.max(*until));
        let in_force = readable + IN_FORCE;
        self.unread.insert(partition, in_force);
        self.silent.insert(job);
        let known = self.in_force.entry(job).or_insert(in_force);
        *known = in_force.min(*known);
    }

    async fn cancel(&mut self) {
        let job = self.some_job();
        let queue = QueueName::from("q");
        let deadline = Instant::now() + 3 * SECOND;
        let front = self.node.front();
        let answer = front.cancel(&queue, JobId(job), deadline).await;
        let now = Instant::now();
        let in_force = match answer {
            // There may have been no owner to notify.
            Ok(()) => now + IN_FORCE,
            Err(Refusal::NoJob) => now + WAY,
            Err(_) => return,
        };
        let known = self.in_force.entry(job).or_insert(in_force);
        *known = in_force.min(*known);
    }

    async fn look(&mut self) {
        let job = self.some_job();
        let is_there = self.jobs.contains(&job);
        let found = self.node.front().look(JobId(job)).await;
        let shown = match found {
            Ok(_) => true,
            Err(Refusal::NoJob) => false,
            Err(_) => return,
        };
        if is_there && !shown {
            self.violations
                .push(format!("job {job} exists but is reported as missing"));
        }
        // A recorded cancellation counts as evidence that the job exists.
        if !is_there && shown && !self.silent.contains(&job) {
            self.violations
                .push(format!("job {job} does not exist but is reported"));
        }
    }

    async fn trouble(&mut self) {
        match self.rng.random_range(0..10) {
            0..=2 => self.put_on_record(),
            3 => self.cancel_on_record(),
            4 | 5 => self.cancel().await,
            6 | 7 => self.look().await,
            8 => self.hold_back(),
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
    async fn check(&mut self) {
        for job in self.jobs.clone() {
            let in_force = self.in_force.get(&job).copied();
            let last = self.platform.last_start(job);
            if let (Some(last), Some(until)) = (last, in_force)
                && last > until
            {
                let late = last - until;
                let line = format!(
                    "job {job} started {late:?} after its cancellation had to be in effect"
                );
                self.violations.push(line);
            }
            let state = self.node.front().look(JobId(job)).await;
            let is_true = match state {
                Ok(State::Completed) => true,
                Ok(State::Cancelled) => in_force.is_some(),
                _ => false,
            };
            if !is_true {
                let line = format!("job {job} ended as {state:?}");
                self.violations.push(line);
            }
        }
    }
}

/// Runs a history in its own runtime, so that all tasks of its node end with it.
fn play(seed: u64) -> Vec<String> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.unwrap().block_on(run(seed))
}

async fn run(seed: u64) -> Vec<String> {
    let mut world = World::new(seed);
    let until = Instant::now() + TROUBLED;
    while Instant::now() < until {
        world.trouble().await;
    }
    world.platform.set_mode(Mode::Healthy);
    sleep(CALM).await;
    world.check().await;
    world.violations
}

#[test]
fn what_an_owner_says_and_starts_is_true_whatever_it_has_read() {
    let count = std::env::var("HISTORIES").ok();
    let count = count.map_or(USUAL, |count| count.parse().unwrap());
    for seed in 0..count {
        let violations = play(seed);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
