//! Decides whether a submission is refused because the owner can't consider the job in time. Does no I/O.
//!
//! What counts is the owner's backlog of decisions. A job that waits for capacity is not refused.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    config::{
        Queue,
        WORTHLESS_AFTER_OBJECTIVES, //
    },
    engine::Backlog,
    id::JobId,
    job::Spec,
    workspace::WorkspaceName, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

/// The shortest delay after which the caller of a refused job is told to come again. No job is refused for a shorter
/// wait: coming again would take longer.
pub const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// The longest such delay, without jitter. The rate at which the owner works its backlog off can't be told for longer,
/// and a caller that comes again too early is refused at little cost.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// The age from which on the owner's load is not known any more. It spans two hellos of a node and a lost one.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);
/// The part by which retry delays are extended at most, so that callers don't come again all at once.
const MAX_JITTER: f64 = 0.5;
/// The multiplier of Fibonacci hashing, which spreads consecutive job ids.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// How long new work waits for the owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// How long an event waits for the owner's actor.
    pub event_wait: Duration,
    /// How long an open step of an urgent queue waits until a scheduling pass examines it.
    pub urgent_wait: Duration,
    /// How long an open step of another queue waits until a scheduling pass examines it.
    pub other_wait: Duration,
    /// The workspaces whose part of the owner's backlog is as large as their share or larger; `None` among them stands
    /// for the jobs without a workspace. `None` if there are no workspaces: then all jobs are treated alike.
    pub backlogged: Option<Vec<Option<WorkspaceName>>>,
    /// How old this is.
    pub age: Duration,
}

impl Load {
    /// Returns the load of an owner.
    pub fn new(event_wait: Duration, backlog: Backlog) -> Self {
        Self {
            event_wait,
            urgent_wait: backlog.urgent,
            other_wait: backlog.other,
            ..Self::default()
        }
    }

    /// Returns how long it takes until the owner first considers a job of a queue that is accepted now.
    pub fn wait(&self, queue: &Queue) -> Duration {
        let pass_wait = match queue.is_urgent() {
            true => self.urgent_wait,
            false => self.other_wait,
        };
        self.event_wait.saturating_add(pass_wait)
    }

    /// Returns whether some job may be refused under this load.
    pub(crate) fn may_refuse(&self) -> bool {
        let pass_wait = self.urgent_wait.max(self.other_wait);
        self.event_wait.saturating_add(pass_wait) >= MIN_RETRY_DELAY
    }

    /// Returns whether the jobs of a workspace may be refused: only those of one that causes the backlog.
    fn is_backlogged(&self, workspace: Option<&WorkspaceName>) -> bool {
        let backlogged = self.backlogged.as_deref();
        backlogged.is_none_or(|names| names.iter().any(|name| name.as_ref() == workspace))
    }
}

/// Decides about a job that is submitted now. Returns after which time its caller should come again if the job is to be
/// refused, because its result would be worth nothing by the time the owner has considered and workers have run it.
///
/// By then the backlog is worked off so far that the job would be in time, if nothing is added to it.
pub fn retry_delay(
    load: &Load,
    queue: &Queue,
    workspace: Option<&WorkspaceName>,
    job: JobId,
    spec: &Spec,
) -> Option<Duration> {
    // A result of a scheduled job or of a long-running service doesn't lose its value with the time since its
    // submission.
    if spec.schedule.is_some() || spec.steps.iter().any(|step| step.long_running) {
        return None;
    }
    let critical_path = spec.critical_paths().into_iter().max().unwrap_or_default();
    let objective = queue.objective(critical_path);
    let worthless_after = objective.saturating_mul(WORTHLESS_AFTER_OBJECTIVES);
    let wait = load.wait(queue);
    let longest_wait = worthless_after.saturating_sub(critical_path);
    if wait <= longest_wait.max(MIN_RETRY_DELAY) || !load.is_backlogged(workspace) {
        return None;
    }
    let wait_in_time = objective.saturating_sub(critical_path);
    let delay = wait
        .saturating_sub(wait_in_time)
        .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    Some(delay.saturating_add(jitter(delay, job)))
}

/// Returns a part of a delay, up to [`MAX_JITTER`], that depends on the job.
fn jitter(delay: Duration, job: JobId) -> Duration {
    let hash = job.0.wrapping_mul(HASH_MULTIPLIER);
    let part = hash as f64 / u64::MAX as f64 * MAX_JITTER;
    Duration::try_from_secs_f64(delay.as_secs_f64() * part).unwrap_or_default()
}

/// The load of the owner as this node knows it; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerLoad(Arc<Mutex<Option<(Load, Instant)>>>);

impl OwnerLoad {
    /// Records the load, as the owner's actor measured it now, or as the owner told in reply to a hello sent at `asked`.
    pub(crate) fn record(&self, load: Load, asked: Instant) {
        let measured = asked.checked_sub(load.age);
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = measured.map(|at| (load, at));
    }

    /// Returns the load, unless it is too old.
    pub(crate) fn get(&self) -> Option<Load> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (load, at) = known.as_ref()?;
        let age = at.elapsed();
        (age <= MAX_LOAD_AGE).then(|| Load {
            age,
            ..load.clone()
        })
    }
}
