//! Applies the placement by speed to the workers and steps of the engine.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    job::Job,
    place::Demand, //
};
use crate::{
    id::{
        StepId,
        WorkerId, //
    },
    pace::Preference,
    speed::Class,
};

impl Engine {
    /// Sets how the speed of a worker compares with its pool. Returns whether this has changed.
    pub fn set_speed_class(&mut self, id: &WorkerId, class: Class) -> bool {
        let Some(slot) = self.slots.get(id).copied() else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return false;
        };
        if worker.speed_class == class {
            return false;
        }
        worker.speed_class = class;
        self.update_indexes(slot);
        true
    }

    /// Returns the order in which one task of a step takes the classes of workers.
    ///
    /// Long-running services have no latency objective; they leave fast workers to other steps.
    pub(super) fn preference(&self, job: &Job, demand: &Demand<'_>, now: Timestamp) -> Preference {
        if demand.step.gang {
            return Preference::at_least(self.gang_pace(job, demand.id));
        }
        let slack = match demand.step.long_running {
            true => Duration::MAX,
            false => now.until(job.latest_start(demand.id)),
        };
        let is_urgent = demand.queue.priority == 0;
        Preference::for_single(is_urgent, slack, demand.step.estimate)
    }

    /// Returns the class of the slowest worker that runs a member of a gang, or the fastest class if none does.
    fn gang_pace(&self, job: &Job, id: StepId) -> Class {
        let tasks = job.stage(id).into_iter().flat_map(|stage| &stage.tasks);
        let slots = tasks.filter_map(|task| Some(task.active_run?.0));
        let workers = slots.filter_map(|slot| self.workers.get(&slot));
        let classes = workers.map(|worker| worker.speed_class);
        classes.min().unwrap_or(Class::Fast)
    }
}
