//! The state of a job: its occurrences, stages and tasks.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    quota, //
};

use super::{
    Engine,
    Slot,
    WaitReason,
    assembly::Assembly, //
};
use crate::{
    advice::Advice,
    id::{
        Incarnation,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    job::{
        Spec,
        Step, //
    },
    occurrence,
    record::{
        Accepted,
        Crash,
        Crashes,
        Failures,
        Outcome,
        Progress,
        StepProgress, //
    },
    speed::Baseline,
    workspace::WorkspaceName,
};

/// A run on a worker that was declared lost.
#[derive(Clone, Debug)]
pub(super) struct LostRun {
    pub(super) run: Run,
    pub(super) worker: WorkerId,
    /// The incarnation of the worker, if known.
    pub(super) incarnation: Option<Incarnation>,
    /// Until when the worker may return and report that the run failed; `None` if no such report counts any more.
    pub(super) may_fail_until: Option<Timestamp>,
}

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    /// The run that may be under way.
    pub(super) active_run: Option<(Slot, Run)>,
    /// Other runs that may be under way and are being stopped; the task starts again only once all are gone.
    pub(super) stopping: Vec<(Slot, Run)>,
    pub(super) is_done: bool,
    /// The runs that have failed; those of a gang are counted at its first member.
    pub(super) failures: Vec<Run>,
    /// The crashes of workers that had just started the task.
    pub(super) crashes: Vec<Crash>,
    /// When the task began to wait for an empty worker.
    pub(super) waits_for_empty_since: Option<Timestamp>,
    /// The runs on workers that were declared lost.
    pub(super) lost_runs: Vec<LostRun>,
    /// The last run that was started.
    pub(super) last_run: Run,
    pub(super) checkpoint: Option<Arc<str>>,
    /// The worker on which the task failed last; avoided while others have free capacity.
    pub(super) avoided_worker: Option<Slot>,
}

/// The state of one step of one occurrence.
#[derive(Clone, Debug)]
pub(super) struct Stage {
    pub(super) tasks: Vec<Task>,
    /// Tasks that are neither done nor under way.
    pub(super) waiting: BTreeSet<u16>,
    pub(super) done: u16,
    /// How many tasks are done according to the store; later steps open once this is all of them.
    pub(super) recorded_done: u16,
    /// When the step was opened: its predecessors are done, so that it may start.
    pub(super) opened_at: Option<Timestamp>,
    pub(super) advice: Advice,
    /// The wait reason that was last logged.
    pub(super) wait_reason: Option<WaitReason>,
    /// When the wait reason was last evaluated.
    pub(super) wait_reason_at: Timestamp,
    /// The current run of a gang, once an order to start one of its members was sent.
    pub(super) assembly: Option<Assembly>,
    /// The run of a gang that was last reported to lack members.
    pub(super) reported_run: Option<Run>,
    /// The rate of its tasks on a typical worker, once a run has been observed.
    pub(super) baseline: Option<Box<Baseline>>,
    /// How many gangs of its queue had started when the step was opened.
    pub(super) gangs_started_before: u64,
    /// When a scheduling pass last started a task of the step.
    pub(super) last_start: Option<Timestamp>,
}

impl Task {
    /// Adds a run that may be under way; returns whether it is the only one.
    pub(super) fn note_run(&mut self, slot: Slot, run: Run) -> bool {
        self.last_run = self.last_run.max(run);
        match self.active_run {
            None => {
                self.active_run = Some((slot, run));
                true
            }
            Some(active) => {
                if active != (slot, run) && !self.stopping.contains(&(slot, run)) {
                    self.stopping.push((slot, run));
                }
                false
            }
        }
    }

    /// Returns how many lost runs may still be reported to have failed.
    fn unsettled_runs(&self, now: Timestamp) -> usize {
        let lost = self.lost_runs.iter();
        let unsettled = lost.filter(|lost| {
            lost.may_fail_until.is_some_and(|until| until > now)
                && !self.failures.contains(&lost.run)
        });
        unsettled.count()
    }

