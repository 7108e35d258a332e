//! A world of workers in virtual time around the engine, with faults and a check of every promise.
//!
//! Workers behave as the platform's do: they fence lower epochs, refuse runs that are not higher
//! than one that ended or was stopped, end everything when the lease lapses, and tell of ends until
//! those are acknowledged. Orders may go unanswered, be carried out late, or both.

mod check;
mod deliver;
mod evacuate;
mod fault;
mod limit;
mod restart;
mod worker;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use fulmarpier_cell::{
    config::{
        AdviceTerms,
        Config,
        Pool,
        Queue, //
    },
    effect::{
        Effect,
        Forgotten,
        Note, //
    },
    engine::{
        Engine,
        Inheritance,
        State,
        Wait, //
    },
    evacuation::Evacuation,
    event::{
        Advised,
        HoldAnswer,
        Registration,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        DataCentre,
        Epoch,
        Incarnation,
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
        Schedule,
        Spec,
        Step, //
    },
    record::{
        self,
        Accepted,
        Cancellation,
        Cancelled,
        Entry, //
    },
    workspace::{
        Directory,
        Workspace,
        WorkspaceName, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    quota::Limit,
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

pub(crate) use self::restart::Restart;
pub(crate) use self::worker::DATA_CENTRES;
use self::worker::Worker;

/// How often each fault comes, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Orders without an answer, half of them carried out 2 to 12 s later.
    pub lost_orders: u32,
    /// Inventories without an answer.
    pub lost_holds: u32,
    /// A second in which a worker crashes.
    pub crashes: u32,
    /// A second in which a worker is cut off for 1 to 12 s and runs on.
    pub cuts: u32,
    /// A second in which the owner dies and another takes over.
    pub takeovers: u32,
    /// Runs that fail.
    pub failures: u32,
    /// A second in which the store goes away for 1 to 5 s.
    pub outages: u32,
    /// A second in which a job is cancelled.
    pub cancels: u32,
    /// Jobs that the owner hears of before their acceptance is kept, a third of them in vain.
    pub announced: u32,
    /// A second in which a worker's entry turns into one of another writer, for 1 to 15 s.
    pub foreign: u32,
    /// A second in which a worker is replaced: a fresh one comes, and this one says that it leaves and is gone 2 to 4 s
    /// later.
    pub releases: u32,
    /// Jobs of which a task crashes each worker that starts it.
    pub crashers: u32,
    /// A second in which a worker's room changes to anything from one task to four.
    pub shrinks: u32,
    /// A second in which a worker restarts under its id. Half of the workers that a task crashes do so too.
    pub restarts: u32,
    /// A second in which a data centre is evacuated, or taken back.
    pub evacuations: u32,
}

/// What comes back to the engine, or happens, at a time.
#[derive(Debug)]
enum Event {
    Started(WorkerId, TaskId, Run, StartAnswer),
    Stopped(WorkerId, TaskId, Run, StopAnswer),
    Hold(Box<fulmarpier_cell::effect::Hold>),
    HoldTimeout(WorkerId, Timestamp),
    /// An order that the worker left unanswered when it was this incarnation.
    LateStart(Box<fulmarpier_cell::effect::Start>, Option<Incarnation>),
    Start(Box<fulmarpier_cell::effect::Start>),
    Stop(fulmarpier_cell::effect::Stop),
    Held(WorkerId, Timestamp, HoldAnswer),
    Recorded(Vec<Entry>),
    Kept(Box<Accepted>),
    Withdrawn(JobId),
    Advised(NodeName, StepId, Vec<WorkerId>),
    /// A node that is down was asked.
    Unadvised(NodeName, StepId),
    /// A task has crashed the worker that started it.
    Crash(WorkerId, TaskId),
    /// The worker at a place is back under another id.
    Back(u32),
    /// A worker is back under its id, at its place.
    Restarted(Box<Registration>, u32, Restart),
    Unlisted(WorkerId),
    /// The nodes read the operator's records on.
    OperatorRead,
}

/// The world.
pub(crate) struct World {
    pub now: Timestamp,
    pub engine: Engine,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub violations: Vec<String>,
    rng: SmallRng,
    faults: Faults,
    epoch: Epoch,
    config: Config,
    /// The nodes that ask for advice.
    nodes: Vec<NodeName>,
    /// Those of them that are down.
    pub nodes_down: BTreeSet<NodeName>,
    /// The acceptances that were kept, in their order.
    pub accepted: Vec<Accepted>,
    /// Jobs whose acceptance was taken off the record.
    forgotten: BTreeSet<JobId>,
    /// When each job was cancelled, and how that stands on record.
    cancelled: BTreeMap<JobId, (Timestamp, Cancellation)>,
    /// Jobs of which a worker has begun a task.
    begun: BTreeSet<JobId>,
    records: BTreeMap<String, Entry>,
    events: BTreeMap<(Timestamp, u64), (Epoch, Event)>,
    serial: u64,
    /// The calls for inventories that are not answered yet, by when they were made.
    calls: BTreeSet<(WorkerId, Timestamp)>,
    store_back: Timestamp,
    next_second: Timestamp,
    /// Tasks whose `done` end was acknowledged, or whose job was seen as completed.
    done: BTreeSet<TaskId>,
    /// Failed ends that were acknowledged.
    failed: BTreeMap<TaskId, BTreeSet<Run>>,
    /// Whether the list of workers is away while the rest of the store is there.
    pub is_list_away: bool,
    /// Whether the operator's records are away while the rest of the store is there.
    pub is_operator_away: bool,
    /// Whether a new owner's node has read nothing of the operator's yet.
    pub is_new_owner_blank: bool,
    /// Tasks that crash each worker that starts them.
    pub crashers: BTreeSet<TaskId>,
    /// How many workers each of them has crashed.
    pub crashed: BTreeMap<TaskId, u32>,
    /// How a worker that a task crashes restarts under its id, where that is not drawn.
    pub crash_restart: Option<Restart>,
    /// How many others ran on each worker that a task has crashed, in order.
    pub taken_along: Vec<(TaskId, usize)>,
    /// Under how many workers that went down each task was.
    under: BTreeMap<TaskId, u32>,
    /// How many tasks were given up that crash nothing.
    pub wronged: u32,
    /// How often each of them was started after [`PROVED`] crashes.
    started_on: BTreeMap<TaskId, u32>,
    /// Workers that have crashed, and until when nothing answers where they were.
    down: BTreeMap<WorkerId, Timestamp>,
    /// How long an append takes.
    pub append: Duration,
    /// How many starts there were.
    pub starts: u32,
    /// When each run was preempted, in order.
    pub preempted: Vec<(Timestamp, TaskId)>,
    /// How many orders to start came with a ticket that had run out.
    pub turned_away: u32,
    /// How many calls for advice there were, with how many workers each.
    pub asked: Vec<usize>,
    /// How many starts were taken back since their tickets had run out by the time that they were on record.
    pub aged: usize,
    /// How many calls for advice nodes that are down were given.
    pub unadvised: usize,
    /// The reasons to wait that were told, in their order.
    pub waits: Vec<(JobId, Wait)>,
    /// The jobs of workspaces, with what they run.
    holders: BTreeMap<JobId, (WorkspaceName, Arc<Spec>)>,
    /// Since when workspaces have had which limits; the last are in force.
    limits: Vec<(Timestamp, BTreeMap<WorkspaceName, Resources>)>,
    /// The data centres that are evacuated, and since when.
    evacuated: BTreeMap<DataCentre, Timestamp>,
    /// What the nodes have read of that, and when.
    evacuation: (Evacuation, Timestamp),
    /// What the owner was told; `None` before it was told anything.
    told: Option<Evacuation>,
}

/// How long a ticket, which tells when it was given, is valid.
const VALIDITY: Duration = Duration::from_millis(1_500);

/// Returns when a ticket was given.
fn given(ticket: &str) -> Timestamp {
    Timestamp::from_micros(ticket.parse().unwrap())
}

fn is_aged(ticket: &str, now: Timestamp) -> bool {
    given(ticket) + VALIDITY < now
}

/// How long a call takes one way.
const WAY: Duration = Duration::from_micros(500);
/// How long it takes to learn that nothing listens at a node.
const REFUSED: Duration = Duration::from_millis(5);
/// How long an append takes.
const APPEND: Duration = Duration::from_millis(8);
/// How long an order waits for its answer.
const ORDER: Duration = Duration::from_millis(700);
/// How many workers there are.
const WORKERS: u32 = 8;
/// How long after its start a task that crashes its worker does so.
const CRASHES_AFTER: Duration = Duration::from_millis(10);
/// For how long a room that has shrunk is not held against a start, and after how long at most an order is carried out that got no
/// answer.
const SHRINK_BORNE: Duration = Duration::from_millis(4_500);
const LATEST: Duration = Duration::from_secs(12);
/// How long a task that lasts works on.
const LASTS: Duration = Duration::from_secs(3_600);
/// How long a crashed worker is away, and for how long it stays listed.
const AWAY: Duration = Duration::from_secs(3);
const LISTED: Duration = Duration::from_millis(4_500);
/// A task may be given up from so many crashes under it on, whoever's fault they are.
const GIVEN_UP_FROM: u32 = 2;
/// After so many crashes of workers that started it a task is known for what it is, and so many starts more are the most
/// that is allowed.
pub(crate) const PROVED: u32 = 3;
pub(crate) const STARTS_MORE: u32 = 2;
/// How many tries a task has.
pub(crate) const TRIES: u32 = 3;

/// Makes a queue.
pub(crate) fn queue(name: &str, priority: u8, advice: bool) -> Queue {
    Queue {
        name: QueueName::from(name),
        pool: PoolName::from("pool"),
        priority,
        tries: TRIES,
        stretch: 2.0,
        objective: Duration::from_secs(1),
        advice: advice.then_some(AdviceTerms {
            base: Duration::from_millis(20),
            each: Duration::from_millis(1),
            validity: VALIDITY,
        }),
    }
}

/// Makes a size from thousandths of a core and mebibytes.
pub(crate) const fn size(cpu: u32, memory: u64) -> Resources {
    Resources::new(Millicores(cpu), Bytes::from_mib(memory), 0)
}

/// Makes a step of two quick tasks.
pub(crate) fn quick_step() -> Step {
    Step {
        count: 2,
        size: size(1_000, 1_024),
        estimate: Duration::from_millis(640),
        ..Step::default()
    }
}

impl World {
    /// Makes a world with eight workers, all of them known to the first owner.
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        Self::sized(seed, faults, WORKERS, &["a", "b", "c"])
    }

