//! The scheduler of a whole cell as a deterministic state machine: it takes events and the current time and returns
//! effects.
//!
//! | module | what it does |
//! |---|---|
//! | `job` | holds the state of jobs and their occurrences |
//! | `stage` | holds the state of the steps of an occurrence, with their tasks |
//! | `timer` | finds what is due |
//! | `assembly` | stops gangs of which members wait in vain for the others |
//! | `announce` | prepares jobs whose acceptance is not yet on record |
//! | `shrink` | handles workers whose capacity has decreased |
//! | `limit` | enforces the resource limits of workspaces |
//! | `share` | ranks the steps of workspaces that compete, by their shares and rates |
//! | `submit` | accepts jobs and cancellations, opens steps that are ready |
//! | `open_steps` | holds the steps that have tasks to start, in order of urgency |
//! | `free_capacity` | indexes the workers by their free resources |
//! | `schedule` | places the open steps in order of urgency |
//! | `place` | finds workers for single tasks and gangs |
//! | `pace` | holds the classes of workers' speeds, and the order in which steps take them |
//! | `reserve` | reserves workers and preempts tasks for a gang or an urgent task |
//! | `hold` | keeps the workers on which tasks were preempted for a gang until it starts |
//! | `ask` | asks which workers may run a step |
//! | `order` | handles answers to orders, and repeats stops until they are settled |
//! | `wait` | reports why steps wait, and parks those that no known worker could run |
//! | `throttling` | throttles best-effort tasks that disturb latency-sensitive ones |
//! | `contact` | handles newly listed workers, heartbeats and inventories |
//! | `address` | handles entries that name another address of a known worker |
//! | `absence` | concludes from inventories which runs are gone |
//! | `evacuate` | tracks data centres in which nothing new is started |
//! | `crash` | isolates, and finally fails, tasks that crash their workers |
//! | `restart` | handles new incarnations of known workers |
//! | `loss` | handles lost workers and their runs |
//! | `end` | handles ends of runs, attempts, and ends of jobs |
//! | `progress` | learns the speeds of workers from the progress of their runs |
//! | `removal` | removes jobs that are over, except for their outcomes |
//! | `recording` | writes records, and continues what waited for them |
//! | `view` | provides what callers and operators see |

mod absence;
mod address;
mod announce;
mod ask;
mod assembly;
mod contact;
mod crash;
mod end;
mod evacuate;
mod free_capacity;
mod hold;
mod job;
mod limit;
mod loss;
mod open_steps;
mod order;
mod pace;
mod place;
mod progress;
mod recording;
mod removal;
mod reserve;
mod restart;
mod schedule;
mod share;
mod shrink;
mod stage;
mod submit;
mod throttling;
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

pub use self::{
    assembly::Census,
    limit::Usage as WorkspaceUsage,
    throttling::Throttling,
    view::{
        Counts,
        State, //
    },
    wait::{
        UnmetRequirement,
        WaitReason,
        WaitSurvey, //
    },
};
use self::{
    free_capacity::FreeCapacity,
    hold::Hold,
    job::Job,
    open_steps::OpenSteps,
    recording::RecordQueue,
    schedule::Rank,
    share::Competition,
    shrink::ReportValidity,
    timer::Timers, //
};
use crate::{
    advice::{
        AllowedShares,
        Nodes,
        Ticket, //
    },
    bounds::{
        Bounds,
        MAX_FORMER_OWNER_ACTIVITY, //
    },
    config::Config,
    effect::{
        Effect,
        LogRecord,
        Removal, //
    },
    id::{
        Epoch,
        Fence,
        JobId,
        NodeName,
        PoolName,
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
        WorkerRuns, //
    },
    speed,
    worker::Worker,
    workspace::WorkspaceName,
};

/// A worker's index in the engine's tables. An index is never reused for another worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);

impl Slot {
    const FIRST: Self = Self(0);

    /// Returns the position in a list that is indexed by slot.
    const fn index(self) -> usize {
        self.0 as usize
    }
}

/// The contents of a start order that are known before it is sent.
#[derive(Clone, Debug)]
struct Order {
    payload: Arc<str>,
    checkpoint: Option<Arc<str>>,
    ticket: Option<Ticket>,
}

/// The state that a new owner has read from the store.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The accepted jobs.
    pub accepted: Vec<Accepted>,
    /// The cancelled jobs.
    pub cancelled: Vec<Cancelled>,
    /// The recorded progress of jobs.
    pub progress: Vec<(JobId, Progress)>,
    /// What workers may be running on orders of former owners.
    pub workers: Vec<(WorkerId, WorkerRuns)>,
}

/// What remains in memory of a job that is over.
#[derive(Clone, Debug)]
struct Ended {
    outcome: Outcome,
    workspace: Option<WorkspaceName>,
}