    /// Notes that no report by a worker that a lost run failed there counts any more.
    pub(super) fn settle_lost_run(&mut self, worker: &WorkerId, run: Run) {
        let lost = self.lost_runs.iter_mut();
        for lost in lost.filter(|lost| lost.run == run && lost.worker == *worker) {
            lost.may_fail_until = None;
        }
    }

    /// Returns whether a report by an incarnation of a worker that a run failed there comes too late to count.
    ///
    /// An order that arrives late may start the run on the next incarnation, whose reports count.
    pub(super) fn is_failure_excluded(
        &self,
        worker: &WorkerId,
        incarnation: Option<Incarnation>,
        run: Run,
    ) -> bool {
        let lost = self.lost_runs.iter();
        let mut excluded = lost.filter(|lost| lost.may_fail_until.is_none());
        incarnation.is_some()
            && excluded.any(|lost| {
                lost.run == run && lost.worker == *worker && lost.incarnation == incarnation
            })
    }

    /// Removes a run that is certainly gone; returns whether it was the last that may have been under way.
    pub(super) fn end_run(&mut self, slot: Slot, run: Run) -> bool {
        if self.active_run != Some((slot, run)) {
            self.stopping.retain(|other| *other != (slot, run));
            return false;
        }
        self.active_run = self.stopping.pop();
        self.active_run.is_none()
    }
}

impl Stage {
    fn new(step: &Step, recorded: &StepProgress) -> Self {
        let mut stage = Self {
            tasks: vec![Task::default(); usize::from(step.count)],
            waiting: BTreeSet::new(),
            done: 0,
            recorded_done: 0,
            opened_at: None,
            advice: Advice::default(),
            wait_reason: None,
            wait_reason_at: Timestamp::ZERO,
            assembly: None,
            reported_run: None,
            baseline: None,
            gangs_started_before: 0,
            last_start: None,
        };
        for failures in &recorded.failures {
            if let Some(task) = stage.tasks.get_mut(usize::from(failures.index)) {
                task.failures.clone_from(&failures.runs);
            }
        }
        for crashes in &recorded.crashes {
            if let Some(task) = stage.tasks.get_mut(usize::from(crashes.index)) {
                task.crashes.clone_from(&crashes.crashes);
            }
        }
        for index in 0..step.count {
            if recorded.is_done(index) {
                stage.tasks[usize::from(index)].is_done = true;
                stage.done += 1;
            } else {
                stage.waiting.insert(index);
            }
        }
        stage.recorded_done = stage.done;
        stage
    }

    /// Returns whether all tasks are done.
    fn is_done(&self) -> bool {
        usize::from(self.done) == self.tasks.len()
    }

    pub(super) fn task(&self, index: u16) -> Option<&Task> {
        self.tasks.get(usize::from(index))
    }

    pub(super) fn task_mut(&mut self, index: u16) -> Option<&mut Task> {
        self.tasks.get_mut(usize::from(index))
    }

    /// Returns the progress to record.
    pub(super) fn progress(&self) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in (0u16..).zip(&self.tasks) {
            if task.is_done {
                progress.set_done(index);
            }
            if !task.failures.is_empty() {
                progress.failures.push(Failures {
                    index,
                    runs: task.failures.clone(),
                });
            }
            if !task.crashes.is_empty() {
                progress.crashes.push(Crashes {
                    index,
                    crashes: task.crashes.clone(),
                });
            }
        }
        progress
    }

    /// Returns how many attempts a task may have used: its failures, and lost runs that may turn out to have failed.
    pub(super) fn attempts_used(&self, index: u16, is_gang: bool, now: Timestamp) -> usize {
        let state = self.task(index);
        let lost = state.map_or(0, |task| task.unsettled_runs(now));
        let counted = if is_gang { 0 } else { index };
        let failed = self.task(counted).map_or(0, |task| task.failures.len());
        failed + lost
    }

    /// Returns how many tasks have a run that may be under way.
    pub(super) fn active_count(&self) -> usize {
        let active = self.tasks.iter().filter(|task| task.active_run.is_some());
        active.count()
    }
}

