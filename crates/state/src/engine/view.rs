//! What the engine shows of itself.

use std::{
    fmt,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    core::Engine,
    effect::Outcome,
    job::{
        Counts,
        Job,
        Stage, //
    },
    task::Phase,
};
use crate::{
    clock::Timestamp,
    explain::Explanation,
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::{
        Priority,
        Spec, //
    },
    learn::Basis,
    name::Team,
    placement::Total,
    quota::Account,
    resource::Resources,
};

/// The state of a job in one word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// None of its tasks has been started.
    Waiting,
    /// Some of its tasks have been started.
    Running,
    /// It fails on several workers and is held.
    Held,
    /// It was cancelled and some of its tasks still run.
    Cancelling,
    /// It has ended.
    Ended(Outcome),
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Held => "held",
            Self::Cancelling => "cancelling",
            Self::Ended(outcome) => outcome.word(),
        })
    }
}

/// One job with the states of its tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// Its declaration.
    pub spec: Arc<Spec>,
    /// When it was submitted.
    pub submitted: Timestamp,
    /// Its state.
    pub state: State,
    /// How many tasks it has.
    pub tasks: u32,
    /// Tasks that wait for their start.
    pub waiting: u32,
    /// Tasks whose start is under way or unknown.
    pub starting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that have reached their final state.
    pub ended: Counts,
}

/// One started task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskView {
    /// The task.
    pub id: TaskId,
    /// Which start of it this is.
    pub attempt: Attempt,
    /// Where it is.
    pub worker: WorkerId,
    /// How far its start has come.
    pub phase: Phase,
    /// What it may use.
    pub size: Resources,
    /// When its start was decided.
    pub begun: Timestamp,
    /// Whether it was told to stop.
    pub stopping: bool,
}

/// What waits, by class and by team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Waiting jobs by class.
    pub classes: Vec<(Priority, u32)>,
    /// Teams with waiting jobs, by name.
    pub teams: Vec<(Team, u32)>,
}

/// A shard's load in a few numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// What all workers offer.
    pub capacity: Total,
    /// What they have left.
    pub free: Total,
    /// Tasks that could start and wait for room.
    pub waiting_tasks: u32,
    /// Jobs that wait.
    pub waiting_jobs: u32,
}

impl Engine {
    /// Returns one job, also for a while after it has ended.
    pub fn job(&self, id: JobId) -> Option<JobView> {
        self.jobs.get(&id).map(|job| view(id, job))
    }

    /// Returns the declaration of a job.
    pub fn spec(&self, id: JobId) -> Option<&Arc<Spec>> {
        self.jobs.get(&id).map(|job| &job.spec)
    }

    /// Returns how long a task of a job is expected to run, where anything is known of that.
    pub fn expected_runtime(&self, id: JobId) -> Option<Duration> {
        let job = self.jobs.get(&id)?;
        let estimate = self.estimator.runtime(&job.key, job.spec.runtime);
        (estimate.basis != Basis::Default).then_some(estimate.p50)
    }

    /// Iterates over all jobs in no order.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> + '_ {
        self.jobs.iter().map(|(id, job)| view(*id, job))
    }

    /// Returns the started tasks of a job.
    pub fn tasks(&self, id: JobId) -> Vec<TaskView> {
        let job = self.jobs.get(&id);
        let tasks = job.into_iter().flat_map(|job| job.active.iter());
        let view = |(index, task): (&u32, &super::task::Task)| TaskView {
            id: TaskId::new(id, *index),
            attempt: task.attempt,
            worker: task.worker,
            phase: task.phase,
            size: task.size,
            begun: task.begun,
            stopping: task.halt.is_some(),
        };
        tasks.map(view).collect()
    }

    /// Returns what waits, by class and by team.
    pub fn queue(&self) -> Waiting {
        let classes = [Priority::Urgent, Priority::Normal, Priority::Low];
        let classes = classes.map(|class| (class, self.queue.class(class)));
        let teams = self.ledger.accounts();
        let teams = teams.map(|(slot, account)| (account.team.clone(), self.queue.team(slot)));
        let mut teams: Vec<_> = teams.filter(|(_, count)| *count > 0).collect();
        teams.sort();
        Waiting {
            classes: classes.to_vec(),
            teams,
        }
    }

    /// Returns the limits and use of all teams.
    pub fn teams(&self) -> impl Iterator<Item = &Account> {
        self.ledger.accounts().map(|(_, account)| account)
    }

    /// Returns the load in a few numbers.
    pub fn digest(&self) -> Digest {
        let ready = |job: JobId| self.jobs.get(&job).map_or(0, Job::ready);
        Digest {
            capacity: self.index.total_capacity(),
            free: self.index.total_free(),
            waiting_tasks: self.queue.jobs().map(ready).sum(),
            waiting_jobs: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
        }
    }

    /// Returns why a job is where it is, by the record of its last decision.
    pub fn explain(&self, id: JobId, now: Timestamp) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        Some(match job.stage {
            Stage::Ended(_) => Explanation::Ended,
            Stage::Closing | Stage::Doomed => Explanation::Cancelling,
            Stage::Held(until) => Explanation::Held { until },
            Stage::Open => self.explain_open(id, job, now),
        })
    }

    fn explain_open(&self, id: JobId, job: &Job, now: Timestamp) -> Explanation {
        let own = self.reservations.values().find(|r| r.job == id);
        if let Some(reservation) = own {
            let until = reservation.until;
            return Explanation::Reserved { until };
        }
        if let Some(entry) = self.queue.get(id) {
            return self.explain_waiting(job, entry, now);
        }
        if self.unplaceable.contains(&id) {
            let size = job.spec.size;
            return Explanation::AwaitingWorkers { size };
        }
        let retry = job.delayed.values().map(|(at, _)| *at).min();
        match retry {
            Some(until) => Explanation::Backoff { until },
            None => Explanation::Started,
        }
    }

    fn explain_waiting(
        &self,
        job: &Job,
        entry: &crate::queue::Entry,
        now: Timestamp,
    ) -> Explanation {
        let account = self.ledger.account(job.slot);
        if self.queue.capped(entry)
            && let Some(limit) = account.limit.resources
        {
            let used = account.used;
            return Explanation::QuotaFull { used, limit };
        }
        let Some(park) = self.queue.parked(entry) else {
            return Explanation::Turn;
        };
        let first = self.reservations.values().find(|r| r.class >= entry.class);
        match first {
            Some(held) if held.until > now => {
                let until = held.until;
                let job = held.job;
                Explanation::BehindReservation { job, until }
            }
            _ => Explanation::NoRoom {
                size: park.size,
                free: park.free,
                since: park.since,
            },
        }
    }
}

fn view(id: JobId, job: &Job) -> JobView {
    let running = job.active.values();
    let running = running.filter(|task| task.phase == Phase::Running);
    let running = u32::try_from(running.count()).unwrap_or(u32::MAX);
    let active = u32::try_from(job.active.len()).unwrap_or(u32::MAX);
    let state = match job.stage {
        Stage::Ended(outcome) => State::Ended(outcome),
        Stage::Closing | Stage::Doomed => State::Cancelling,
        Stage::Held(_) => State::Held,
        Stage::Open if active > 0 || job.counts.total() > 0 => State::Running,
        Stage::Open => State::Waiting,
    };
    JobView {
        id,
        spec: Arc::clone(&job.spec),
        submitted: job.submitted,
        state,
        tasks: job.size,
        waiting: job.waiting(),
        starting: active - running,
        running,
        ended: job.counts,
    }
}
