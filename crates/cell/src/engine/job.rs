//! The state of a job and its occurrences.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    quota, //
};

use super::{
    Engine,
    stage::{
        Stage,
        Task, //
    }, //
};
use crate::{
    config::WORTHLESS_AFTER_OBJECTIVES,
    id::{
        StepId,
        TaskId, //
    },
    job::{
        Spec,
        Step, //
    },
    occurrence,
    record::{
        Accepted,
        Outcome,
        Progress,
        StepProgress, //
    },
    workspace::WorkspaceName,
};

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

impl Job {
    pub(super) fn new(accepted: Accepted, progress: &Progress) -> Self {
        let spec = accepted.spec.clone();
        let critical_paths = spec.critical_paths();
        let critical_path = critical_paths.iter().max().copied().unwrap_or_default();
        let queue = &accepted.queue;
        let objective = queue.objective(critical_path);
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