/// The state of a job in the engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) accepted: Accepted,
    /// The account of its workspace, if it belongs to one.
    pub(super) account: Option<quota::Slot>,
    /// Whether it lies beyond the number of jobs per second that its workspace can rely on.
    pub(super) is_beyond_rate: bool,
    pub(super) is_cancelled: bool,
    /// Whether a task of the job is known to have run on a worker, by this owner or from the store.
    pub(super) has_begun: bool,
    /// The occurrences that are done according to the store.
    finished: occurrence::Set,
    /// All occurrences before this one have begun.
    next_occurrence: u32,
    /// The other occurrences that have begun.
    pub(super) occurrences: BTreeMap<u32, Vec<Stage>>,
    /// The outcome, once it is decided.
    pub(super) outcome: Option<Outcome>,
    /// The outcome according to the store, which is what callers see.
    pub(super) recorded_outcome: Option<Outcome>,
    /// How long the job may take from its start to be in time.
    objective: Duration,
    /// The length of the critical path from the start of each step on, by the estimates.
    critical_paths: Vec<Duration>,
}

/// A job that takes longer than this multiple of its latency objective is worth nothing.
const WORTHLESS_AFTER_OBJECTIVES: u32 = 3;

impl Job {
    pub(super) fn new(accepted: Accepted, progress: &Progress) -> Self {
        let spec = accepted.spec.clone();
        let critical_paths = spec.critical_paths();
        let critical_path = critical_paths.iter().max().copied().unwrap_or_default();
        let queue = &accepted.queue;
        let objective = critical_path.mul_f64(queue.stretch.max(0.0)) + queue.objective_offset;
        let mut job = Self {
            account: None,
            is_beyond_rate: false,
            is_cancelled: false,
            has_begun: progress.has_begun(),
            finished: progress.finished.clone(),
            next_occurrence: 0,
            occurrences: BTreeMap::new(),
            outcome: progress.outcome,
            recorded_outcome: progress.outcome,
            critical_paths,
            objective,
            accepted,
        };
        for (occurrence, steps) in &progress.occurrences {
            job.begin_occurrence(*occurrence, steps);
        }
        job.drop_finished(&job.done_occurrences());
        job
    }

    pub(super) fn workspace(&self) -> Option<&WorkspaceName> {
        self.accepted.workspace_name()
    }

    pub(super) fn spec(&self) -> &Arc<Spec> {
        &self.accepted.spec
    }

    /// Returns whether the job is cancelled or ended, so that none of its tasks may start.
    pub(super) const fn is_over(&self) -> bool {
        self.is_cancelled || self.outcome.is_some()
    }

    /// Creates the stages of an occurrence from its recorded progress, unless it exists.
    pub(super) fn begin_occurrence(&mut self, occurrence: u32, recorded: &[StepProgress]) {
        let none = StepProgress::default();
        let stages = self
            .accepted
            .spec
            .steps
            .iter()
            .enumerate()
            .map(|(index, step)| Stage::new(step, recorded.get(index).unwrap_or(&none)))
            .collect();
        self.occurrences.entry(occurrence).or_insert(stages);
    }

    /// Returns the next occurrence to begin with the time at which it is due, unless all have begun or too many are
    /// open.
    pub(super) fn next_occurrence(&mut self) -> Option<(u32, Timestamp)> {
        if self.occurrences.len() >= self.spec().max_open_occurrences() {
            return None;
        }
        let mut next = self.finished.next_missing(self.next_occurrence);
        while self.occurrences.contains_key(&next) {
            next = self.finished.next_missing(next + 1);
        }
        self.next_occurrence = next;
        (next < self.spec().occurrences()).then(|| (next, self.due_time(next)))
    }

    /// Returns when an occurrence may begin.
    fn due_time(&self, occurrence: u32) -> Timestamp {
        match self.spec().schedule {
            Some(schedule) => Timestamp::ZERO + schedule.first + schedule.period * occurrence,
            None => Timestamp::ZERO,
        }
    }

    /// Returns whether an occurrence is done according to the store, so that nothing else is known of it.
    pub(super) fn has_finished(&self, occurrence: u32) -> bool {
        self.finished.contains(occurrence)
    }

