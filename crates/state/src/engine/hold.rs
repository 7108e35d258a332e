//! Capacity held for a gang that spans shards.
//!
//! The shard that leads the gang asks the others in order of their ids, so no two gangs wait for
//! each other. A hold that is neither committed nor released expires by itself.

use super::{
    core::Engine,
    effect::Effect,
    job::{
        Job,
        Stage, //
    },
    task::Phase,
    timer::Timer,
};
use crate::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::Spec,
    placement::Rule,
    resource::Resources,
};

/// The id of a hold, chosen by the shard that leads the gang.
pub type HoldId = u64;

/// Capacity held for another shard.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    size: Resources,
    workers: Vec<WorkerId>,
    expiry: Timestamp,
}

impl Engine {
    /// Holds room for `count` tasks of a size until `expiry`, or for none.
    ///
    /// Returns the worker for each task. Asking again with the same id gives the same answer.
    ///
    /// See also [`Self::commit_hold`] and [`Self::release_hold`].
    pub fn hold(
        &mut self,
        id: HoldId,
        size: Resources,
        count: u32,
        expiry: Timestamp,
        now: Timestamp,
    ) -> Option<Vec<WorkerId>> {
        if let Some(hold) = self.holds.get(&id) {
            return Some(hold.workers.clone());
        }
        if expiry <= now {
            return None;
        }
        let rule = Rule::new().weights(self.policy.weights);
        let workers = self.index.plan(&size, count, &rule)?;
        if !self.reserve_all(&workers, size) {
            return None;
        }
        let hold = Hold {
            size,
            workers: workers.clone(),
            expiry,
        };
        self.holds.insert(id, hold);
        self.set_timer(expiry, Timer::Hold(id));
        Some(workers)
    }

    /// Starts the tasks from `first` on of a job on the capacity of a hold.
    ///
    /// Returns nothing where the hold has expired: then nothing was started. The tasks are tracked
    /// here as those of a job of their own that counts only them.
    pub fn commit_hold(
        &mut self,
        id: HoldId,
        job: JobId,
        spec: Spec,
        first: u32,
        now: Timestamp,
    ) -> Option<Vec<Effect>> {
        let hold = self.unlist_hold(id)?;
        if hold.expiry <= now || hold.size != spec.size || self.jobs.contains_key(&job) {
            self.free_hold(&hold);
            return None;
        }
        let count = u32::try_from(hold.workers.len()).unwrap_or(u32::MAX);
        let slot = self.ledger.slot(&spec.team, self.policy.default_limit);
        let mut part = Job::new(spec, slot, now);
        part.next = first.saturating_add(count);
        part.size = part.next;
        // The tasks below `first` belong to other shards.
        part.counts.succeeded = first;
        part.stage = Stage::Open;
        self.jobs.insert(job, part);
        for (index, worker) in (first..).zip(hold.workers) {
            let task = TaskId::new(job, index);
            self.place(task, Attempt(1), worker, Phase::Starting, now);
            if let Some(task) = self.task_mut(task) {
                task.reserved = true;
            }
            self.counters.starts += 1;
            self.outbox.push(Effect::Start {
                task,
                attempt: Attempt(1),
                worker,
                size: hold.size,
            });
        }
        Some(self.drain())
    }

    /// Gives up a hold; returns whether it was still held.
    pub fn release_hold(&mut self, id: HoldId, _now: Timestamp) -> bool {
        let Some(hold) = self.unlist_hold(id) else {
            return false;
        };
        self.free_hold(&hold);
        true
    }

    pub(super) fn expire_hold(&mut self, id: HoldId, now: Timestamp) {
        self.release_hold(id, now);
    }

    /// Drops holds on a worker that goes away.
    pub(super) fn drop_holds_on(&mut self, worker: WorkerId) {
        let on = |(id, hold): (&HoldId, &Hold)| hold.workers.contains(&worker).then_some(*id);
        let ids: Vec<HoldId> = self.holds.iter().filter_map(on).collect();
        for id in ids {
            if let Some(hold) = self.unlist_hold(id) {
                self.free_hold(&hold);
            }
        }
    }

    /// Returns what each hold takes of each worker.
    pub(super) fn held(&self) -> impl Iterator<Item = (WorkerId, Resources)> + '_ {
        let of = |hold: &Hold| {
            let size = hold.size;
            hold.workers.clone().into_iter().map(move |w| (w, size))
        };
        self.holds.values().flat_map(of)
    }

    fn unlist_hold(&mut self, id: HoldId) -> Option<Hold> {
        let hold = self.holds.remove(&id)?;
        self.timers.remove(&(hold.expiry, Timer::Hold(id)));
        Some(hold)
    }

    fn free_hold(&mut self, hold: &Hold) {
        for worker in &hold.workers {
            // A hold's capacity is reserved in the index.
            let _ = self.index.release(*worker, hold.size);
        }
        for worker in &hold.workers {
            self.freed(*worker);
        }
    }
}