    /// Makes a world with so many workers, all of them known to the first owner, and these nodes.
    pub(crate) fn sized(seed: u64, faults: Faults, workers: u32, nodes: &[&'static str]) -> Self {
        let now = Timestamp::from_millis(1_000_000);
        let mut config = Config {
            version: 1,
            ..Config::default()
        };
        for queue in [
            queue("urgent", 0, true),
            queue("gang", 1, true),
            queue("batch", 2, false),
        ] {
            config.queues.insert(queue.name.clone(), Arc::new(queue));
        }
        let pool = Pool {
            name: PoolName::from("pool"),
            enforces_capacity: false,
            is_standby: false,
        };
        config.pools.insert(pool.name.clone(), pool);
        let epoch = Epoch(1);
        let mut world = Self {
            now,
            engine: Engine::new(
                epoch,
                evacuate::bounds(&faults),
                Inheritance::default(),
                now,
            ),
            workers: BTreeMap::new(),
            violations: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            faults,
            epoch,
            config,
            nodes: nodes.iter().copied().map(NodeName::from).collect(),
            nodes_down: BTreeSet::new(),
            accepted: Vec::new(),
            forgotten: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            begun: BTreeSet::new(),
            records: BTreeMap::new(),
            events: BTreeMap::new(),
            serial: 0,
            calls: BTreeSet::new(),
            store_back: now,
            next_second: now,
            done: BTreeSet::new(),
            failed: BTreeMap::new(),
            is_list_away: false,
            is_operator_away: false,
            is_new_owner_blank: false,
            crashers: BTreeSet::new(),
            crashed: BTreeMap::new(),
            crash_restart: None,
            taken_along: Vec::new(),
            under: BTreeMap::new(),
            wronged: 0,
            started_on: BTreeMap::new(),
            down: BTreeMap::new(),
            append: APPEND,
            starts: 0,
            preempted: Vec::new(),
            turned_away: 0,
            asked: Vec::new(),
            aged: 0,
            unadvised: 0,
            waits: Vec::new(),
            holders: BTreeMap::new(),
            limits: Vec::new(),
            evacuated: BTreeMap::new(),
            evacuation: (Evacuation::default(), now),
            told: None,
        };
        for place in 0..workers {
            world.add_worker(place);
        }
        world.introduce();
        world
    }

    fn add_worker(&mut self, place: u32) {
        self.serial += 1;
        let id = WorkerId::from(format!("w{place}-{}", self.serial));
        self.begin_worker(id, place);
    }

    fn begin_worker(&mut self, id: WorkerId, place: u32) -> &mut Worker {
        // Clocks are up to 2% slow.
        let rate = 1.0 - self.rng.random_range(0.0..0.02);
        let worker = Worker::new(id.clone(), place, rate, self.now);
        self.workers.entry(id).or_insert(worker)
    }

    /// Has a worker crash and come back as another incarnation, which may be of another kind.
    pub(crate) fn replace_worker(&mut self, id: &WorkerId, kind: &'static str) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        self.note_under(&worker);
        self.engine.unregister(id, self.now);
        self.add_worker(worker.place);
        let mut workers = self.workers.values_mut();
        if let Some(fresh) = workers.find(|fresh| fresh.place == worker.place) {
            fresh.kind = kind;
            self.engine.register(fresh.registration(), self.now);
        }
    }

    /// Tells a new owner of the configuration, the nodes and the workers.
    fn introduce(&mut self) {
        self.engine.configure(self.config.clone());
        if !self.is_new_owner_blank {
            self.tell_evacuation();
        }
        self.engine.set_hands(&self.nodes, self.now);
        for worker in self.workers.values() {
            match worker.foreign_until {
                None => self.engine.register(worker.entry(self.now), self.now),
                Some(_) => self.engine.distrust(&worker.id, self.now),
            }
        }
    }

    /// Has a worker's entry turn into one of another writer.
    pub(crate) fn turn_foreign(&mut self, id: &WorkerId, span: Duration) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.foreign_until = Some(self.now + span);
            self.engine.distrust(id, self.now);
        }
    }

    /// Has the workers write their entries again that another writer has written for long enough.
    fn write_entries(&mut self) {
        for worker in self.workers.values_mut() {
            if worker.foreign_until.is_some_and(|until| until <= self.now) {
                worker.foreign_until = None;
                self.engine.register(worker.entry(self.now), self.now);
            }
        }
    }

    /// Submits a job; its record is kept.
    pub(crate) fn submit(&mut self, queue: &str, steps: Vec<Step>) -> JobId {
        self.submit_repeated(queue, steps, None)
    }

    /// Submits a job that was received some time ago, and waited since for an owner.
    pub(crate) fn submit_late(&mut self, queue: &str, steps: Vec<Step>, ago: Duration) -> JobId {
        self.accept(queue, steps, None, self.now.saturating_sub(ago))
    }

    /// Submits a job that may run at other times; its record is kept.
    pub(crate) fn submit_repeated(
        &mut self,
        queue: &str,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
    ) -> JobId {
        self.accept(queue, steps, schedule, self.now)
    }

    fn accept(
        &mut self,
        queue: &str,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
        received: Timestamp,
    ) -> JobId {
        let accepted = self.make(queue, steps, schedule, received);
        self.enter(accepted)
    }

    /// Takes a job in, told of before its acceptance is kept or after.
    fn enter(&mut self, accepted: Accepted) -> JobId {
        let job = accepted.job;
        if self.faults.crashers > 0 && self.chance(self.faults.crashers) {
            self.make_crasher(job, &accepted.spec);
        }
        if self.chance(self.faults.announced) {
            self.announce(accepted);
        } else {
            self.keep(accepted);
        }
        job
    }

    /// Makes a job that is handed in now and not on record yet.
    pub(crate) fn hand_in(&mut self, queue: &str, steps: Vec<Step>) -> Accepted {
        self.make(queue, steps, None, self.now)
    }

    /// Keeps a job's acceptance and tells the owner.
    pub(crate) fn keep(&mut self, accepted: Accepted) {
        if let Some(name) = accepted.workspace_name() {
            let holder = (name.clone(), accepted.spec.clone());
            self.holders.insert(accepted.job, holder);
        }
        self.accepted.push(accepted.clone());
        self.engine.submit(accepted, self.now);
    }

    fn make(
        &mut self,
        queue: &str,
        steps: Vec<Step>,
        schedule: Option<Schedule>,
        received: Timestamp,
    ) -> Accepted {
        self.serial += 1;
        Accepted {
            job: JobId(self.serial),
            queue: self.config.queues[&QueueName::from(queue)].clone(),
            spec: Arc::new(Spec {
                text: "text".into(),
                steps,
                schedule,
            }),
            workspace: None,
            received,
            partition: 0,
        }
    }

    /// Tells the owner of a job whose acceptance is kept or refused later, or of which it hears nothing more.
    fn announce(&mut self, accepted: Accepted) {
        let job = accepted.job;
        self.engine.announce(accepted.clone(), self.now);
        let takes = Duration::from_millis(self.rng.random_range(10..4_000));
        match self.rng.random_range(0..6) {
            0 => self.later(takes, Event::Withdrawn(job)),
            1 => {}
            _ => self.later(takes, Event::Kept(Box::new(accepted))),
        }
    }

    /// Hands a job in once more, which puts its acceptance on record again.
    pub(crate) fn hand_in_again(&mut self, job: JobId) {
        let mut accepted = self.accepted.iter();
        if let Some(accepted) = accepted.find(|accepted| accepted.job == job).cloned() {
            self.forgotten.remove(&job);
            self.engine.submit(accepted, self.now);
        }
    }

    /// Cancels a job; that is on record.
    pub(crate) fn cancel(&mut self, job: JobId) {
        // Half of them are by callers whose node could not ask the owner.
        let cancellation = match job.0.is_multiple_of(2) {
            true => Cancellation::Unseen,
            false => Cancellation::Seen,
        };
        let cancelled = self.cancelled.entry(job);
        cancelled.or_insert((self.now, cancellation));
        let cancelled = Cancelled {
            job,
            workspace: self.workspace_of(job),
            cancellation,
        };
        self.engine.cancel(&cancelled, self.now);
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let tick = Duration::from_millis(25);
        while self.now < end && self.violations.is_empty() {
            let next_tick = self.now + tick;
            while let Some((&(at, serial), _)) = self.events.first_key_value() {
                if at > next_tick {
                    break;
                }
                self.now = self.now.max(at);
                if let Some((epoch, event)) = self.events.remove(&(at, serial)) {
                    self.take(epoch, event);
                }
                self.pass();
            }
            self.now = next_tick;
            self.pass_second();
            self.pass();
        }
    }

    /// Ends all faults.
    pub(crate) fn calm(&mut self) {
        let failures = self.faults.failures;
        self.faults = Faults {
            failures,
            ..Faults::default()
        };
        for worker in self.workers.values_mut() {
            worker.cut_until = self.now;
            worker.foreign_until = worker.foreign_until.map(|_| self.now);
            worker.resize(4, self.now);
        }
        self.write_entries();
        self.store_back = self.now;
        self.take_all_back();
    }

    /// Has the store go away for a while.
    pub(crate) fn lose_store(&mut self, span: Duration) {
        self.store_back = self.now + span;
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    fn pass_second(&mut self) {
        if self.now < self.next_second {
            return;
        }
        self.next_second = self.now + Duration::from_secs(1);
        self.write_entries();
        for id in self.workers.keys().cloned().collect::<Vec<_>>() {
            if self.chance(self.faults.crashes) {
                self.replace_worker(&id, "a");
            } else if self.chance(self.faults.cuts) {
                let span = Duration::from_millis(self.rng.random_range(1_000..12_000));
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.cut_until = self.now + span;
                }
            }
            // Without this fault nothing is drawn: the histories of the seeds that are kept stay as they are.
            if self.faults.foreign > 0 && self.chance(self.faults.foreign) {
                let span = Duration::from_millis(self.rng.random_range(1_000..15_000));
                self.turn_foreign(&id, span);
            }
        }
        if self.faults.releases > 0 {
            self.release_workers();
        }
        if self.faults.shrinks > 0 {
            self.resize_workers();
        }
        if self.faults.restarts > 0 {
            self.restart_workers();
        }
        self.report_workers();
        self.read_operator();
        if self.faults.evacuations > 0 {
            self.evacuate_by_chance();
        }
        if self.chance(self.faults.outages) {
            let span = Duration::from_millis(self.rng.random_range(1_000..5_000));
            self.store_back = self.now + span;
        }
        if self.chance(self.faults.takeovers) {
            self.take_over();
        }
        if self.chance(self.faults.cancels) && !self.accepted.is_empty() {
            let place = self.rng.random_range(0..self.accepted.len());
            self.cancel(self.accepted[place].job);
        }
    }

    /// Takes an acceptance off the record.
    fn forget(&mut self, forgotten: Forgotten) {
        self.forgotten.insert(forgotten.job);
        if let Some(kept) = forgotten.cancellation
            && let Some((_, cancellation)) = self.cancelled.get_mut(&forgotten.job)
        {
            *cancellation = kept;
        }
    }

    /// The owner dies; another takes over with what is on record.
    pub(crate) fn take_over(&mut self) {
        self.epoch = self.epoch.next();
        let mut inheritance = Inheritance {
            accepted: self.on_record().cloned().collect(),
            cancelled: self
                .cancelled
                .iter()
                .map(|(job, (_, cancellation))| Cancelled {
                    job: *job,
                    workspace: self.workspace_of(*job),
                    cancellation: *cancellation,
                })
                .collect(),
            ..Inheritance::default()
        };
        // A job that was handed in at two nodes stands in two partitions.
        let again = self.on_record().step_by(3).cloned();
        inheritance.accepted.extend(again);
        for entry in self.records.values() {
            match entry {
                Entry::Job(job, progress) => inheritance.progress.push((*job, progress.clone())),
                Entry::Worker(id, usage) => inheritance.workers.push((id.clone(), usage.clone())),
                Entry::Gone(_) => {}
            }
        }
        self.calls.clear();
        let bounds = evacuate::bounds(&self.faults);
        self.engine = Engine::new(self.epoch, bounds, inheritance, self.now);
        self.forget_told();
        self.introduce();
    }

    /// Returns how many of some jobs are completed.
    pub(crate) fn completed(&self, jobs: &[JobId]) -> usize {
        let states = jobs.iter().map(|job| self.engine.state(*job));
        states
            .filter(|state| *state == Some(State::Completed))
            .count()
    }

    /// Returns the acceptances that the store keeps.
    pub(crate) fn on_record(&self) -> impl Iterator<Item = &Accepted> {
        let accepted = self.accepted.iter();
        accepted.filter(|accepted| !self.forgotten.contains(&accepted.job))
    }

    fn later(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        let at = (self.now + span, self.serial);
        self.events.insert(at, (self.epoch, event));
    }

    fn pass(&mut self) {
        let ended: Vec<WorkerId> = self
            .workers
            .values_mut()
            .filter_map(|worker| worker.advance(self.now).then(|| worker.id.clone()))
            .collect();
        for id in ended {
            self.answer_waiting(&id);
        }
        let effects = self.engine.advance(self.now);
        for effect in effects {
            self.carry_out(effect);
        }
        self.check_waiting();
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Start(order) => {
                self.check_leaves(&order);
                if self.chance(self.faults.lost_orders) {
                    let timeout = Event::Started(
                        order.to.worker.clone(),
                        order.task,
                        order.run,
                        StartAnswer::Silent,
                    );
                    if self.chance(500) {
                        let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
                        let worker = self.workers.get(&order.to.worker);
                        let incarnation = worker.map(Worker::incarnation);
                        self.later(late, Event::LateStart(order, incarnation));
                    }
                    self.later(ORDER, timeout);
                } else {
                    self.later(WAY, Event::Start(order));
                }
            }
            Effect::Stop(order) => {
                if self.chance(self.faults.lost_orders) {
                    let answer = Event::Stopped(
                        order.to.worker.clone(),
                        order.task,
                        order.run,
                        StopAnswer::Silent,
                    );
                    self.later(ORDER, answer);
                } else {
                    self.later(WAY, Event::Stop(order));
                }
            }
            Effect::Hold(order) => {
                let (worker, asked) = (order.to.worker.clone(), order.asked);
                let timeout = order.wait + Duration::from_millis(800);
                self.later(timeout, Event::HoldTimeout(worker.clone(), asked));
                self.calls.insert((worker, asked));
                self.later(WAY, Event::Hold(Box::new(order)));
            }
            Effect::Advise {
                node,
                step,
                workers,
            } if self.nodes_down.contains(&node) => {
                self.unadvised += 1;
                self.later(REFUSED, Event::Unadvised(node, step));
                drop(workers);
            }
            Effect::Advise {
                node,
                step,
                workers,
            } => {
                self.asked.push(workers.len());
                self.check_asked(&workers);
                let took = Duration::from_millis(20 + workers.len() as u64);
                self.later(took, Event::Advised(node, step, workers));
            }
            Effect::Record(entries) => {
                let wait = self.now.until(self.store_back) + self.append;
                self.later(wait, Event::Recorded(entries));
            }
            Effect::Forget(jobs) => jobs.into_iter().for_each(|job| self.forget(job)),
            Effect::Note(Note::Placed { task, worker, .. }) => self.check_place(task, &worker),
            Effect::Note(Note::Waits { step, why, .. }) => self.waits.push((step.job, why)),
            Effect::Note(Note::Stopping {
                task,
                why: "preempted",
                ..
            }) => self.preempted.push((self.now, task)),
            Effect::Note(Note::NotStarted {
                why: "ticket-aged", ..
            }) => self.aged += 1,
            Effect::Note(Note::Crashed { task, verdict, .. }) => {
                self.check_given_up(task, verdict == "given-up");
            }
            // Nothing fills in the histories.
            Effect::Pace(_) | Effect::Note(_) => {}
            Effect::Deposed => self.violations.push("the owner was deposed".to_owned()),
        }
    }

    fn take(&mut self, epoch: Epoch, event: Event) {
        // Orders of a dead owner still arrive; what comes back to it is lost.
        let is_alive = epoch == self.epoch;
        match event {
            Event::Start(order) => self.deliver_start(&order, is_alive, true),
            Event::LateStart(order, incarnation) => {
                if self.takes_late(&order.to.worker, incarnation) {
                    self.deliver_start(&order, is_alive, false);
                }
            }
            Event::Stop(order) => self.deliver_stop(&order, is_alive),
            Event::Hold(order) => self.deliver_hold(*order, is_alive),
            Event::Kept(accepted) => {
                // Whoever owns the cell by then is told.
                self.keep(*accepted);
            }
            Event::Crash(worker, task) => self.crash(worker, task),
            Event::Back(place) => {
                self.add_worker(place);
                self.tell_of(place);
            }
            Event::Restarted(entry, place, restart) => self.come_back(*entry, place, restart),
            Event::Unlisted(worker) => self.engine.unregister(&worker, self.now),
            Event::OperatorRead => self.read_operator(),
            _ if !is_alive => {}
            Event::Started(worker, task, run, answer) => {
                self.engine.started(&worker, task, run, answer, self.now);
            }
            Event::Stopped(worker, task, run, answer) => {
                self.engine.stopped(&worker, task, run, answer, self.now);
            }
            Event::Held(worker, asked, answer) => self.end_call(&worker, asked, answer),
            Event::HoldTimeout(worker, asked) => self.end_call(&worker, asked, HoldAnswer::Silent),
            Event::Withdrawn(job) => self.engine.withdraw(job, self.now),
            Event::Unadvised(node, step) => self.engine.advised(&node, step, None, self.now),
            Event::Recorded(entries) => {
                for entry in entries {
                    let bytes = record::encode(&entry).expect("a record can be encoded");
                    let entry: Entry = record::decode(&bytes).expect("it can be decoded again");
                    self.records.insert(entry.key(), entry);
                }
                self.engine.recorded(self.now);
            }
            Event::Advised(node, step, workers) => {
                // Which workers may run a step is fixed by the step and the worker's place.
                let advised = workers.into_iter().filter(|id| {
                    let place = self.workers.get(id).map_or(0, |worker| worker.place);
                    !(u64::from(place) + step.job.0).is_multiple_of(3)
                });
                let advised = advised
                    .map(|worker| Advised {
                        ticket: self.now.as_micros().to_string().into(),
                        worker,
                    })
                    .collect();
                self.engine.advised(&node, step, Some(advised), self.now);
            }
        }
    }
}
