//! The speeds of workers, learned from the progress that their inventories report.

use std::time::Duration;

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::{
    Engine,
    Slot,
    job::Job, //
};
use crate::{
    effect::LogRecord,
    event::{
        ExitReason,
        Inventory,
        Registration, //
    },
    id::{
        JobId,
        Run,
        TaskId, //
    },
    speed::{
        Baseline,
        Class,
        Estimate,
        Observation,
        Pool,
        Reading,
        Track, //
    },
    worker::{
        Phase,
        Worker, //
    },
};

/// The interval between two updates of the typical speeds. Each takes time in proportion to the number of workers.
const RECENTRE_INTERVAL: Duration = Duration::from_secs(1);

impl Worker {
    /// Forgets the worker's speed.
    pub(crate) fn forget_speed(&mut self) {
        self.settled_speed = None;
        self.speed = None;
        self.speed_class = Class::default();
        for allocation in self.allocations.values_mut() {
            if let Phase::Running { track, .. } = &mut allocation.phase {
                *track = Track::default();
            }
        }
    }
}

impl Engine {
    /// Learns from an inventory, which was made at `clock` of the worker's clock: from the progress of its runs, and
    /// from those that are done since the last inventory.
    pub(super) fn observe_inventory(&mut self, slot: Slot, inventory: &Inventory, now: Timestamp) {
        let clock = inventory.clock;
        for run in &inventory.running {
            if let Some(progress) = run.progress {
                let reading = Reading {
                    clock,
                    progress,
                    at: now,
                };
                self.observe(slot, (run.task, run.run), |observation, estimate, pool| {
                    observation.read(reading, estimate, pool);
                });
            }
        }
        let last_processed = self.workers.get(&slot);
        let last_processed = last_processed.map_or(0, |worker| worker.last_processed_end);
        let ended = inventory.ended.iter();
        let done = ended
            .filter(|end| end.serial > last_processed && end.reason == ExitReason::Done)
            .map(|end| (end.task, end.run));
        for run in done {
            self.observe(slot, run, |observation, estimate, pool| {
                observation.end(clock, estimate, pool, now);
            });
        }
        self.update_speed(slot, now);
    }

    /// Observes a run with what is known of its worker, its step and its pool. Does nothing if the run can't show the
    /// speed of its worker.
    fn observe(
        &mut self,
        slot: Slot,
        run: (TaskId, Run),
        act: impl FnOnce(&mut Observation<'_>, &mut Estimate, &mut Pool),
    ) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let Some(step) = baseline(&mut self.jobs, &worker.registration, run.0) else {
            return;
        };
        let allocation = worker.allocations.get_mut(&run);
        let Some(Phase::Running { track, .. }) = allocation.map(|allocation| &mut allocation.phase)
        else {
            return;
        };
        let pool = worker.registration.pool.clone();
        let pool = self.pools.entry(pool).or_default();
        let estimate = worker.settled_speed.get_or_insert_with(|| pool.unknown());
        let mut observation = Observation {
            worker: slot.index(),
            track,
            step,
        };
        act(&mut observation, estimate, pool);
    }

    /// Updates the speed and the class of a worker.
    fn update_speed(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let Some(mut current) = worker.settled_speed else {
            return;
        };
        let running = worker.allocations.iter();
        let running = running
            .filter(|(_, allocation)| matches!(allocation.phase, Phase::Running { .. }))
            .map(|(run, _)| *run);
        let running: Vec<(TaskId, Run)> = running.collect();
        for run in running {
            self.observe(slot, run, |observation, _, pool| {
                observation.preview(&mut current, pool, now);
            });
        }
        if !current.is_observed() {
            return;
        }
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let Some(pool) = self.pools.get(&worker.registration.pool) else {
            return;
        };
        worker.speed = Some(current);
        let class = current.class(worker.speed_class, pool, now);
        if std::mem::replace(&mut worker.speed_class, class) == class {
            return;
        }
        let record = LogRecord::Speed {
            worker: worker.registration.id.clone(),
            speed: current.speed(pool),
            class,
            runs: current.runs(now),
        };
        self.log(record);
    }

    /// Updates the typical speeds of the pools.
    pub(super) fn recentre_pools(&mut self, now: Timestamp) {
        if now < self.next_recentre {
            return;
        }
        self.next_recentre = now + RECENTRE_INTERVAL;
        for (name, pool) in &mut self.pools {
            let workers = self.workers.values();
            let members = workers.filter(|worker| worker.registration.pool == *name);
            pool.recentre(members.filter_map(|worker| worker.speed));
        }
    }
}

/// Returns the baseline of a task's step, if the step's runs show the speed of a worker.
///
/// The members of a gang progress at the pace of the slowest; long-running tasks have no end; best-effort tasks use what
/// others leave, and may be throttled; and tasks are slower away from their data.
fn baseline<'a>(
    jobs: &'a mut HashMap<JobId, Job>,
    registration: &Registration,
    task: TaskId,
) -> Option<&'a mut Baseline> {
    let job = jobs.get_mut(&task.step.job)?;
    let step = job.step(task.step)?;
    let rack = step.affinity.as_deref();
    let is_remote =
        rack.is_some_and(|rack| !registration.labels.iter().any(|label| &**label == rack));
    if step.gang || step.long_running || step.is_best_effort || is_remote {
        return None;
    }
    let stage = job.stage_mut(task.step)?;
    Some(stage.baseline.get_or_insert_default())
}