/// The scheduler of a cell.
#[derive(Debug)]
pub struct Engine {
    epoch: Epoch,
    /// When the ownership began to act, after its takeover had read the store.
    began: Timestamp,
    /// The highest fence carried by orders to any worker.
    fence: Fence,
    bounds: Bounds,
    config: Config,
    jobs: HashMap<JobId, Job>,
    /// All cancellations, keyed by job and by the canceller's workspace; includes jobs that are not known yet.
    cancelled: BTreeMap<(JobId, Option<WorkspaceName>), Cancellation>,
    /// The outcomes of jobs of which nothing else is left in memory.
    ended: HashMap<JobId, Ended>,
    /// The resources in use by each workspace, and its limit.
    quotas: quota::Ledger,
    /// Which workspaces are over their share, and how many jobs each has submitted.
    competition: Competition,
    /// Jobs that are over, with the time at which this became known.
    ended_at: Vec<(Timestamp, JobId)>,
    /// Removed jobs whose memory is freed incrementally.
    pending_drops: Vec<Job>,
    /// Acceptances to be deleted from the record, with their partitions.
    pending_removals: Vec<Removal>,
    /// When the jobs that are over are checked next.
    next_sweep: Timestamp,
    workers: BTreeMap<Slot, Worker>,
    slots: HashMap<WorkerId, Slot>,
    /// Which worker reports are recent enough to trust their capacity.
    report_validity: ReportValidity,
    next_slot: u32,
    /// What is known of the speeds in each pool.
    pools: HashMap<PoolName, speed::Pool>,
    /// When the typical speeds are updated next.
    next_recentre: Timestamp,
    /// Open steps that have tasks to start.
    open_steps: OpenSteps,
    /// Open steps that no known worker could run; they are parked here until a worker is listed or changes.
    unschedulable: BTreeSet<StepId>,
    /// The workers, indexed by their free resources.
    free_capacity: FreeCapacity,
    /// Which data centres are evacuated. Nothing is started until this is known.
    evacuation: Option<evacuate::Reading>,
    /// When the next heartbeat or probe of each worker is due.
    calls: Timers<Slot>,
    /// When workers that are silent or unlisted may have to be declared lost or be forgotten.
    expiries: Timers<Slot>,
    /// When the next stop order is sent for each run that has to end.
    stops: Timers<(Slot, TaskId, Run)>,
    /// When gangs that may lack members are checked.
    assemblies: Timers<StepId>,
    /// When the next occurrence of each scheduled job is due.
    due: BTreeSet<(Timestamp, JobId)>,
    /// The tasks that had just begun on a worker when it seemed to crash, by worker. The crashes are retracted if the
    /// worker answers again.
    tasks_by_crashed_worker: HashMap<WorkerId, Vec<TaskId>>,
    /// The nodes that can ask for advice, and their calls in progress.
    advice_nodes: Nodes,
    /// The share of workers that advice has allowed, by queue.
    allowed_shares: AllowedShares,
    /// What has to be put on record, and what waits for that.
    record_queue: RecordQueue,
    /// Jobs whose acceptance is not on record yet, and how long to wait for it.
    announced: BTreeMap<JobId, Timestamp>,
    /// Runs of unknown jobs, which a former owner learned of before their acceptance was on record.
    unknown_runs: HashMap<JobId, Vec<(Slot, TaskId, Run)>>,
    /// Recorded starts that wait until the acceptance of their job is on record too.
    held_starts: Vec<(Slot, TaskId, Run)>,
    /// Start orders by run, until the worker has answered.
    orders: HashMap<(Slot, TaskId, Run), Order>,
    /// The number of gangs started in each queue.
    gangs_started: HashMap<QueueName, u64>,
    /// The late gang of each queue that is ranked as if it were in time, so that it can't be overtaken forever.
    promoted: HashMap<QueueName, StepId>,
    /// For each step with tasks that have to run alone, the worker that is being emptied for it.
    emptying: BTreeMap<StepId, Slot>,
    /// For each gang for which tasks were preempted, the workers that are held for it until it starts.
    holds: BTreeMap<StepId, Hold>,
    /// Whether a change may allow a waiting task to start, so that a scheduling pass is needed.
    needs_pass: bool,
    /// The last step that the previous pass examined in addition to the most urgent ones. The next pass continues
    /// after it.
    resume_after: Option<Rank>,
    /// When the skipped steps are retried, if no event triggers a pass before.
    retry_skipped_at: Option<Timestamp>,
    /// The earliest time of the next scheduling pass.
    next_pass: Timestamp,
    /// The cost of the last scheduling pass, in worker checks.
    pass_cost: usize,
    /// The effects to be returned by the next call of [`Self::advance`].
    outbox: Vec<Effect>,
}

