//! What a shard's records add up to.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    engine::Counts,
    id::{
        Attempt,
        Epoch,
        JobId,
        ShardId,
        TaskId,
        WorkerId, //
    },
    job::{
        Kind,
        Priority,
        Spec, //
    },
    name::{
        Service,
        Team, //
    },
    refusal::Outcome, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    journal::{
        Header,
        JobEnd,
        Record, //
    },
    part::{
        Closed,
        Delegation,
        Origin,
        Part,
        Share, //
    },
    platform::{
        target,
        worker::End, //
    },
    request::{
        Answer,
        Digest,
        Key,
        Ticket, //
    },
};

/// How many jobs that are gone are remembered, so that a repeated submission is recognised.
const GONE_MAX: usize = 10_000;
/// Shorter gaps are not noted; a writer with nothing to say writes more often than this allows for.
const GAP_MIN: Duration = Duration::from_secs(15);
/// How many gaps are kept apart; the two oldest are joined where there are more.
const GAPS_MAX: usize = 32;
/// How long a gap is kept after its keys are refused for their age, for clocks that lie apart.
const GAP_KEPT: Duration = Duration::from_secs(60);

/// The last known state of a task that was started at least once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// An order to start it may have left.
    Starting {
        /// Which start of the task this is.
        attempt: Attempt,
        /// The worker of the order.
        worker: WorkerId,
    },
    /// The attempt certainly did not run; the task waits again.
    NotStarted {
        /// The attempt that did not run.
        attempt: Attempt,
    },
    /// It ended.
    Ended {
        /// Which start of the task this was.
        attempt: Attempt,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        end: End,
    },
    /// It may have run, and is not started again.
    Unknown {
        /// The attempt in doubt.
        attempt: Attempt,
        /// Where it was to run.
        worker: WorkerId,
    },
}

impl TaskState {
    /// Returns the last known attempt.
    pub const fn attempt(&self) -> Attempt {
        match self {
            Self::Starting { attempt, .. }
            | Self::NotStarted { attempt }
            | Self::Ended { attempt, .. }
            | Self::Unknown { attempt, .. } => *attempt,
        }
    }
}

/// A job that is not over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its declaration.
    pub spec: Arc<Spec>,
    /// When it was accepted.
    pub accepted: Timestamp,
    /// Whether it is to be cancelled.
    pub cancelled: bool,
    /// The tasks that were started, by their place in the job.
    pub tasks: BTreeMap<u32, TaskState>,
    /// Which of its tasks other shards run, where any do.
    pub delegation: Option<Delegation>,
    /// Whose part it is, where it is one.
    pub of: Option<Origin>,
}

impl Job {
    /// Returns how many tasks this shard itself runs.
    pub fn share(&self) -> u32 {
        self.delegation
            .as_ref()
            .map_or(self.spec.tasks, |delegation| delegation.home)
    }

    /// Returns the declaration of what this shard itself runs; `None` where that is nothing.
    pub fn own(&self) -> Option<Arc<Spec>> {
        let tasks = self.share();
        match tasks {
            0 => None,
            _ if tasks == self.spec.tasks => Some(Arc::clone(&self.spec)),
            _ => Some(Arc::new(Spec {
                tasks,
                ..self.spec.as_ref().clone()
            })),
        }
    }

    /// Returns how many tasks are to be delegated again; none of a job that is cancelled.
    pub fn owed(&self) -> u32 {
        match &self.delegation {
            Some(delegation) if !self.cancelled => delegation.owed(self.spec.tasks),
            _ => 0,
        }
    }
}

/// What is still told of a job that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The team that owned it.
    pub team: Team,
    /// Whether it was a batch, a gang or a service.
    pub kind: Kind,
    /// How urgent it was.
    pub priority: Priority,
    /// How many tasks it had.
    pub tasks: u32,
}

/// Why a job is no longer held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gone {
    /// It ended.
    Ended {
        /// How.
        end: JobEnd,
        /// What it was.
        past: Past,
    },
    /// Another shard has it.
    Moved(ShardId),
}

/// What is known of a settled request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// Whether it ran.
    pub outcome: Outcome,
    /// Its answer, where it was kept.
    pub answer: Option<Answer>,
    /// When this became known.
    pub at: Timestamp,
}

