//! Room for urgent work.

use super::{
    core::Engine,
    gang::{
        Plan,
        parts, //
    },
    reserve::Reservation,
};
use crate::{
    clock::Timestamp,
    id::{
        TaskId,
        WorkerId, //
    },
    queue::Entry,
    resource::Resources, //
};

impl Engine {
    /// Makes room for an urgent job by stopping what loses the least work.
    ///
    /// The room is held for the job from then on, so nothing else can take it.
    pub(super) fn evict_for(&mut self, entry: &Entry, now: Timestamp) -> bool {
        if !self.policy.preemption {
            return false;
        }
        let Some(job) = self.jobs.get(&entry.job) else {
            return false;
        };
        let count = match job.is_gang() {
            true => job.ready(),
            false => 1,
        };
        let victims = self.victims.iter().map(|(_, task)| *task);
        let plan = match count {
            1 => self.plan_by_loss(&entry.size, now),
            _ => self.plan_release(&entry.size, count, victims),
        };
        let Some(mut plan) = plan else {
            return false;
        };
        self.trim(&mut plan, entry.size);
        let reservation = Reservation {
            job: entry.job,
            class: entry.class,
            size: entry.size,
            parts: parts(&plan, entry.size),
            until: now + self.policy.grace.get() * 2,
            evicts: true,
            slips: 0,
        };
        self.add_reservation(reservation);
        for task in plan.ending {
            self.preempt(task, now);
        }
        true
    }

    /// Spares tasks that need not stop, those with the greatest loss first.
    pub(super) fn trim(&self, plan: &mut Plan, size: Resources) {
        let mut spare: Vec<(WorkerId, Resources)> = Vec::new();
        for (worker, tasks) in &plan.workers {
            let need = size.checked_mul(*tasks);
            let room = self.room_with(plan, *worker);
            if let (Some(need), Some(room)) = (need, room) {
                spare.push((*worker, room.checked_sub(need).unwrap_or(Resources::ZERO)));
            }
        }
        let mut kept = Vec::new();
        for id in plan.ending.iter().rev() {
            let Some(task) = self.task(*id) else {
                continue;
            };
            let left = spare.iter_mut().find(|(worker, _)| *worker == task.worker);
            let without = left.and_then(|(_, left)| {
                let rest = left.checked_sub(task.size)?;
                *left = rest;
                Some(rest)
            });
            if without.is_none() {
                kept.push(*id);
            }
        }
        kept.reverse();
        plan.ending = kept;
    }

    /// Returns what a worker has once the tasks of the plan have ended there.
    fn room_with(&self, plan: &Plan, worker: WorkerId) -> Option<Resources> {
        let mut room = self.index.free(worker)?;
        let on_worker = |id: &&TaskId| {
            let task = self.task(**id);
            task.is_some_and(|task| task.worker == worker)
        };
        for id in plan.ending.iter().filter(on_worker) {
            room = room.checked_add(self.task(*id)?.size)?;
        }
        Some(room)
    }
}
