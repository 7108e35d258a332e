//! The description of a job that a caller submits: steps of tasks.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    quota::Limit,
    resource::Resources, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The maximum number of tasks of a job that may be open at a time. It limits what one submission costs: the tasks that
/// an owner holds in memory, and the size of the record of their progress.
const MAX_TASKS: u32 = 5_000;
/// The maximum number of steps of a job.
pub const MAX_STEPS: usize = 100;

/// A step: tasks of one size that may run in parallel.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub count: u16,
    /// The resources that each task takes.
    pub size: Resources,
    /// The estimated duration of each task.
    pub estimate: Duration,
    /// The indices of earlier steps that must complete first.
    pub after: Vec<u16>,
    /// Whether the tasks save their progress in checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks form a gang: they run only together and end together.
    pub gang: bool,
    /// Whether the gang is slower when it spans several racks.
    pub same_rack: bool,
    /// A label that the worker must have.
    pub requires: Option<Arc<str>>,
    /// The rack that holds the step's data; the tasks are slower elsewhere.
    pub affinity: Option<Arc<str>>,
    /// The maximum number of its tasks on one worker.
    pub anti_affinity: Option<u16>,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// The image that the tasks run; tasks with the same image behave alike.
    pub image: Option<Arc<str>>,
    /// The limit that the tail latency of its tasks must stay below.
    pub target: Option<Duration>,
    /// Whether the tasks are best-effort: they use only the processor time that other tasks leave idle.
    pub is_best_effort: bool,
    /// The maximum number of its tasks that the system may interrupt at the same time.
    pub max_unavailable: u16,
}

/// The times at which the steps are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// The number of occurrences.
    pub times: u32,
    /// The start of the first occurrence, since the Unix epoch.
    pub first: Duration,
    /// The time between the starts of two occurrences.
    pub period: Duration,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// The payload that the tasks receive; opaque to the engine.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// The schedule of the steps; `None` runs them once, at once.
    pub schedule: Option<Schedule>,
}

/// The reason why a job is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// The job has no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// The job has too many steps.
    #[error("the job has more than {MAX_STEPS} steps")]
    TooManySteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// The job has too many tasks.
    #[error("the job has more than {MAX_TASKS} tasks")]
    TooManyTasks,
    /// A step depends on itself or on a later step.
    #[error("step {0} comes after a step that is not earlier")]
    Order(usize),
    /// What a step needs at once exceeds the limit of its workspace.
    #[error("step {0} needs more at once than its workspace may have running")]
    Limit(usize),
    /// A long-running step repeats so often that too many of its tasks would run at the same time.
    #[error("the long-running tasks of all repeats are more than {MAX_TASKS}")]
    TooManyLongRunning,
    /// The description of the job is larger than a record of the store.
    #[error("the job is described in {bytes} bytes; {most} can be stored")]
    TooLarge {
        /// The size of its record, in bytes.
        bytes: usize,
        /// The greatest size of a record, in bytes.
        most: usize,
    },
    /// The job repeats but has no period.
    #[error("a job that repeats needs a period")]
    NoPeriod,
}

impl Step {
    /// Returns what has to start at once: one task, or all members of a gang; `None` if the sum overflows.
    fn min_resources(&self) -> Option<Resources> {
        let count = if self.gang { self.count } else { 1 };
        self.size.checked_mul(count.into())
    }
}

impl Spec {
    /// Checks that each step can run within the limit of a workspace that runs nothing else.
    ///
    /// # Errors
    ///
    /// Fails with the first step that can't.
    pub fn check_limit(&self, limit: &Limit) -> Result<(), Invalid> {
        let fits = |step: &Step| {
            let needed = step.min_resources();
            needed.is_some_and(|needed| limit.admits(Resources::ZERO, needed))
        };
        match self.steps.iter().position(|step| !fits(step)) {
            Some(index) => Err(Invalid::Limit(index)),
            None => Ok(()),
        }
    }

    /// Checks the rules that concern several parts of the job.
    ///
    /// # Errors
    ///
    /// Fails with the first violation.
    pub fn check(&self) -> Result<(), Invalid> {
        if self.steps.is_empty() {
            return Err(Invalid::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(Invalid::TooManySteps);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Invalid::NoTasks(index));
            }
            if step.after.iter().any(|after| usize::from(*after) >= index) {
                return Err(Invalid::Order(index));
            }
        }
        if self.tasks_per_occurrence() > MAX_TASKS {
            return Err(Invalid::TooManyTasks);
        }
        // An occurrence with a long-running step never ends.
        let is_long_running = self.steps.iter().any(|step| step.long_running);
        let occurrences = usize::try_from(self.occurrences()).unwrap_or(usize::MAX);
        if is_long_running && occurrences > self.max_open_occurrences() {
            return Err(Invalid::TooManyLongRunning);
        }
        let repeats = self.schedule.filter(|schedule| schedule.times > 1);
        if repeats.is_some_and(|schedule| schedule.period.is_zero()) {
            return Err(Invalid::NoPeriod);
        }
        Ok(())
    }

    fn tasks_per_occurrence(&self) -> u32 {
        self.steps.iter().map(|step| u32::from(step.count)).sum()
    }

    /// Returns how many occurrences the job has.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times)
    }

    /// Returns how many occurrences may be open at a time.
    ///
    /// Occurrences that are due while so many are open, because they overlap or because the job makes up for the past,
    /// begin as others are done.
    pub fn max_open_occurrences(&self) -> usize {
        let most = (MAX_TASKS / self.tasks_per_occurrence().max(1)).max(1);
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Returns for each step the estimated length of the longest chain of steps that begins with it.
    pub fn critical_paths(&self) -> Vec<Duration> {
        let mut longest = vec![Duration::ZERO; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            longest[index] += step.estimate;
            for after in &step.after {
                let after = usize::from(*after);
                longest[after] = longest[after].max(longest[index]);
            }
        }
        longest
    }
}
