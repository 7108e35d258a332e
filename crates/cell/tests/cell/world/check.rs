//! The invariants that are checked in each history.

use std::collections::BTreeSet;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::Entry,
};

use super::{
    CRASHES_TO_PROVE,
    MAX_ATTEMPTS,
    MAX_ORDER_DELAY,
    MAX_STARTS_AFTER_PROOF,
    MIN_CRASHES_TO_GIVE_UP,
    NETWORK_DELAY,
    SHRINK_GRACE,
    World, //
};

impl World {
    /// Checks that the engine counts each waiting job as pending.
    ///
    /// An owner may learn late of a start, so it may report more pending jobs than there are, but never fewer.
    pub(super) fn check_waiting(&mut self) {
        for queue in self.config.queues.keys() {
            let jobs = self.accepted.iter();
            let waiting = jobs.filter(|accepted| {
                let is_over = self.cancelled.contains_key(&accepted.job);
                accepted.queue.name == *queue
                    && !is_over
                    && !self.started_jobs.contains(&accepted.job)
            });
            let (waiting, reported) = (waiting.count(), self.engine.pending(queue));
            if usize::try_from(reported).unwrap_or(usize::MAX) < waiting {
                let line =
                    format!("{reported} jobs are reported as pending in {queue:?}, {waiting} are");
                self.violations.push(line);
            }
        }
    }

    /// Checks that a task isn't placed on a worker that leaves or whose entry another writer has overwritten.
    pub(super) fn check_placement(&mut self, task: TaskId, worker: &WorkerId) {
        let placed_on = self.workers.get(worker);
        if placed_on.is_some_and(|worker| worker.leaves_at.is_some()) {
            let line = format!("{task} is placed on {worker}, which leaves");
            self.violations.push(line);
        }
        if placed_on.is_some_and(|worker| worker.overwritten_until.is_some()) {
            let line =
                format!("{task} is placed on {worker}, whose entry another writer has overwritten");
            self.violations.push(line);
        }
    }

    /// Checks that a task whose successful end has just been acknowledged was not started again after that end.
    pub(super) fn check_done(&mut self, task: TaskId, run: Run) {
        let last = self.last_starts.get(&task).copied().unwrap_or_default();
        if last > run {
            let line = format!("{task} run {last}: run {run} had ended before");
            self.violations.push(line);
        }
    }

    /// Checks the invariants about starts. `is_in_time` is false for an order that is executed late.
    pub(super) fn check_start(&mut self, order: &fulmarpier_cell::effect::Start, is_in_time: bool) {
        let task = order.task;
        let at = format!("{task} run {} on {}", order.run, order.to.worker);
        self.last_starts.insert(task, order.run);
        let running = self.workers.values();
        let count: usize = running.map(|worker| worker.run_count(task)).sum();
        if count > 1 {
            self.violations.push(format!("{at}: runs twice"));
        }
        if self.done.contains(&task) {
            self.violations.push(format!("{at}: is done already"));
        }
        let failed = self.failed.get(&task).map_or(0, BTreeSet::len);
        if failed >= MAX_ATTEMPTS as usize {
            self.violations
                .push(format!("{at}: has used all its attempts"));
        }
        if self
            .crashed
            .get(&task)
            .is_some_and(|crashed| *crashed >= CRASHES_TO_PROVE)
        {
            let starts = self.starts_after_proof.entry(task).or_default();
            *starts += 1;
            if *starts > MAX_STARTS_AFTER_PROOF {
                self.violations.push(format!(
                    "{at}: {starts} more starts after {CRASHES_TO_PROVE} crashes"
                ));
            }
        }
        // The engine can't prevent that an order is executed late.
        let grace = if is_in_time {
            SHRINK_GRACE
        } else {
            SHRINK_GRACE + MAX_ORDER_DELAY
        };
        if let Some(worker) = self.workers.get(&order.to.worker)
            && worker.exceeds_capacity(grace, self.now)
        {
            self.violations.push(format!("{at}: exceeds the capacity"));
        }
        // An order that was in flight may still arrive.
        let cancelled = self.cancelled.get(&task.step.job);
        if is_in_time && cancelled.is_some_and(|(since, _)| *since + NETWORK_DELAY < self.now) {
            self.violations.push(format!("{at}: was cancelled"));
        }
        self.check_limit(order, is_in_time);
        self.check_evacuation(order, is_in_time);
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
                .push(format!("{at}: the worker lacks label {label}"));
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
        let is_listed = self.workers.values().any(|worker| worker.has_done(task));
        let entry = self.records.get(&task.step.job.to_string());
        let progress = entry.and_then(|entry| match entry {
            Entry::Job(_, progress) => Some(progress.clone()),
            Entry::PlainJob(_, progress) => Some(progress.clone().into()),
            Entry::Worker(..)
            | Entry::RemovedWorker(_)
            | Entry::PackedJob(_)
            | Entry::Outcomes(..) => None,
        });
        let is_recorded = progress.is_some_and(|progress| {
            let occurrence = task.step.occurrence;
            let mut open = progress.occurrences.iter();
            progress.finished.contains(occurrence)
                || open.any(|(index, steps)| {
                    *index == occurrence && steps[usize::from(task.step.step)].is_done(task.index)
                })
        });
        is_listed || is_recorded || self.done.contains(&task)
    }

    /// Checks that a task is given up only if enough workers went down while running it.
    pub(super) fn check_given_up(&mut self, task: TaskId, is_given_up: bool) {
        if !is_given_up {
            return;
        }
        if !self.crashing_task_ids.contains(&task) {
            self.wrongly_given_up += 1;
        }
        let under = self
            .crashes_while_running
            .get(&task)
            .copied()
            .unwrap_or_default();
        if under < MIN_CRASHES_TO_GIVE_UP {
            let line =
                format!("{task} is given up after {under} workers went down while running it");
            self.violations.push(line);
        }
    }

    /// Returns whether a task of the job crashes its workers.
    pub(crate) fn crashes(&self, job: JobId) -> bool {
        self.crashing_task_ids
            .iter()
            .any(|task| task.step.job == job)
    }

    /// Checks that every job has ended in the state that it should, and that no allocations are left.
    pub(crate) fn check_ends(&mut self) {
        for accepted in &self.accepted {
            let state = self.engine.state(accepted.job);
            let is_cancelled = self.cancelled.contains_key(&accepted.job);
            let is_as_expected = match state {
                Some(State::Completed) => !self.crashes(accepted.job),
                Some(State::Failed) => self.faults.failures > 0 || self.crashes(accepted.job),
                Some(State::Cancelled) => is_cancelled,
                Some(State::Queued | State::Running) | None => false,
            };
            if !is_as_expected {
                let line = format!("job {} ended as {state:?}", accepted.job);
                self.violations.push(line);
            }
        }
        let counts = self.engine.counts();
        if counts.allocations > 0 {
            self.violations
                .push(format!("{} allocations are left", counts.allocations));
        }
    }
}
