//! Plans of capacity that is still in use, for one task on one worker.

use super::{
    core::Engine,
    gang::Plan, //
};
use crate::{
    clock::Timestamp,
    id::{
        TaskId,
        WorkerId, //
    },
    resource::Resources, //
};

/// How many tasks are looked at for workers to choose from.
const TASKS: usize = 256;
/// How many workers are compared.
const WORKERS: usize = 24;

impl Engine {
    /// Plans one task onto the worker where it could start first, among those with the next ends.
    pub(super) fn plan_by_ends(&self, size: &Resources) -> Option<Plan> {
        let next = self.ends.iter().map(|(_, task)| *task);
        let by_end = |plan: &Plan| {
            let tasks = plan.ending.iter().filter_map(|id| self.task(*id));
            tasks.map(|task| task.end).max()
        };
        let plans = self.workers_of(next).into_iter().filter_map(|worker| {
            let mut tasks: Vec<TaskId> = self.tasks_on(worker).collect();
            tasks.sort_unstable_by_key(|id| self.task(*id).map(|task| task.end));
            self.plan_on(worker, size, tasks)
        });
        plans.min_by_key(by_end)
    }

    /// Plans one task onto the worker where stopping others for it loses the least work.
    pub(super) fn plan_by_loss(&self, size: &Resources, now: Timestamp) -> Option<Plan> {
        let next = self.victims.iter().map(|(_, task)| *task);
        let plans = self.workers_of(next).into_iter().filter_map(|worker| {
            let victim = |id: &TaskId| self.task(*id).is_some_and(|task| task.loss.is_some());
            let mut tasks: Vec<TaskId> = self.tasks_on(worker).filter(victim).collect();
            tasks.sort_unstable_by_key(|id| self.task(*id).map(|task| task.loss));
            let mut plan = self.plan_on(worker, size, tasks)?;
            self.trim(&mut plan, *size);
            Some(plan)
        });
        plans.min_by_key(|plan| self.lost_by(plan, now))
    }

    /// Returns what stopping the tasks of a plan would lose, in thousandths of core seconds, and how many stop.
    fn lost_by(&self, plan: &Plan, now: Timestamp) -> (u64, usize) {
        let lost = plan.ending.iter().filter_map(|id| {
            let task = self.task(*id)?;
            let (loses, ..) = task.loss?;
            let age = now.since(task.begun).as_secs();
            Some(u64::from(loses) * age * u64::from(task.size.cpu.get()))
        });
        (lost.sum(), plan.ending.len())
    }

    /// Returns the first few workers of some tasks on which capacity may be held.
    fn workers_of(&self, tasks: impl Iterator<Item = TaskId>) -> Vec<WorkerId> {
        let mut workers = Vec::new();
        for id in tasks.take(TASKS) {
            let Some(worker) = self.task(id).map(|task| task.worker) else {
                continue;
            };
            if !workers.contains(&worker) && self.may_reserve_on(worker) {
                workers.push(worker);
            }
            if workers.len() == WORKERS {
                break;
            }
        }
        workers
    }

    /// Plans one task onto a worker whose own tasks end in the given order.
    fn plan_on(&self, worker: WorkerId, size: &Resources, tasks: Vec<TaskId>) -> Option<Plan> {
        let mut room = self.index.free(worker)?;
        let mut plan = Plan::default();
        plan.workers.insert(worker, 1);
        for id in tasks {
            if size.fits(&room) {
                break;
            }
            room = room.checked_add(self.task(id)?.size)?;
            plan.ending.push(id);
        }
        size.fits(&room).then_some(plan)
    }
}
