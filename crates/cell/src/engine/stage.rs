//! The state of a step of one occurrence: its tasks and their runs.

use std::{
    collections::BTreeSet,
    sync::Arc, //
};

use fulmarpier_state::clock::Timestamp;

use super::{
    Slot,
    WaitReason,
    assembly::Assembly, //
};
use crate::{
    advice::Advice,
    id::{
        Incarnation,
        Run,
        WorkerId, //
    },
    job::Step,
    record::{
        Crash,
        Crashes,
        Failures,
        StepProgress, //
    },
    speed::Baseline,
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
    pub(super) fn new(step: &Step, recorded: &StepProgress) -> Self {
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
    pub(super) fn is_done(&self) -> bool {
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
