//! The engine itself and its small shared steps.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use super::{
    counters::Counters,
    effect::{
        Act,
        Effect, //
    },
    hold::Hold,
    host::Host,
    job::Job,
    recovery::Ghost,
    reserve::Reservation,
    task::{
        Loss,
        Task, //
    },
    timer::Timer,
};
use crate::{
    admission::Pace,
    alias::HashMap,
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        ShardId,
        TaskId,
        WorkerId, //
    },
    learn::Estimator,
    name::Team,
    placement::Index,
    policy::{
        Policy,
        Tuning, //
    },
    queue::Queue,
    quota::{
        Ledger,
        Limit, //
    },
    reputation::Book,
};

/// The scheduler of one shard.
///
/// All methods that change it return the effects that follow; none may be dropped.
#[derive(Debug)]
pub struct Engine {
    pub(super) shard: ShardId,
    pub(super) policy: Policy,
    pub(super) tuning: Tuning,
    pub(super) index: Index,
    pub(super) hosts: BTreeMap<WorkerId, Host>,
    /// The started tasks of each worker, also of workers that are not known yet.
    pub(super) listing: HashMap<WorkerId, BTreeSet<TaskId>>,
    /// How many workers there are of each capacity.
    pub(super) shapes: BTreeMap<(u32, u64, u16), u32>,
    pub(super) jobs: HashMap<JobId, Job>,
    pub(super) ledger: Ledger,
    pub(super) queue: Queue,
    pub(super) pace: Pace,
    /// Jobs whose tasks are larger than every worker that is known.
    pub(super) unplaceable: BTreeSet<JobId>,
    pub(super) estimator: Estimator,
    pub(super) book: Book,
    pub(super) timers: BTreeSet<(Timestamp, Timer)>,
    /// The tasks that run, by their expected end.
    pub(super) ends: BTreeSet<(Timestamp, TaskId)>,
    /// The tasks that may be preempted, the least loss first.
    pub(super) victims: BTreeSet<(Loss, TaskId)>,
    pub(super) reservations: BTreeMap<u64, Reservation>,
    /// How many reservations without evictions there are, for single tasks and for gangs.
    pub(super) kept: [usize; 2],
    /// Reservations whose capacity is all there.
    pub(super) complete: BTreeSet<u64>,
    pub(super) serial: u64,
    pub(super) holds: BTreeMap<u64, Hold>,
    /// Starts that are not their task's newest, with the capacity they still use.
    pub(super) ghosts: BTreeMap<(TaskId, Attempt), Ghost>,
    /// Jobs that have ended, the oldest first.
    pub(super) ended: VecDeque<(Timestamp, JobId)>,
    pub(super) outbox: Vec<Effect>,
    /// When the last pass of decisions was.
    pub(super) decided: Timestamp,
    /// When work that is not urgent is decided next.
    pub(super) tick: Timestamp,
    /// Starts since the last one out of turn for a job that has waited too long.
    pub(super) in_turn: u64,
    pub(super) counters: Counters,
}

impl Engine {
    /// Makes the engine of a shard without workers and jobs.
    pub fn new(shard: ShardId, policy: Policy) -> Self {
        Self {
            shard,
            tuning: Tuning::new(&policy.weights),
            policy,
            index: Index::new(),
            hosts: BTreeMap::new(),
            listing: HashMap::default(),
            shapes: BTreeMap::new(),
            jobs: HashMap::default(),
            ledger: Ledger::default(),
            queue: Queue::default(),
            pace: Pace::default(),
            unplaceable: BTreeSet::new(),
            estimator: Estimator::new(),
            book: Book::new(),
            timers: BTreeSet::new(),
            ends: BTreeSet::new(),
            victims: BTreeSet::new(),
            reservations: BTreeMap::new(),
            kept: [0; 2],
            complete: BTreeSet::new(),
            serial: 0,
            holds: BTreeMap::new(),
            ghosts: BTreeMap::new(),
            ended: VecDeque::new(),
            outbox: Vec::new(),
            decided: Timestamp::ZERO,
            tick: Timestamp::ZERO,
            in_turn: 0,
            counters: Counters::default(),
        }
    }

    /// Returns the shard that the engine schedules.
    pub const fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns the policy in force.
    pub const fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Puts another policy in force; what runs and what is reserved stays.
    pub fn set_policy(&mut self, policy: Policy) {
        self.tuning = Tuning::new(&policy.weights);
        self.policy = policy;
    }

    /// Sets the limit of a team; what runs beyond a smaller limit ends in its own time.
    pub fn set_quota(&mut self, team: &Team, limit: Limit) {
        let slot = self.ledger.configure(team, limit);
        self.queue.reprice(slot, self.ledger.share(slot), true);
    }

    /// Returns the counts since the engine was made.
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Hands out the effects gathered so far.
    pub(super) fn drain(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns a started task.
    pub(super) fn task(&self, task: TaskId) -> Option<&Task> {
        self.jobs.get(&task.job)?.active.get(&task.index)
    }

    /// Returns a started task for a change.
    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        let job = self.jobs.get_mut(&task.job)?;
        job.active.get_mut(&task.index)
    }

    /// Asks for something to be done to a task.
    pub(super) fn act(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId, act: Act) {
        self.outbox.push(Effect::Act {
            task,
            attempt,
            worker,
            act,
        });
    }
}
