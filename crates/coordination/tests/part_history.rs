//! Random histories of orders, crashes and takeovers against the promise that no task of a job is
//! with two shards.
//!
//! Orders and reports may be lost, doubled and late, owners may be replaced at any point with the
//! records that were not kept lost, and the clocks of two owners may differ.

#[path = "support/cases.rs"]
mod cases;
#[path = "support/job.rs"]
mod job;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    sync::Arc,
    time::Duration,
};

use fulmarpier_coordination::{
    journal::{
        Fold,
        Header,
        JobEnd,
        Record, //
    },
    part::{
        Home,
        Local,
        Share,
        Step,
        part_id,
        step, //
    },
    peer::part::{
        Order,
        Report, //
    },
    recovery::{
        Image,
        Job, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::Counts,
    id::{
        Epoch,
        JobId,
        NodeId,
        ShardId, //
    },
};
use proptest::prelude::*;

use cases::config;

const SHARDS: u16 = 4;
const TASKS: u32 = 6;
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

#[derive(Clone, Copy, Debug)]
enum Op {
    /// The owner sends the orders that are due.
    Send(u16),
    Deliver(usize),
    Double(usize),
    Lose(usize),
    /// The log keeps the next record.
    Keep(u16),
    /// Another owner takes the shard; what was not kept is lost.
    Replace(u16),
    Start(u16),
    Finish(u16),
    Submit(u16),
    Cancel(u16),
    Move(u16),
    Pass(u64),
}

#[derive(Clone, Debug)]
enum Message {
    Order(Order),
    Report(Report),
}

/// One shard: its log, its present owner, and what its workers run.
struct Shard {
    id: ShardId,
    fold: Fold,
    epoch: u64,
    sequence: u64,
    home: Home,
    unkept: VecDeque<Record>,
    /// Jobs that the owner does not start for as long as a record about them is not kept.
    held: BTreeSet<JobId>,
    /// Runs on the workers; they outlive the owner.
    running: BTreeMap<JobId, u32>,
    done: BTreeMap<JobId, u32>,
    skew: Duration,
}

struct World {
    shards: Vec<Shard>,
    network: Vec<Message>,
    now: Timestamp,
    jobs: BTreeMap<JobId, ShardId>,
    /// To which job each part belongs.
    parts: BTreeMap<JobId, JobId>,
    /// The jobs of which somebody wanted the end.
    cancelled: BTreeSet<JobId>,
}

impl Shard {
    fn new(id: ShardId, skew: Duration) -> Self {
        Self {
            id,
            fold: Fold::default(),
            epoch: 1,
            sequence: 0,
            home: Home::new(id, &Image::default(), START),
            unkept: VecDeque::new(),
            held: BTreeSet::new(),
            running: BTreeMap::new(),
            done: BTreeMap::new(),
            skew,
        }
    }

    fn image(&self) -> &Image {
        self.fold.image()
    }

    fn count(of: &BTreeMap<JobId, u32>, job: JobId) -> u32 {
        of.get(&job).copied().unwrap_or_default()
    }

    /// Returns how many tasks of a job could still start here.
    fn waiting(&self, id: JobId) -> u32 {
        let open = |job: &&Job| !job.cancelled && !self.held.contains(&id);
        let share = self
            .image()
            .jobs
            .get(&id)
            .filter(open)
            .map_or(0, Job::share);
        let started = Self::count(&self.running, id) + Self::count(&self.done, id);
        share.saturating_sub(started)
    }

    fn is_about(record: &Record, id: JobId) -> bool {
        match record {
            Record::Hosted { part, .. } | Record::Closed { part, .. } => *part == id,
            _ => false,
        }
    }

    fn local(&self, part: JobId) -> Local {
        if let Some(closed) = self.image().closed.get(&part) {
            return Local::Ended(closed.counts);
        }
        if self
            .unkept
            .iter()
            .any(|record| Self::is_about(record, part))
        {
            return Local::Unsettled;
        }
        let Some(job) = self.image().jobs.get(&part) else {
            return Local::Absent;
        };
        Local::Open {
            waiting: self.waiting(part),
            running: Self::count(&self.running, part),
            ended: Counts {
                succeeded: Self::count(&self.done, part),
                ..Counts::default()
            },
            cancelled: job.cancelled,
        }
    }

    fn obey(&mut self, order: &Order, now: Timestamp) -> Report {
        let (part, of) = (order.part, order.of);
        match step(&self.local(part), order, now) {
            Step::Take => {
                let spec = Arc::new(order.spec.as_deref().expect("a take has a spec").clone());
                let at = now;
                self.unkept.push_back(Record::Hosted { part, of, spec, at });
            }
            Step::Close(counts) => self.unkept.push_back(Record::Closed { part, of, counts }),
            Step::Cancel => self.unkept.push_back(Record::Cancelled { job: part }),
            Step::Withdraw => {
                self.held.insert(part);
                self.close(part);
            }
            Step::Forget => self.unkept.push_back(Record::Forgotten { part }),
            Step::Rest => {}
        }
        let state = self.local(part).into();
        Report { part, of, state }
    }

    /// Ends a part with what never started as cancelled.
    fn close(&mut self, part: JobId) {
        let Some(job) = self.image().jobs.get(&part) else {
            return;
        };
        let (of, tasks) = (job.of.expect("a part"), job.share());
        let succeeded = Self::count(&self.done, part);
        let counts = Counts {
            succeeded,
            cancelled: tasks - succeeded,
            ..Counts::default()
        };
        self.unkept.push_back(Record::Closed { part, of, counts });
    }

    fn keep(&mut self, now: Timestamp) {
        let Some(record) = self.unkept.pop_front() else {
            return;
        };
        self.sequence += 1;
        let header = Header {
            node: NodeId(1),
            epoch: Epoch(self.epoch),
            sequence: self.sequence,
            base: None,
            at: now,
        };
        self.fold.apply_parts(&header, &record);
        let (Record::Accepted { job, .. }
        | Record::Delegated { job, .. }
        | Record::PartEnded { job, .. }
        | Record::Cancelled { job }) = record
        else {
            return;
        };
        if matches!(record, Record::Delegated { .. }) {
            self.held.remove(&job);
        }
        let image = self.fold.image();
        self.home.follow(job, image, now);
        if matches!(record, Record::PartEnded { .. }) {
            self.delegate_owed(job);
        }
    }

    /// Delegates what came back to the next shard, under a new part.
    fn delegate_owed(&mut self, id: JobId) {
        let Some(job) = self.image().jobs.get(&id) else {
            return;
        };
        let pending =
            |record: &Record| matches!(record, Record::Delegated { job, .. } if *job == id);
        let owed = job.owed();
        if owed == 0 || self.unkept.iter().any(pending) {
            return;
        }
        let share = job.share();
        let round = job.delegation.as_ref().map_or(0, |d| d.round());
        self.delegate(id, share, &[owed], round);
    }

    fn delegate(&mut self, job: JobId, home: u32, tasks: &[u32], round: u32) {
        let place = |(index, tasks): (u16, &u32)| {
            let other = (self.id.0 + index + u16::try_from(round).unwrap_or(0)) % SHARDS;
            let shard = ShardId(other);
            let part = part_id(job, shard, round);
            Share {
                part,
                shard,
                tasks: *tasks,
            }
        };
        let parts = (1..).zip(tasks).map(place).collect();
        self.unkept
            .push_back(Record::Delegated { job, home, parts });
    }

    /// Ends what has nothing left to do.
    fn settle(&mut self) {
        let jobs: Vec<JobId> = self.image().jobs.keys().copied().collect();
        for id in jobs {
            let idle = Self::count(&self.running, id) == 0 && !self.held.contains(&id);
            let job = &self.image().jobs[&id];
            let over = job.cancelled || Self::count(&self.done, id) == job.share();
            let ends = |record: &Record| {
                Self::is_about(record, id)
                    || matches!(record, Record::JobEnded { job, .. } if *job == id)
            };
            if !idle || !over || self.unkept.iter().any(ends) {
                continue;
            }
            let parts = job.delegation.as_ref().is_none_or(|d| d.is_over());
            let owed = job.owed();
            if job.of.is_some() {
                self.close(id);
            } else if parts && owed == 0 {
                let end = JobEnd::Succeeded;
                self.unkept.push_back(Record::JobEnded { job: id, end });
            } else if owed > 0 {
                self.delegate_owed(id);
            }
        }
    }

    fn replace(&mut self, now: Timestamp) {
        self.unkept.clear();
        self.held.clear();
        self.epoch += 1;
        self.sequence = 0;
        self.home = Home::new(self.id, self.fold.image(), now);
    }

    fn startable(&self) -> Option<JobId> {
        let mut jobs = self.image().jobs.keys();
        jobs.find(|id| self.waiting(**id) > 0).copied()
    }
}

impl World {
    fn new() -> Self {
        let skew = |id: u16| Duration::from_secs(u64::from(id));
        let shards = (0..SHARDS).map(|id| Shard::new(ShardId(id), skew(id)));
        Self {
            shards: shards.collect(),
            network: Vec::new(),
            now: START,
            jobs: BTreeMap::new(),
            parts: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    fn shard(&mut self, index: u16) -> (&mut Shard, Timestamp) {
        let shard = &mut self.shards[usize::from(index % SHARDS)];
        let now = self.now + shard.skew;
        (shard, now)
    }

    fn run(&mut self, op: Op) {
        match op {
            Op::Send(index) => self.send(index),
            Op::Deliver(pick) => self.deliver(pick, true),
            Op::Double(pick) => self.deliver(pick, false),
            Op::Lose(pick) if !self.network.is_empty() => {
                self.network.swap_remove(pick % self.network.len());
            }
            Op::Lose(_) => {}
            Op::Keep(index) => {
                let (shard, now) = self.shard(index);
                shard.keep(now);
            }
            Op::Replace(index) => {
                let (shard, now) = self.shard(index);
                shard.replace(now);
            }
            Op::Start(index) => {
                let (shard, _) = self.shard(index);
                if let Some(job) = shard.startable() {
                    *shard.running.entry(job).or_default() += 1;
                }
            }
            Op::Finish(index) => {
                let (shard, _) = self.shard(index);
                let job = shard.running.iter().find(|(_, n)| **n > 0).map(|(j, _)| *j);
                if let Some(job) = job {
                    *shard.running.entry(job).or_default() -= 1;
                    *shard.done.entry(job).or_default() += 1;
                }
            }
            Op::Submit(index) => self.submit(index),
            Op::Cancel(index) => self.cancel(index),
            Op::Move(index) => self.move_job(index),
            Op::Pass(millis) => self.now = self.now + Duration::from_millis(millis),
        }
        for shard in &mut self.shards {
            shard.settle();
        }
    }

    fn submit(&mut self, index: u16) {
        let id = JobId::from_u128(u128::try_from(self.jobs.len()).unwrap_or(0) + 1);
        let (shard, now) = self.shard(index);
        let home = shard.id;
        let spec = Arc::new(job::spec(TASKS, true));
        shard.unkept.push_back(Record::Accepted {
            job: id,
            spec,
            at: now,
        });
        // The division is kept after the job, and nothing starts before.
        shard.held.insert(id);
        shard.delegate(id, TASKS - 4, &[2, 2], 0);
        self.jobs.insert(id, home);
    }

    fn cancel(&mut self, index: u16) {
        let (shard, _) = self.shard(index);
        let open = |job: &Job| job.of.is_none() && !job.cancelled;
        let found = shard.image().jobs.iter().find(|(_, job)| open(job));
        if let Some(job) = found.map(|(id, _)| *id) {
            shard.unkept.push_back(Record::Cancelled { job });
            self.cancelled.insert(job);
        }
    }

    /// Delegates all that a home has not started of a job of its own.
    fn move_job(&mut self, index: u16) {
        let (shard, _) = self.shard(index);
        let of_own = |(id, job): &(&JobId, &Job)| {
            job.of.is_none() && job.share() > 0 && shard.waiting(**id) == job.share()
        };
        let found = shard.image().jobs.iter().find(of_own);
        let Some((id, share, round)) = found.map(|(id, job)| {
            let round = job.delegation.as_ref().map_or(0, |d| d.round());
            (*id, job.share(), round)
        }) else {
            return;
        };
        shard.held.insert(id);
        shard.delegate(id, 0, &[share], round);
    }

    fn send(&mut self, index: u16) {
        let (shard, now) = self.shard(index);
        let image = shard.fold.image().clone();
        let orders = shard.home.due(&image, |_, _| true, now);
        for order in orders {
            self.parts.insert(order.part, order.of.job);
            self.network.push(Message::Order(order));
        }
    }

    fn deliver(&mut self, pick: usize, once: bool) {
        if self.network.is_empty() {
            return;
        }
        let pick = pick % self.network.len();
        let message = match once {
            true => self.network.swap_remove(pick),
            false => self.network[pick].clone(),
        };
        match message {
            Message::Order(order) => {
                let (shard, now) = self.shard(order.shard.0);
                let report = shard.obey(&order, now);
                self.network.push(Message::Report(report));
            }
            Message::Report(report) => {
                let (shard, now) = self.shard(report.of.home.0);
                let image = shard.fold.image().clone();
                let record = shard.home.on(&report, &image, now);
                shard.unkept.extend(record);
            }
        }
    }

    /// Returns how many tasks of a job run, and how many have run to their end.
    fn tally(&self, job: JobId) -> (u32, u32) {
        let of = |id: &JobId| *id == job || self.parts.get(id) == Some(&job);
        let sum = |map: &BTreeMap<JobId, u32>| -> u32 {
            map.iter().filter(|(id, _)| of(id)).map(|(_, n)| *n).sum()
        };
        let tallies = self.shards.iter();
        tallies
            .map(|shard| (sum(&shard.running), sum(&shard.done)))
            .fold((0, 0), |(a, b), (c, d)| (a + c, b + d))
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for job in self.jobs.keys() {
            let (running, done) = self.tally(*job);
            prop_assert!(running + done <= TASKS, "{job}: {running} run, {done} ran");
        }
        Ok(())
    }

    /// Lets everything work until nothing is left to do.
    fn calm(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..400 {
            for index in 0..SHARDS {
                self.run(Op::Send(index));
                while !self.network.is_empty() {
                    self.run(Op::Deliver(0));
                }
                for op in [Op::Start(index), Op::Finish(index)] {
                    self.run(op);
                }
                while !self.shards[usize::from(index)].unkept.is_empty() {
                    self.run(Op::Keep(index));
                }
            }
            self.run(Op::Pass(500));
            self.check()?;
        }
        Ok(())
    }
}

fn op() -> impl Strategy<Value = Op> {
    let shard = 0..SHARDS;
    prop_oneof![
        6 => shard.clone().prop_map(Op::Send),
        10 => any::<usize>().prop_map(Op::Deliver),
        2 => any::<usize>().prop_map(Op::Double),
        2 => any::<usize>().prop_map(Op::Lose),
        10 => shard.clone().prop_map(Op::Keep),
        1 => shard.clone().prop_map(Op::Replace),
        4 => shard.clone().prop_map(Op::Start),
        3 => shard.clone().prop_map(Op::Finish),
        1 => shard.clone().prop_map(Op::Submit),
        1 => shard.clone().prop_map(Op::Cancel),
        1 => shard.prop_map(Op::Move),
        4 => (0_u64..30_000).prop_map(Op::Pass),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_task_is_with_two_shards_and_none_is_lost(
        ops in proptest::collection::vec(op(), 1..300),
    ) {
        let mut world = World::new();
        world.run(Op::Submit(0));
        for op in ops {
            world.run(op);
            world.check()?;
        }
        world.calm()?;
        let jobs = world.jobs.clone();
        for (job, home) in jobs {
            let shard = &world.shards[usize::from(home.0)];
            prop_assert!(!shard.image().jobs.contains_key(&job), "{job} has not ended");
            let kept = shard.image().gone.contains_key(&job);
            let (running, done) = world.tally(job);
            prop_assert_eq!(running, 0);
            if kept && !world.cancelled.contains(&job) {
                prop_assert_eq!(done, TASKS, "{} was accepted", job);
            }
        }
    }
}

#[test]
fn a_job_that_nobody_cancels_runs_each_task_once() -> Result<(), TestCaseError> {
    let mut world = World::new();
    for index in 0..SHARDS {
        world.run(Op::Submit(index));
        world.run(Op::Keep(index));
        world.run(Op::Keep(index));
        world.run(Op::Send(index));
    }
    world.run(Op::Double(0));
    world.run(Op::Replace(1));
    world.calm()?;
    for job in world.jobs.keys() {
        assert_eq!(world.tally(*job), (0, TASKS));
    }
    Ok(())
}