    /// Returns whether an occurrence is due and has not begun.
    pub(super) fn may_begin(&self, occurrence: u32, now: Timestamp) -> bool {
        !self.has_finished(occurrence)
            && !self.occurrences.contains_key(&occurrence)
            && occurrence < self.spec().occurrences()
            && self.due_time(occurrence) <= now
    }

    /// Returns the occurrences that are done, though perhaps not yet according to the store.
    pub(super) fn done_occurrences(&self) -> Vec<u32> {
        let begun = self.occurrences.iter();
        let done = begun.filter(|(_, stages)| stages.iter().all(Stage::is_done));
        done.map(|(occurrence, _)| *occurrence).collect()
    }

    /// Drops occurrences that are done according to the store.
    pub(super) fn drop_finished(&mut self, occurrences: &[u32]) {
        for occurrence in occurrences {
            self.occurrences.remove(occurrence);
            self.finished.insert(*occurrence);
        }
    }

    pub(super) fn step(&self, id: StepId) -> Option<&Step> {
        self.accepted.spec.steps.get(usize::from(id.step))
    }

    pub(super) fn stage(&self, id: StepId) -> Option<&Stage> {
        let stages = self.occurrences.get(&id.occurrence)?;
        stages.get(usize::from(id.step))
    }

    pub(super) fn stage_mut(&mut self, id: StepId) -> Option<&mut Stage> {
        let stages = self.occurrences.get_mut(&id.occurrence)?;
        stages.get_mut(usize::from(id.step))
    }

    /// Returns whether every task of every occurrence is done.
    pub(super) fn is_done(&self) -> bool {
        let begun = u32::try_from(self.occurrences.len()).unwrap_or(u32::MAX);
        let mut stages = self.occurrences.values().flatten();
        self.finished.len().saturating_add(begun) >= self.spec().occurrences()
            && stages.all(Stage::is_done)
    }

    /// Returns the progress to record.
    pub(super) fn progress(&self) -> Progress {
        let workspace = self.workspace().cloned();
        if self.outcome.is_some() {
            // Once a job has ended, its outcome replaces the progress of its steps.
            return Progress {
                outcome: self.outcome,
                workspace,
                ..Progress::default()
            };
        }
        let mut finished = self.finished.clone();
        for occurrence in self.done_occurrences() {
            finished.insert(occurrence);
        }
        let begun = self.occurrences.iter();
        let open = begun.filter(|(occurrence, _)| !finished.contains(**occurrence));
        let open: Vec<_> = open
            .map(|(index, stages)| (*index, stages.iter().map(Stage::progress).collect()))
            .collect();
        Progress {
            finished,
            occurrences: open,
            outcome: None,
            workspace,
        }
    }

    /// Returns the time from which the latency of an occurrence counts: its scheduled time, or the job's arrival.
    fn start_of(&self, occurrence: u32) -> Timestamp {
        match self.spec().schedule {
            Some(_) => self.due_time(occurrence),
            None => self.accepted.received,
        }
    }

    /// Returns the latest time at which a step may start for its occurrence to be in time.
    pub(super) fn latest_start(&self, id: StepId) -> Timestamp {
        let critical_path = self.critical_paths.get(usize::from(id.step)).copied();
        let due = self.start_of(id.occurrence) + self.objective;
        due.saturating_sub(critical_path.unwrap_or_default())
    }

    /// Returns the time after which the completion of an occurrence is worth nothing.
    pub(super) fn worthless_after(&self, occurrence: u32) -> Timestamp {
        self.start_of(occurrence) + self.objective * WORTHLESS_AFTER_OBJECTIVES
    }
}

impl Engine {
    /// Returns a task, if its job is known.
    pub(super) fn task(&self, id: TaskId) -> Option<&Task> {
        let stage = self.jobs.get(&id.step.job)?.stage(id.step);
        stage?.task(id.index)
    }

    /// Returns a task for modification, if its job is known.
    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let stage = self.jobs.get_mut(&id.step.job)?.stage_mut(id.step);
        stage?.task_mut(id.index)
    }
}
