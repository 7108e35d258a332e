//! The promises that are checked in each history.

use std::collections::BTreeSet;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::Entry,
};

use super::{
    GIVEN_UP_FROM,
    LATEST,
    PROVED,
    SHRINK_BORNE,
    STARTS_MORE,
    TRIES,
    WAY,
    World, //
};

impl World {
    /// Checks that no job is left out of those that are said to wait.
    ///
    /// An owner may hear late of a start, so it may say that more wait than do, never that fewer do.
    pub(super) fn check_waiting(&mut self) {
        for queue in self.config.queues.keys() {
            let jobs = self.accepted.iter();
            let waiting = jobs.filter(|accepted| {
                let is_over = self.cancelled.contains_key(&accepted.job);
                accepted.queue.name == *queue && !is_over && !self.begun.contains(&accepted.job)
            });
            let (waiting, said) = (waiting.count(), self.engine.pending(queue));
            if usize::try_from(said).unwrap_or(usize::MAX) < waiting {
                let line = format!("{said} jobs are said to wait in {queue:?}, {waiting} do");
                self.violations.push(line);
            }
        }
    }

    /// Checks that a task is placed on a worker whose entry names one to use.
    pub(super) fn check_place(&mut self, task: TaskId, worker: &WorkerId) {
        let entry = self.workers.get(worker);
        if entry.is_some_and(|worker| worker.leaves.is_some()) {
            let line = format!("{task} is placed on {worker}, which leaves");
            self.violations.push(line);
        }
        if entry.is_some_and(|worker| worker.foreign_until.is_some()) {
            let line = format!("{task} is placed on {worker}, whose entry is another writer's");
            self.violations.push(line);
        }
    }

    /// Checks every promise about starts.
    pub(super) fn check_start(&mut self, order: &fulmarpier_cell::effect::Start, is_in_time: bool) {
        let task = order.task;
        let at = format!("{task} run {} on {}", order.run, order.to.worker);
        let running = self.workers.values();
        let count: usize = running.map(|worker| worker.count(task)).sum();
        if count > 1 {
            self.violations.push(format!("{at}: runs twice"));
        }
        if self.done.contains(&task) {
            self.violations.push(format!("{at}: was done"));
        }
        let failed = self.failed.get(&task).map_or(0, BTreeSet::len);
        if failed >= TRIES as usize {
            self.violations.push(format!("{at}: has used its tries"));
        }
        if self
            .crashed
            .get(&task)
            .is_some_and(|crashed| *crashed >= PROVED)
        {
            let more = self.started_on.entry(task).or_default();
            *more += 1;
            if *more > STARTS_MORE {
                self.violations
                    .push(format!("{at}: {more} starts more after {PROVED} crashes"));
            }
        }
        // Nothing can be done about an order that is carried out late.
        let late = if is_in_time {
            SHRINK_BORNE
        } else {
            SHRINK_BORNE + LATEST
        };
        if let Some(worker) = self.workers.get(&order.to.worker)
            && worker.is_overfilled(late, self.now)
        {
            self.violations.push(format!("{at}: overfilled"));
        }
        // An order that was on its way may still arrive.
        let cancelled = self.cancelled.get(&task.step.job);
        if is_in_time && cancelled.is_some_and(|(since, _)| *since + WAY < self.now) {
            self.violations.push(format!("{at}: was cancelled"));
        }
        self.check_limit(order, is_in_time);
        self.check_evacuated(order, is_in_time);
        let job = self
            .accepted
            .iter()
            .find(|accepted| accepted.job == task.step.job);
        let Some(job) = job else {
            return self.violations.push(format!("{at}: nobody submitted it"));
        };
        let step = &job.spec.steps[usize::from(task.step.step)];
        if let (Some(label), Some(worker)) = (&step.requires, self.workers.get(&order.to.worker))
            && !worker.registration().labels.contains(label)
        {
            self.violations
                .push(format!("{at}: is without label {label}"));
        }
        for after in &step.after {
            for index in 0..job.spec.steps[usize::from(*after)].count {
                let earlier = StepId {
                    step: *after,
                    ..task.step
                }
                .task(index);
                if !self.is_done_anywhere(earlier) {
                    self.violations.push(format!("{at}: {earlier} is not done"));
                }
            }
        }
    }

    fn is_done_anywhere(&self, task: TaskId) -> bool {
        let listed = self.workers.values().any(|worker| worker.has_done(task));
        let kept = self.records.get(&task.step.job.to_string());
        let kept = kept.is_some_and(|entry| match entry {
            Entry::Job(_, progress) => progress
                .occurrences
                .iter()
                .any(|(_, steps)| steps[usize::from(task.step.step)].is_done(task.index)),
            Entry::Worker(..) | Entry::Gone(_) => false,
        });
        listed || kept || self.done.contains(&task)
    }

    /// Checks that a task is given up only for workers that went down under it.
    pub(super) fn check_given_up(&mut self, task: TaskId, is_given_up: bool) {
        if !is_given_up {
            return;
        }
        if !self.crashers.contains(&task) {
            self.wronged += 1;
        }
        let under = self.under.get(&task).copied().unwrap_or_default();
        if under < GIVEN_UP_FROM {
            let line = format!("{task} is given up after {under} crashes under it");
            self.violations.push(line);
        }
    }

    /// Returns whether a task of a job crashes its workers.
    pub(crate) fn crashes(&self, job: JobId) -> bool {
        self.crashers.iter().any(|task| task.step.job == job)
    }

    /// Checks that every job has come to a true end.
    pub(crate) fn check_ends(&mut self) {
        for accepted in &self.accepted {
            let state = self.engine.state(accepted.job);
            let is_cancelled = self.cancelled.contains_key(&accepted.job);
            let is_true = match state {
                Some(State::Completed) => !self.crashes(accepted.job),
                Some(State::Failed) => self.faults.failures > 0 || self.crashes(accepted.job),
                Some(State::Cancelled) => is_cancelled,
                Some(State::Queued | State::Running) | None => false,
            };
            if !is_true {
                let line = format!("job {} ended as {state:?}", accepted.job);
                self.violations.push(line);
            }
        }
        let counts = self.engine.counts();
        if counts.claims > 0 {
            self.violations
                .push(format!("{} claims are left", counts.claims));
        }
    }
}
