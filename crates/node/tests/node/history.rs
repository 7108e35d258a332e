//! Random histories of one owner: others put jobs and cancellations on record while the store leaves parts of it out.

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

/// How long a history is troubled, and how long it is calm after that.
const TROUBLED: Duration = Duration::from_secs(15);
const CALM: Duration = Duration::from_secs(15);
/// A start that had left when a cancellation was answered arrives within this time.
const WAY: Duration = Duration::from_millis(50);
/// A cancellation that is on record has to be in force after this time, whoever was told of it.
const IN_FORCE: Duration = Duration::from_secs(3);

/// How many histories are played; more by hand with `HISTORIES=1000`.
const USUAL: u64 = 25;

struct World {
    rng: SmallRng,
    platform: Fake,
    node: Node<Fake>,
    serial: u64,
    /// Jobs on record.
    jobs: BTreeSet<u64>,
    /// When the cancellation of each job has to be in force.
    in_force: BTreeMap<u64, Instant>,
    /// Jobs whose cancellation stands on record as that of a job that its caller was shown.
    silent: BTreeSet<u64>,
    /// Until when each partition can't be read, or must stay so that it can.
    unread: BTreeMap<u16, Instant>,
    violations: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let platform = Fake::new();
        if rng.random_bool(0.5) {
            platform.give_at_most(rng.random_range(1..4));
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
            // Nobody could know of the cancellation in it then.
            return;
        }
        self.platform.hold_back(Topic::Jobs(partition), span);
        self.unread.insert(partition, Instant::now() + span);
    }

    fn some_job(&mut self) -> u64 {
        // One in four is not there, or not yet.
        self.rng.random_range(0..=self.serial + 2)
    }

    fn put_on_record(&mut self) {
        self.serial += 1;
        let partition = self.rng.random_range(0..16);
        let id = self.serial;
        let spec = job(vec![step()], None);
        self.platform
            .accept(partition, &accepted(id, spec, partition));
        self.jobs.insert(id);
    }

    fn cancel_on_record(&mut self) {
        let job = self.some_job();
        let partition = self.rng.random_range(0..16);
        self.platform.cancel(partition, job);
        // It can be read once the partition can, and has to be read within the time after that.
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
            // There may have been no owner to tell of it.
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
            self.violations.push(format!("job {job} is denied"));
        }
        // A cancellation on record is of a job that was shown to its caller.
        if !is_there && shown && !self.silent.contains(&job) {
            self.violations.push(format!("job {job} is shown"));
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
                let modes = [Mode::Well, Mode::Well, Mode::Slow, Mode::Losing];
                let mode = modes[self.rng.random_range(0..modes.len())];
                self.platform.set(mode);
            }
        }
        let pause = self.rng.random_range(1..300);
        sleep(Duration::from_millis(pause)).await;
    }

    /// Checks what was promised of each job.
    async fn check(&mut self) {
        for job in self.jobs.clone() {
            let in_force = self.in_force.get(&job).copied();
            let last = self.platform.last_start(job);
            if let (Some(last), Some(until)) = (last, in_force)
                && last > until
            {
                let late = last - until;
                let line = format!("job {job} started {late:?} late");
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

/// Plays a history in a runtime of its own, which ends all that its node has begun.
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
    world.platform.set(Mode::Well);
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