impl Engine {
    /// Creates the engine of a new owner from the stored state.
    ///
    /// A task that a worker may still be running on an order of a former owner is restarted only after that worker has
    /// answered or all its leases have expired.
    pub fn new(epoch: Epoch, bounds: Bounds, stored: StoredState, now: Timestamp) -> Self {
        let mut engine = Self {
            epoch,
            began: now,
            fence: Fence::first(epoch),
            bounds,
            config: Config::default(),
            jobs: HashMap::default(),
            cancelled: BTreeMap::new(),
            ended: HashMap::default(),
            ended_at: Vec::new(),
            quotas: quota::Ledger::default(),
            competition: Competition::default(),
            pending_drops: Vec::new(),
            pending_removals: Vec::new(),
            next_sweep: now,
            workers: BTreeMap::new(),
            slots: HashMap::default(),
            report_validity: ReportValidity::default(),
            next_slot: 0,
            pools: HashMap::default(),
            next_recentre: now,
            open_steps: OpenSteps::default(),
            unschedulable: BTreeSet::new(),
            free_capacity: FreeCapacity::default(),
            evacuation: None,
            calls: Timers::default(),
            expiries: Timers::default(),
            stops: Timers::default(),
            assemblies: Timers::default(),
            due: BTreeSet::new(),
            tasks_by_crashed_worker: HashMap::default(),
            advice_nodes: Nodes::default(),
            allowed_shares: AllowedShares::default(),
            record_queue: RecordQueue::default(),
            announced: BTreeMap::new(),
            unknown_runs: HashMap::default(),
            held_starts: Vec::new(),
            orders: HashMap::default(),
            gangs_started: HashMap::default(),
            promoted: HashMap::default(),
            emptying: BTreeMap::new(),
            holds: BTreeMap::new(),
            needs_pass: true,
            resume_after: None,
            retry_skipped_at: None,
            next_pass: now,
            pass_cost: 0,
            outbox: Vec::new(),
        };
        for cancelled in &stored.cancelled {
            engine.note_cancelled(cancelled);
        }
        let mut progress: HashMap<JobId, Progress> = stored.progress.into_iter().collect();
        for accepted in stored.accepted {
            engine.restore_job(accepted, &mut progress, now);
        }
        engine.count_restored_jobs(now);
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
        for (worker, usage) in stored.workers {
            engine.track_former_worker(worker, usage, now);
        }
        engine
    }

    /// Notes that the former owners were fenced at a time: none of them acts for longer than
    /// [`MAX_FORMER_OWNER_ACTIVITY`] after it, or after the store has fenced their records for this owner, which it
    /// has before the engine begins.
    ///
    /// Until then the runs of a worker that has not answered this owner are not taken for lost, however long it is
    /// silent.
    pub fn note_former_owners_fenced(&mut self, at: Timestamp) {
        let leases_end =
            at.max(self.began) + MAX_FORMER_OWNER_ACTIVITY + self.bounds.lease_expiry_time();
        let slots: Vec<Slot> = self.workers.keys().copied().collect();
        for slot in slots {
            let worker = self.workers.get_mut(&slot);
            if worker.is_some_and(|worker| worker.end_former_leases(leases_end)) {
                self.update_indexes(slot);
            }
        }
    }

    /// Returns the epoch of the ownership that the engine acts under.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Applies a configuration, unless it is older than the current one.
    pub fn configure(&mut self, config: Config) {
        if config.version >= self.config.version {
            self.config = config;
            self.set_limits();
            self.competition.expire_shares();
            self.open_steps.mark_all_unranked();
            self.open_steps.forget_node_waits();
            self.needs_pass = true;
            self.reopen_unschedulable();
        }
    }

    /// Sets the nodes that can ask for advice.
    pub fn set_advice_nodes(&mut self, nodes: &[NodeName], now: Timestamp) {
        for call in self.advice_nodes.set_nodes(nodes) {
            self.handle_unanswered_call(&call, now);
        }
        self.needs_pass = true;
    }

    /// Handles everything that is due and returns the effects to carry out. The caller must not drop any of them.
    pub fn advance(&mut self, now: Timestamp) -> Vec<Effect> {
        self.report_validity.update(now);
        self.needs_pass |= self.advice_nodes.end_backoffs(now);
        self.begin_due_occurrences(now);
        self.expire_workers(now);
        self.recentre_pools(now);
        self.expire_announced(now);
        self.check_gangs(now);
        self.send_stops(now);
        if self.retry_skipped_at.is_some_and(|at| at <= now) {
            self.retry_skipped_at = None;
            self.needs_pass = true;
        }
        if self.needs_pass && now >= self.next_pass {
            self.needs_pass = false;
            self.schedule(now);
        }
        self.write_record(now);
        self.remove_ended(now);
        self.call_workers(now);
        std::mem::take(&mut self.outbox)
    }

    /// Returns when [`Self::advance`] next has a scheduling pass or a record to make, if any.
    pub fn next_pass(&self) -> Option<Timestamp> {
        let pass = self.needs_pass.then_some(self.next_pass);
        [pass, self.record_queue.due()].into_iter().flatten().min()
    }

    /// Returns whether the next call of [`Self::advance`] makes a scheduling pass, as far as is known.
    pub fn is_pass_due(&self, now: Timestamp) -> bool {
        self.needs_pass && now >= self.next_pass
    }

    /// Returns the cost of the last scheduling pass, in worker checks.
    pub const fn pass_cost(&self) -> usize {
        self.pass_cost
    }

    /// Makes the next pass examine all steps, including those that are known to wait for a node. It decides the same
    /// without that.
    pub const fn examine_all_steps(&mut self) {
        self.open_steps.forget_node_waits();
    }

    /// Emits a log record.
    fn log(&mut self, record: LogRecord) {
        self.outbox.push(Effect::Log(record));
    }
}
