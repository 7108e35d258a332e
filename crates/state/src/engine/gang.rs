//! Gangs, and plans of capacity that is still in use for several tasks at once.

use std::collections::BTreeMap;

use super::{
    core::Engine,
    job::Job,
    reserve::{
        Part,
        Reservation, //
    },
};
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        TaskId,
        WorkerId, //
    },
    placement::Rule,
    queue::Entry,
    resource::Resources, //
};

/// How many running tasks a plan looks at.
const MOST_LOOKED_AT: usize = 4_096;

/// Capacity that will be there once some running tasks have ended.
#[derive(Debug, Default)]
pub(super) struct Plan {
    /// Where the tasks would go, and how many.
    pub(super) workers: BTreeMap<WorkerId, u32>,
    /// The tasks that would have to end, in the order they were looked at.
    pub(super) ending: Vec<TaskId>,
}

/// What a plan knows of one worker.
#[derive(Clone, Copy, Debug)]
struct Room {
    free: Resources,
    tasks: u32,
}

impl Engine {
    /// Starts all tasks of a gang if they fit at once.
    pub(super) fn place_gang(&mut self, entry: &Entry, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&entry.job) else {
            return false;
        };
        let count = job.ready();
        let Some(workers) = self.plan_now(job, count) else {
            return false;
        };
        if !self.reserve_all(&workers, entry.size) {
            return false;
        }
        for worker in workers {
            self.begin(entry.job, worker, None, now);
        }
        self.dequeue_if_idle(entry.job);
        true
    }

    /// Returns where `count` tasks of a job fit now.
    pub(super) fn plan_now(&self, job: &Job, count: u32) -> Option<Vec<WorkerId>> {
        let rule = Rule::new()
            .weights(self.policy.weights)
            .spread(job.spec.spread, &job.presence)
            .avoid(&job.avoid);
        self.index.plan(&job.spec.size, count, &rule)
    }

    /// Reserves one size on each of the workers, or on none.
    pub(super) fn reserve_all(&mut self, workers: &[WorkerId], size: Resources) -> bool {
        for (done, worker) in workers.iter().enumerate() {
            if self.index.reserve(*worker, size).is_err() {
                for taken in &workers[..done] {
                    // It was reserved in this very call.
                    let _ = self.index.release(*taken, size);
                }
                return false;
            }
        }
        true
    }

    /// Holds capacity for a job that does not fit now, by the expected ends of what runs.
    pub(super) fn reserve_for(&mut self, id: JobId, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let class = job.spec.priority;
        let size = job.spec.size;
        let count = match job.is_gang() {
            true => job.ready(),
            false => 1,
        };
        let ends = self.ends.iter().map(|(_, task)| *task);
        let plan = match count {
            1 => self.plan_by_ends(&size),
            _ => self.plan_release(&size, count, ends),
        };
        let Some(plan) = plan else {
            return false;
        };
        let last = plan.ending.iter().filter_map(|task| self.task(*task));
        let until = last.map(|task| task.end).max().unwrap_or(now).max(now);
        let parts = parts(&plan, size);
        let reservation = Reservation {
            job: id,
            class,
            size,
            parts,
            until,
            evicts: false,
            slips: 0,
        };
        self.add_reservation(reservation);
        true
    }

    /// Plans several tasks onto capacity that some tasks free, looked at in their order.
    ///
    /// What is free now counts only on workers where such a task runs. Workers with another
    /// reservation and closed ones are left out.
    pub(super) fn plan_release(
        &self,
        size: &Resources,
        count: u32,
        tasks: impl Iterator<Item = TaskId>,
    ) -> Option<Plan> {
        let mut rooms: BTreeMap<WorkerId, Room> = BTreeMap::new();
        let mut plan = Plan::default();
        let mut missing = count;
        self.plan_free(size, &mut missing, &mut rooms, &mut plan);
        for id in tasks.take(MOST_LOOKED_AT) {
            if missing == 0 {
                break;
            }
            let Some(task) = self.task(id) else {
                continue;
            };
            if !self.may_reserve_on(task.worker) {
                continue;
            }
            let free = self.index.free(task.worker)?;
            let room = rooms.entry(task.worker).or_insert(Room { free, tasks: 0 });
            room.free = room.free.checked_add(task.size)?;
            plan.ending.push(id);
            while missing > 0 && size.fits(&room.free) {
                room.free = room.free.checked_sub(*size)?;
                room.tasks += 1;
                missing -= 1;
            }
        }
        if missing > 0 {
            return None;
        }
        let used = rooms.iter().filter(|(_, room)| room.tasks > 0);
        plan.workers = used.map(|(id, room)| (*id, room.tasks)).collect();
        let workers = &plan.workers;
        let on_used = |id: &TaskId| {
            let task = self.task(*id);
            task.is_some_and(|task| workers.contains_key(&task.worker))
        };
        plan.ending.retain(on_used);
        Some(plan)
    }

    /// Plans as many tasks as fit now.
    fn plan_free(
        &self,
        size: &Resources,
        missing: &mut u32,
        rooms: &mut BTreeMap<WorkerId, Room>,
        plan: &mut Plan,
    ) {
        let rule = Rule::new().weights(self.policy.weights);
        let fitting = self.index.count_fitting(size, *missing);
        let workers = self.index.plan(size, fitting, &rule).unwrap_or_default();
        for worker in workers {
            let Some(free) = self.index.free(worker) else {
                continue;
            };
            let room = rooms.entry(worker).or_insert(Room { free, tasks: 0 });
            let Some(left) = room.free.checked_sub(*size) else {
                continue;
            };
            room.free = left;
            room.tasks += 1;
            *missing -= 1;
        }
        plan.ending.clear();
    }

    pub(super) fn may_reserve_on(&self, worker: WorkerId) -> bool {
        let host = self.hosts.get(&worker);
        let unreserved = host.is_some_and(|host| host.reservations.is_empty());
        unreserved && self.index.is_open(worker)
    }
}

/// Turns a plan into the parts of a reservation.
pub(super) fn parts(plan: &Plan, size: Resources) -> Vec<Part> {
    let part = |(worker, tasks): (&WorkerId, &u32)| {
        let need = size.checked_mul(*tasks)?;
        Some(Part {
            worker: *worker,
            tasks: *tasks,
            need,
            held: Resources::ZERO,
            aside: Resources::ZERO,
        })
    };
    plan.workers.iter().filter_map(part).collect()
}