/// A non-idempotent request whose intent is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// What was asked.
    pub digest: Digest,
    /// Names the one flow at a gate that serves it.
    pub nonce: u64,
    /// The one permission to send.
    pub ticket: Ticket,
    /// The target that got it.
    pub target: Option<target::Id>,
    /// The service called.
    pub service: Service,
    /// When it was begun.
    pub at: Timestamp,
    /// When its caller stopped waiting.
    pub deadline: Timestamp,
    /// What became of it, once known.
    pub settled: Option<Settled>,
}

/// A time during which an earlier owner may have lived and kept no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// When its last record was put into its append, by its own clock.
    pub from: Timestamp,
    /// When its successor opened the journal, by the successor's clock.
    pub to: Timestamp,
}

/// What a shard's records add up to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Image {
    /// The highest epoch seen.
    pub epoch: Epoch,
    /// The last sequence counted in that epoch.
    pub sequence: Option<u64>,
    /// When the last counted record was put into its append, by its writer's clock.
    pub last_at: Timestamp,
    /// Whether the last owner may begin requests without the log in an outage.
    pub blind: bool,
    /// The times in which earlier owners may have gone on without the log.
    pub gaps: Vec<Gap>,
    /// The jobs that are not over.
    pub jobs: BTreeMap<JobId, Job>,
    /// The latest jobs that are gone.
    pub gone: BTreeMap<JobId, Gone>,
    /// The parts of other shards' jobs that have ended, until their homes have kept that.
    pub closed: BTreeMap<JobId, Closed>,
    /// The non-idempotent requests remembered.
    pub requests: BTreeMap<Key, Request>,
    /// Settled keys with a time of their own at or before this were dropped.
    pub timed: Timestamp,
    /// Settled keys without one that were begun at or before this were dropped.
    pub opaque: Timestamp,
}

impl Image {
    /// Takes in a record that counts.
    pub(crate) fn apply(&mut self, header: &Header, record: &Record) {
        match record {
            Record::Opened { blind } => {
                self.note_gap(header.at);
                self.blind = *blind;
            }
            Record::Snapshot(_) | Record::Alive => {}
            Record::Accepted { job, spec, at } => self.accept(*job, spec, *at),
            Record::Starting {
                task,
                attempt,
                worker,
            } => {
                let (attempt, worker) = (*attempt, *worker);
                self.set(*task, TaskState::Starting { attempt, worker });
            }
            Record::NotStarted { task, attempt } => {
                let attempt = *attempt;
                self.set(*task, TaskState::NotStarted { attempt });
            }
            Record::Ended {
                task,
                attempt,
                worker,
                end,
            } => {
                let state = TaskState::Ended {
                    attempt: *attempt,
                    worker: *worker,
                    end: *end,
                };
                self.set(*task, state);
            }
            Record::Unknown {
                task,
                attempt,
                worker,
            } => {
                let (attempt, worker) = (*attempt, *worker);
                self.set(*task, TaskState::Unknown { attempt, worker });
            }
            Record::Cancelled { job } => {
                if let Some(job) = self.jobs.get_mut(job) {
                    job.cancelled = true;
                }
            }
            Record::JobEnded { job, end } => self.end_job(*job, *end),
            Record::Moved { job, to } => self.drop_job(*job, Gone::Moved(*to)),
            Record::Intent { .. } => self.intend(record),
            Record::Outcome {
                key,
                ticket,
                outcome,
                answer,
                at,
            } => {
                let settled = Settled {
                    outcome: *outcome,
                    answer: answer.clone(),
                    at: *at,
                };
                self.settle(key, *ticket, settled);
            }
            Record::Forgot { timed, opaque } => self.forget(*timed, *opaque),
            Record::Delegated { job, home, parts } => self.delegate(*job, *home, parts),
            Record::PartEnded { job, part, counts } => self.end_part(*job, *part, *counts),
            Record::Hosted { part, of, spec, at } => self.host(*part, *of, spec, *at),
            Record::Closed { part, of, counts } => self.close(*part, *of, *counts),
            Record::Forgotten { part } => {
                self.closed.remove(part);
            }
        }
        self.last_at = self.last_at.max(header.at);
    }

