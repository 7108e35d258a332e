//! The scheduler of a whole cell: events and the time go in, effects come out.
//!
//! | module | what it does |
//! |---|---|
//! | `announce` | prepares jobs whose acceptance is on its way |
//! | `shrink` | workers that have less room than they had |
//! | `limit` | what workspaces have running, against their limits |
//! | `submit` | takes jobs and cancellations, opens steps whose turn has come |
//! | `schedule` | goes through the open steps in order of urgency |
//! | `place` | finds workers for single tasks and gangs |
//! | `reserve` | makes room for a gang or an urgent task by preemption |
//! | `ask` | asks which workers may run a step |
//! | `order` | answers to orders, and stops until they are settled |
//! | `wait` | tells why steps wait, and sets aside those that no worker can run |
//! | `pace` | slows filling tasks that disturb serving ones |
//! | `contact` | workers that come, their leases and their inventories |
//! | `evacuate` | data centres in which nothing new is started |
//! | `crash` | tasks under which workers go down: run alone, and given up |
//! | `restart` | workers that come back under their ids |
//! | `loss` | workers that are lost, and what becomes of their runs |
//! | `end` | ends of runs, tries, and ends of jobs |
//! | `forget` | shrinks what is on record of jobs that are over |
//! | `keep` | what is put on record, and what that allows |
//! | `view` | what callers and operators see |

mod agenda;
mod announce;
mod ask;
mod contact;
mod crash;
mod end;
mod evacuate;
mod forget;
mod job;
mod keep;
mod limit;
mod loss;
mod order;
mod pace;
mod place;
mod reserve;
mod restart;
mod room;
mod schedule;
mod shrink;
mod submit;
mod timer;
mod view;
mod wait;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    quota, //
};

