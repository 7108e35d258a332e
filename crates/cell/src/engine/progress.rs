//! The speeds of workers, learned from the progress that their inventories report.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::LogRecord,
    event::{
        ExitReason,
        Inventory, //
    },
    id::{
        Run,
        StepId,
        TaskId, //
    },
    job::Step,
    speed::{
        Class,
        Observed,
        Pool,
        Profile,
        Reading,
        Track,
        View, //
    },
    worker::{
        Phase,
        Worker, //
    },
};

/// The interval between two updates of the typical speeds. Each takes time in proportion to the number of workers.
const RECENTRE_INTERVAL: Duration = Duration::from_secs(1);

/// The steps whose runs show the speed of a worker, each with the baseline that the worker is compared with, if it is
/// known.
type Views = Vec<(StepId, Option<View>)>;

impl Worker {
    /// Forgets the worker's speed.
    pub(crate) fn forget_speed(&mut self) {
        self.speed = Profile::default();
        self.speed_class = Class::default();
        for allocation in self.allocations.values_mut() {
            if let Phase::Running { track, .. } = &mut allocation.phase {
                *track = Track::default();
            }
        }
    }

    /// Returns whether the runs of a step show the worker's speed.
    ///
    /// The members of a gang progress at the pace of the slowest; long-running tasks have no end; best-effort tasks use
    /// what others leave, and may be throttled; and tasks are slower away from their data.
    fn is_measured_by(&self, step: &Step) -> bool {
        let rack = step.affinity.as_deref();
        let is_remote = rack.is_some_and(|rack| !self.has_label(rack));
        !step.gang && !step.long_running && !step.is_best_effort && !is_remote
    }
}

impl Engine {
    /// Learns from the progress of the runs in an inventory, and from those that are done since the last one.
    pub(super) fn observe_inventory(&mut self, slot: Slot, inventory: &Inventory, now: Timestamp) {
        let views = self.views(slot, now);
        let clock = inventory.clock;
        for run in &inventory.running {
            if let Some(progress) = run.progress {
                let reading = Reading {
                    clock,
                    progress,
                    at: now,
                };
                self.observe_reading(slot, (run.task, run.run), reading, &views);
            }
        }
        let worker = self.workers.get(&slot);
        let last_processed = worker.map_or(0, |worker| worker.last_processed_end);
        let ended = inventory.ended.iter();
        let done =
            ended.filter(|end| end.serial > last_processed && end.reason == ExitReason::Done);
        for end in done {
            let run = (end.task, end.run);
            self.observe(slot, run, &views, |profile, run, pool| {
                profile.end(run, clock, pool);
            });
        }
        self.update_speed(slot, &views, now);
    }

    /// Returns the steps whose runs show the speed of a worker, of those that run there or have run there lately.
    fn views(&self, slot: Slot, now: Timestamp) -> Views {
        let Some(worker) = self.workers.get(&slot) else {
            return Views::new();
        };
        let running = worker.allocations.iter();
        let running = running.filter(|(_, allocation)| allocation.is_running());
        let running = running.map(|((task, _), _)| task.step);
        let mut steps: Vec<StepId> = running.chain(worker.speed.open_steps()).collect();
        steps.sort_unstable();
        steps.dedup();
        let measuring = steps.into_iter().filter(|id| {
            let job = self.jobs.get(&id.job);
            let step = job.and_then(|job| job.step(*id));
            step.is_some_and(|step| worker.is_measured_by(step))
        });
        measuring
            .map(|step| (step, self.view(slot, worker, step, now)))
            .collect()
    }

    /// Returns the baseline of a step that a worker is compared with, if it is known.
    fn view(&self, slot: Slot, worker: &Worker, step: StepId, now: Timestamp) -> Option<View> {
        let pool = self.pools.get(&worker.registration.pool)?;
        let stage = self.jobs.get(&step.job)?.stage(step)?;
        let estimate = |other| self.workers.get(&Slot(other))?.speed.estimate();
        stage.baseline.as_ref()?.view(slot.0, estimate, pool, now)
    }

    /// Adds a reading of the progress of a run.
    fn observe_reading(&mut self, slot: Slot, run: (TaskId, Run), reading: Reading, views: &Views) {
        let is_observed = self.observe(slot, run, views, |profile, run, pool| {
            profile.read(run, reading, pool);
        });
        let worker = self.workers.get_mut(&slot);
        let track = worker.and_then(|worker| worker.allocations.get_mut(&run)?.track_mut());
        if let Some(track) = track
            && !is_observed
        {
            track.read(reading, None);
        }
    }

    /// Observes a run with what is known of its worker, its step and its pool. Returns `false`, and does nothing, if the
    /// run can't show the speed of its worker.
    fn observe(
        &mut self,
        slot: Slot,
        run: (TaskId, Run),
        views: &Views,
        act: impl FnOnce(&mut Profile<StepId>, Observed<'_, StepId>, &Pool),
    ) -> bool {
        let step = run.0.step;
        let view = views.iter().find(|(id, _)| *id == step);
        let job = self.jobs.get_mut(&step.job);
        let stage = job.and_then(|job| job.stage_mut(step));
        let Some(((_, view), stage)) = view.zip(stage) else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return false;
        };
        let allocation = worker.allocations.get_mut(&run);
        let Some(track) = allocation.and_then(|allocation| allocation.track_mut()) else {
            return false;
        };
        let pool = worker.registration.pool.clone();
        let observed = Observed {
            worker: slot.0,
            track,
            step,
            baseline: stage.baseline.get_or_insert_default(),
            view: view.as_ref(),
        };
        act(
            &mut worker.speed,
            observed,
            self.pools.entry(pool).or_default(),
        );
        true
    }

    /// Updates the speed and the class of a worker.
    fn update_speed(&mut self, slot: Slot, views: &Views, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let pool = worker.registration.pool.clone();
        let pool = self.pools.entry(pool).or_default();
        let running = worker.allocations.iter_mut();
        let running = running
            .filter_map(|((task, _), allocation)| Some((task.step, allocation.track_mut()?)));
        let view = |step| views.iter().find(|(id, _)| *id == step)?.1;
        worker.speed.update(running, view, pool, now);
        let Some(estimate) = worker.speed.estimate() else {
            return;
        };
        let class = estimate.class(worker.speed_class, pool, now);
        if std::mem::replace(&mut worker.speed_class, class) == class {
            return;
        }
        let record = LogRecord::Speed {
            worker: worker.registration.id.clone(),
            speed: estimate.speed(pool),
            class,
            runs: estimate.runs(now),
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
            pool.recentre(members.filter_map(|worker| worker.speed.estimate()));
        }
    }
}
