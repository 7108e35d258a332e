//! The check that no step waits long although it could start.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use fulmarpier_cell::{
    effect::LogRecord,
    event::ExitReason,
    id::{
        JobId,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    job::Step,
    record::Accepted,
};
use fulmarpier_state::clock::Timestamp;

use super::{
    MAX_ATTEMPTS, World,
    worker::{
        TASK_SIZE,
        Worker, //
    },
};

/// How long a step may wait although it could start.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// How long a lost worker may take to return and report a failure, unless it is gone.
const LATE_RETURN_PERIOD: Duration = Duration::from_secs(12);
/// How long after an outage or the start of a worker the engine may not yet use a worker.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// One in this many workers may be kept empty for a task that runs alone.
const WORKERS_PER_EMPTIED_WORKER: usize = 8;

/// What the check remembers of a history.
#[derive(Debug, Default)]
pub(super) struct Waits {
    /// Whether the check applies.
    pub(super) is_checked: bool,
    /// Since when each open step could start.
    startable_since: BTreeMap<StepId, Timestamp>,
    /// The runs whose failure an owner has learnt.
    failed_runs: BTreeMap<TaskId, BTreeSet<Run>>,
    /// The lost runs that the owner may still learn to have failed, by worker, with the time until then.
    unsettled_runs: BTreeMap<WorkerId, Vec<(TaskId, Run, Timestamp)>>,
    /// The workers that the owner knows not to be listed.
    unlisted: BTreeSet<WorkerId>,
    /// The steps with a task under which a worker has crashed. Such a task may wait for an empty worker.
    crashed: BTreeSet<StepId>,
}

impl Waits {
    /// Clears what depends on the memory of an owner, as there is a new one.
    pub(super) fn reset_owner(&mut self) {
        self.startable_since.clear();
        self.unsettled_runs.clear();
        self.unlisted.clear();
    }

    /// Notes a log record of the engine.
    pub(super) fn note(&mut self, record: &LogRecord, now: Timestamp) {
        match record {
            LogRecord::Ended {
                task,
                run,
                reason: ExitReason::Failed,
                ..
            } => {
                self.failed_runs.entry(*task).or_default().insert(*run);
            }
            LogRecord::Crashed { task, .. } => {
                self.crashed.insert(task.step);
            }
            LogRecord::Worker {
                worker,
                belief: "unlisted",
                ..
            } => {
                self.unlisted.insert(worker.clone());
            }
            LogRecord::Worker {
                worker,
                belief: "gone",
                ..
            } if self.unlisted.contains(worker) => {
                self.unsettled_runs.remove(worker);
            }
            LogRecord::Lost {
                task,
                run,
                worker,
                why: "lapsed" | "gone",
                ..
            } if !self.unlisted.contains(worker) => {
                let unsettled = self.unsettled_runs.entry(worker.clone()).or_default();
                unsettled.push((*task, *run, now + LATE_RETURN_PERIOD));
            }
            _ => {}
        }
    }

    /// Returns the runs of a task, or of a gang, that have failed.
    fn failed_runs(&self, task: TaskId, is_gang: bool) -> BTreeSet<Run> {
        let failed = self.failed_runs.iter();
        let failed = failed.filter(|(other, _)| match is_gang {
            true => other.step == task.step,
            false => **other == task,
        });
        failed.flat_map(|(_, runs)| runs.iter().copied()).collect()
    }

    /// Returns whether a task has an attempt left even if all its lost runs are reported to have failed.
    fn has_attempt_left(&self, task: TaskId, is_gang: bool, now: Timestamp) -> bool {
        let mut used = self.failed_runs(task, is_gang);
        let lost = self.unsettled_runs.values().flatten();
        let lost = lost.filter(|(lost, _, until)| *lost == task && *until >= now);
        used.extend(lost.map(|(_, run, _)| *run));
        used.len() < MAX_ATTEMPTS as usize
    }
}