    /// Notes for how long an earlier owner may have gone on without the log.
    fn note_gap(&mut self, opened: Timestamp) {
        let gap = Gap {
            from: self.last_at,
            to: opened,
        };
        if self.blind && opened.since(self.last_at) >= GAP_MIN {
            self.gaps.push(gap);
        }
        if self.gaps.len() > GAPS_MAX {
            let first = self.gaps.remove(0);
            self.gaps[0].from = first.from;
        }
    }

    fn accept(&mut self, job: JobId, spec: &Arc<Spec>, accepted: Timestamp) {
        if self.gone.contains_key(&job) {
            return;
        }
        self.jobs.entry(job).or_insert_with(|| Job {
            spec: Arc::clone(spec),
            accepted,
            cancelled: false,
            tasks: BTreeMap::new(),
            delegation: None,
            of: None,
        });
    }

    /// Takes tasks from this shard; what it knew of their starts is over.
    fn delegate(&mut self, job: JobId, home: u32, shares: &[Share]) {
        let Some(job) = self.jobs.get_mut(&job) else {
            return;
        };
        job.tasks.retain(|index, _| *index < home);
        let delegation = job.delegation.get_or_insert_default();
        delegation.home = home;
        for share in shares {
            delegation.parts.entry(share.part).or_insert(Part {
                shard: share.shard,
                tasks: share.tasks,
                ended: None,
            });
        }
    }

    fn end_part(&mut self, job: JobId, part: JobId, counts: Counts) {
        let delegation = self
            .jobs
            .get_mut(&job)
            .and_then(|job| job.delegation.as_mut());
        if let Some(part) = delegation.and_then(|delegation| delegation.parts.get_mut(&part)) {
            part.ended.get_or_insert(counts);
        }
    }

    fn host(&mut self, part: JobId, of: Origin, spec: &Arc<Spec>, accepted: Timestamp) {
        if self.closed.contains_key(&part) {
            return;
        }
        self.accept(part, spec, accepted);
        if let Some(job) = self.jobs.get_mut(&part) {
            job.of.get_or_insert(of);
        }
    }

    fn close(&mut self, part: JobId, of: Origin, counts: Counts) {
        self.jobs.remove(&part);
        self.closed.entry(part).or_insert(Closed { of, counts });
    }

    /// Sets a task's state unless a later attempt is known.
    fn set(&mut self, task: TaskId, state: TaskState) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let known = job.tasks.entry(task.index).or_insert(state);
        if state.attempt() >= known.attempt() {
            *known = state;
        }
    }

    fn end_job(&mut self, id: JobId, end: JobEnd) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let past = Past {
            team: job.spec.team.clone(),
            kind: job.spec.kind.clone(),
            priority: job.spec.priority,
            tasks: job.spec.tasks,
        };
        self.drop_job(id, Gone::Ended { end, past });
    }

    fn drop_job(&mut self, job: JobId, gone: Gone) {
        self.jobs.remove(&job);
        self.gone.insert(job, gone);
        while self.gone.len() > GONE_MAX {
            self.gone.pop_first();
        }
    }

    fn intend(&mut self, record: &Record) {
        let Record::Intent {
            key,
            digest,
            nonce,
            ticket,
            target,
            service,
            at,
            deadline,
        } = record
        else {
            return;
        };
        // A second intent says that nothing of the first was sent, even if that record was lost.
        let known = self.requests.get(key);
        if known.is_some_and(|request| request.settled.is_some()) {
            return;
        }
        let request = Request {
            digest: *digest,
            nonce: *nonce,
            ticket: *ticket,
            target: *target,
            service: service.clone(),
            at: *at,
            deadline: *deadline,
            settled: None,
        };
        self.requests.insert(key.clone(), request);
    }

    /// Settles a request; one that was not run frees its key.
    fn settle(&mut self, key: &Key, ticket: Ticket, settled: Settled) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.ticket != ticket {
            return;
        }
        if settled.outcome == Outcome::NotRun {
            self.requests.remove(key);
        } else {
            request.settled = Some(settled);
        }
    }

    fn forget(&mut self, timed: Timestamp, opaque: Timestamp) {
        self.timed = self.timed.max(timed);
        self.opaque = self.opaque.max(opaque);
        self.gaps.retain(|gap| gap.to + GAP_KEPT > timed);
        self.requests.retain(|key, request| {
            let dropped = match key.time() {
                Some(time) => time <= timed,
                None => request.at <= opaque,
            };
            request.settled.is_none() || !dropped
        });
    }
}