use self::{
    agenda::Agenda,
    job::Job,
    keep::Ledger,
    room::Rooms,
    schedule::Rank,
    shrink::Reports,
    timer::Timers, //
};
pub use self::{
    limit::Usage as WorkspaceUsage,
    pace::Pacing,
    view::{
        Counts,
        State, //
    },
    wait::{
        Lack,
        Survey,
        Wait, //
    },
};
use crate::{
    advice::{
        Desk,
        Experience,
        Ticket, //
    },
    bounds::{
        Bounds,
        FORMER_OWNER, //
    },
    config::Config,
    effect::{
        Effect,
        Forgotten,
        Note, //
    },
    id::{
        Epoch,
        Fence,
        JobId,
        NodeName,
        QueueName,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::{
        Accepted,
        Cancellation,
        Cancelled,
        Outcome,
        Progress,
        Usage, //
    },
    worker::Worker,
    workspace::WorkspaceName,
};

/// A worker's place in the engine's tables; never used for another worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);

impl Slot {
    const FIRST: Self = Self(0);

    /// Returns its place in a list by slot.
    const fn index(self) -> usize {
        self.0 as usize
    }
}

/// What an order to start carries, apart from what is decided when it leaves.
#[derive(Clone, Debug)]
struct Order {
    text: Arc<str>,
    checkpoint: Option<Arc<str>>,
    ticket: Option<Ticket>,
}

/// What a new owner has read from the store.
#[derive(Clone, Debug, Default)]
pub struct Inheritance {
    /// The jobs that were accepted.
    pub accepted: Vec<Accepted>,
    /// The jobs that were cancelled.
    pub cancelled: Vec<Cancelled>,
    /// How far jobs have come.
    pub progress: Vec<(JobId, Progress)>,
    /// What workers may run by order of former owners.
    pub workers: Vec<(WorkerId, Usage)>,
}

/// What is remembered of a job of which nothing has to run any more.
#[derive(Clone, Debug)]
struct Ended {
    outcome: Outcome,
    workspace: Option<WorkspaceName>,
}

/// The scheduler of a cell.
#[derive(Debug)]
pub struct Engine {
    epoch: Epoch,
    /// The highest fence that any worker's orders carry.
    fence: Fence,
    bounds: Bounds,
    config: Config,
    jobs: HashMap<JobId, Job>,
    /// All cancellations by the workspace of who cancelled, also of jobs that may turn up later.
    cancelled: BTreeMap<(JobId, Option<WorkspaceName>), Cancellation>,
    /// How jobs ended of which nothing else is remembered.
    ended: HashMap<JobId, Ended>,
    /// What workspaces have running, and their limits.
    quotas: quota::Ledger,
    /// Jobs that are over, by when that was learnt.
    over: Vec<(Timestamp, JobId)>,
    /// Jobs that are forgotten and whose memory is given back bit by bit.
    dropped: Vec<Job>,
    /// Acceptances that are to be taken off the record, with their partitions.
    forgotten: Vec<Forgotten>,
    /// When jobs that are over are looked at next.
    next_sweep: Timestamp,
    workers: BTreeMap<Slot, Worker>,
    slots: HashMap<WorkerId, Slot>,
    /// Which reports of workers say how much room there is.
    reports: Reports,
    next_slot: u32,
    /// Steps whose turn has come and that have tasks to start.
    agenda: Agenda,
    /// Steps whose turn has come and that no known worker could run.
    aside: BTreeSet<StepId>,
    /// The workers by what they have left.
    rooms: Rooms,
    /// Which data centres are evacuated; nothing is started before that is known.
    evacuation: Option<evacuate::Reading>,
    /// When workers are called next.
    calls: Timers<Slot>,
    /// When workers that are silent or not listed may have to be given up or forgotten.
    expiries: Timers<Slot>,
    /// When runs that have to end are told so next.
    stops: Timers<(Slot, TaskId, Run)>,
    /// When occurrences of jobs are due.
    due: BTreeSet<(Timestamp, JobId, u32)>,
    /// The tasks that are suspected since a worker seems to have gone down, in case it answers again.
    crashed: HashMap<WorkerId, Vec<TaskId>>,
    desk: Desk,
    experience: Experience,
    ledger: Ledger,
    /// Jobs whose acceptance is not on record yet, and until when that is waited for.
    announced: BTreeMap<JobId, Timestamp>,
    /// Runs of jobs that are not known: a former owner had heard of them before they were on record.
    strangers: HashMap<JobId, Vec<(Slot, TaskId, Run)>>,
    /// Starts that are on record and wait for the acceptance of their job.
    held: Vec<(Slot, TaskId, Run)>,
    /// Orders that wait for their record.
    orders: HashMap<(Slot, TaskId, Run), Order>,
    /// How many gangs of each queue have started.
    gangs_started: HashMap<QueueName, u64>,
    /// The late gang of each queue that is ranked with those in time.
    promoted: HashMap<QueueName, StepId>,
    /// The worker that is being emptied for each step with tasks that have to run alone.
    emptying: BTreeMap<StepId, Slot>,
    /// Whether something has changed that may let a task start.
    is_stirred: bool,
    /// Where among the steps that were passed over the last pass has left off.
    turn: Option<Rank>,
    /// When the steps that were passed over are looked at again, if nothing happens before.
    look_again: Option<Timestamp>,
    /// Before this the open steps are not gone through again.
    next_pass: Timestamp,
    outbox: Vec<Effect>,
}

impl Engine {
    /// Makes the engine of a new ownership from what the store keeps.
    ///
    /// A task that a worker may still run by order of a former owner starts again only once that
    /// worker was heard of, or has let its leases lapse.
    pub fn new(epoch: Epoch, bounds: Bounds, inheritance: Inheritance, now: Timestamp) -> Self {
        let mut engine = Self {
            epoch,
            fence: Fence::first(epoch),
            bounds,
            config: Config::default(),
            jobs: HashMap::default(),
            cancelled: BTreeMap::new(),
            ended: HashMap::default(),
            over: Vec::new(),
            quotas: quota::Ledger::default(),
            dropped: Vec::new(),
            forgotten: Vec::new(),
            next_sweep: now,
            workers: BTreeMap::new(),
            slots: HashMap::default(),
            reports: Reports::default(),
            next_slot: 0,
            agenda: Agenda::default(),
            aside: BTreeSet::new(),
            rooms: Rooms::default(),
            evacuation: None,
            calls: Timers::default(),
            expiries: Timers::default(),
            stops: Timers::default(),
            due: BTreeSet::new(),
            crashed: HashMap::default(),
            desk: Desk::default(),
            experience: Experience::default(),
            ledger: Ledger::default(),
            announced: BTreeMap::new(),
            strangers: HashMap::default(),
            held: Vec::new(),
            orders: HashMap::default(),
            gangs_started: HashMap::default(),
            promoted: HashMap::default(),
            emptying: BTreeMap::new(),
            is_stirred: true,
            turn: None,
            look_again: None,
            next_pass: now,
            outbox: Vec::new(),
        };
        for cancelled in &inheritance.cancelled {
            engine.note_cancelled(cancelled);
        }
        let mut progress: HashMap<JobId, Progress> = inheritance.progress.into_iter().collect();
        for accepted in inheritance.accepted {
            engine.inherit(accepted, &mut progress, now);
        }
        let over = progress.into_iter();
        let over = over.filter_map(|(job, progress)| {
            let ended = Ended {
                outcome: progress.outcome?,
                workspace: progress.workspace,
            };
            Some((job, ended))
        });
        engine.ended = over
            .filter(|(job, _)| !engine.jobs.contains_key(job))
            .collect();
        let lapses = now + engine.bounds.lapse() + FORMER_OWNER;
        for (worker, usage) in inheritance.workers {
            engine.expect_worker(worker, usage, lapses, now);
        }
        engine
    }

    /// Returns the ownership that the engine acts under.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns how many workers are known.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Puts a configuration in force; an older one than the present changes nothing.
    pub fn configure(&mut self, config: Config) {
        if config.version >= self.config.version {
            self.config = config;
            self.set_limits();
            self.agenda.unrank();
            self.is_stirred = true;
            self.take_up();
        }
    }

    /// Says which nodes can ask for advice.
    pub fn set_hands(&mut self, nodes: &[NodeName], now: Timestamp) {
        for call in self.desk.set_hands(nodes) {
            self.unask(&call, now);
        }
        self.is_stirred = true;
    }

    /// Does what is due and hands out what has to be done; nothing of it may be dropped.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Effect> {
        self.reports.weigh(now);
        self.is_stirred |= self.desk.wake(now);
        self.open_due(now);
        self.expire_workers(now);
        self.expire_announced(now);
        self.send_stops(now);
        if self.look_again.is_some_and(|at| at <= now) {
            self.look_again = None;
            self.is_stirred = true;
        }
        if self.is_stirred && now >= self.next_pass {
            self.is_stirred = false;
            self.schedule(now);
        }
        self.keep(now);
        self.forget_ended(now);
        self.call_workers(now);
        std::mem::take(&mut self.outbox)
    }

    /// Returns when [`Self::advance`] has something to decide or to record, if it has.
    pub fn next_pass(&self) -> Option<Timestamp> {
        let pass = self.is_stirred.then_some(self.next_pass);
        [pass, self.ledger.due()].into_iter().flatten().min()
    }

    fn note(&mut self, note: Note) {
        self.outbox.push(Effect::Note(note));
    }
}