impl World {
    /// Checks that no open step that has free capacity, an attempt left and advice available waits long.
    ///
    /// The check leaves out steps under whose tasks workers have crashed, gangs of which some members are under way,
    /// and jobs of workspaces, which may be at their limits.
    pub(super) fn check_waits(&mut self) {
        if !self.waits.is_checked {
            return;
        }
        let startable = match self.is_settled() {
            true => self.startable_steps(),
            false => BTreeSet::new(),
        };
        let now = self.now;
        let since = &mut self.waits.startable_since;
        since.retain(|step, _| startable.contains(step));
        for step in startable {
            let waited = now.since(*since.entry(step).or_insert(now));
            if waited > MAX_WAIT {
                let line = format!("{step} waits for {waited:?} although it could start");
                self.violations.push(line);
            }
        }
    }

    /// Returns whether the store has been available for some time and the owner knows what is evacuated.
    fn is_settled(&self) -> bool {
        self.outage_end + SETTLING_TIME <= self.now && self.owner_evacuation.is_some()
    }

    fn startable_steps(&self) -> BTreeSet<StepId> {
        let waiting: Vec<(StepId, Vec<u16>)> = self.engine.waiting_tasks().collect();
        let tasks: usize = waiting.iter().map(|(_, tasks)| tasks.len()).sum();
        let wanted = tasks + self.engine.counts().allocations;
        let startable = waiting.into_iter().filter(|(id, tasks)| {
            let job = self.accepted_job(id.job);
            job.is_some_and(|job| self.could_start(job, *id, tasks, wanted))
        });
        startable.map(|(id, _)| id).collect()
    }

    fn accepted_job(&self, id: JobId) -> Option<&Accepted> {
        let mut accepted = self.accepted.iter();
        let job = accepted.find(|accepted| accepted.job == id)?;
        (job.workspace.is_none() && !self.cancelled.contains_key(&id)).then_some(job)
    }

    /// Returns whether waiting tasks of a step could start, given the number of tasks that wait or hold capacity.
    fn could_start(&self, job: &Accepted, id: StepId, waiting: &[u16], wanted: usize) -> bool {
        let step = &job.spec.steps[usize::from(id.step)];
        let is_partly_started = step.gang && waiting.len() < usize::from(step.count);
        if is_partly_started || self.waits.crashed.contains(&id) {
            return false;
        }
        let mut has_attempt = waiting.iter().map(|index| {
            self.waits
                .has_attempt_left(id.task(*index), step.gang, self.now)
        });
        let has_attempt = match step.gang {
            true => has_attempt.all(|has| has),
            false => has_attempt.any(|has| has),
        };
        has_attempt && self.free_capacity(job, step) >= wanted
    }

    /// Returns how many tasks fit on the workers that may run a step, without those that may be kept empty.
    fn free_capacity(&self, job: &Accepted, step: &Step) -> usize {
        let usable = self.workers.values();
        let usable = usable.filter(|worker| self.may_run(worker, job, step));
        let mut capacities: Vec<usize> = usable.map(task_capacity).collect();
        capacities.sort_unstable();
        let emptied = self.workers.len().div_ceil(WORKERS_PER_EMPTIED_WORKER);
        capacities.iter().rev().skip(emptied).sum()
    }

    fn may_run(&self, worker: &Worker, job: &Accepted, step: &Step) -> bool {
        let slot = u64::from(worker.slot);
        let is_advised = job.queue.advice.is_none() || !(slot + job.job.0).is_multiple_of(3);
        let label = step.requires.as_ref();
        let is_up = worker.unreachable_until + SETTLING_TIME <= self.now
            && worker.started_at() + SETTLING_TIME <= self.now
            && worker.leaves_at.is_none()
            && worker.overwritten_until.is_none();
        is_advised
            && is_up
            && !self.evacuated.contains_key(&worker.data_centre())
            && !self.is_evacuated_for_owner(&worker.id)
            && label.is_none_or(|label| worker.registration().labels.contains(label))
    }
}

/// Returns how many tasks of the usual size fit on an empty worker.
fn task_capacity(worker: &Worker) -> usize {
    let capacity = worker.registration().capacity;
    let count = capacity.cpu.get() / TASK_SIZE.cpu.get();
    usize::try_from(count).unwrap_or(usize::MAX)
}
