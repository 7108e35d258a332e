//! Workers that are held for a gang from when tasks were preempted there for it until it starts.
//!
//! Preempted tasks take some time to stop. If the gang were considered anew in each scheduling pass meanwhile, other steps
//! would take what becomes free, and tasks on further workers would be preempted for it in vain.

use std::collections::BTreeSet;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    place::Demand,
    reserve::Reservations,
    stage::Stage, //
};
use crate::{
    effect::LogRecord,
    id::StepId,
    worker::Worker, //
};

/// The workers that are held for a gang.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    slots: BTreeSet<Slot>,
    since: Timestamp,
}

impl Engine {
    /// Reserves the workers that are held for gangs, before any step is placed in the pass, and releases those that are
    /// held to no purpose.
    pub(super) fn reserve_held_workers(&mut self, reserved: &mut Reservations, now: Timestamp) {
        let held = self.holds.iter();
        let ended = held.filter_map(|(id, hold)| Some((*id, self.end_of_hold(*id, hold, now)?)));
        let ended: Vec<(StepId, &'static str)> = ended.collect();
        for (id, why) in ended {
            self.release_held_workers(id, why, now);
        }
        for (id, hold) in &self.holds {
            reserved.reserve_held(&hold.slots, *id);
        }
    }

    /// Returns whether workers are held for a gang.
    pub(super) fn is_holding(&self, id: StepId) -> bool {
        self.holds.contains_key(&id)
    }

    /// Holds workers for a gang until it starts.
    pub(super) fn hold_workers(&mut self, id: StepId, slots: BTreeSet<Slot>, now: Timestamp) {
        let hold = Hold { slots, since: now };
        self.log_hold(id, &hold, "begun", now);
        self.holds.insert(id, hold);
        self.open_steps.mark_unranked(id);
    }

    /// Releases the workers that are held for a gang, if there are any, and logs why as one word.
    pub(super) fn release_held_workers(&mut self, id: StepId, why: &'static str, now: Timestamp) {
        if let Some(hold) = self.holds.remove(&id) {
            self.log_hold(id, &hold, why, now);
            self.open_steps.mark_unranked(id);
        }
    }

    /// Returns the number of workers that are held for gangs.
    pub(super) fn held_worker_count(&self) -> usize {
        self.holds.values().map(|hold| hold.slots.len()).sum()
    }

    /// Returns the candidates for a gang that have free capacity for a member, or will have some once the tasks that were
    /// preempted for it have stopped, each with how many members fit there.
    pub(super) fn candidates_after_stops<'a>(
        &'a self,
        demand: &'a Demand<'_>,
        stage: &'a Stage,
    ) -> impl Iterator<Item = (Slot, &'a Worker, usize)> {
        let hold = self.holds.get(&demand.id);
        let is_held = move |slot: &Slot| hold.is_some_and(|hold| hold.slots.contains(slot));
        let slots = self.slots_for(demand, stage, demand.size.cpu);
        let slots =
            slots.filter(move |slot| is_held(slot) || self.free_capacity.fits(*slot, &demand.size));
        slots.filter_map(move |slot| {
            let worker = self.workers.get(&slot)?;
            let free = match is_held(&slot) {
                true => worker.free_after_stops(),
                false => worker.free,
            };
            Some((slot, worker, super::place::fit_count(&free, &demand.size)))
        })
    }

    /// Returns why the workers of a hold must be released: the gang is no longer wanted, or it doesn't fit there even once
    /// the tasks that are stopping or end soon are gone. Returns `None` if they remain held.
    fn end_of_hold(&self, id: StepId, hold: &Hold, now: Timestamp) -> Option<&'static str> {
        const OVER: &str = "over";
        let rank = self.open_steps.rank_of(id);
        let Some(rank) = rank.filter(|rank| !rank.is_worthless()) else {
            return Some(OVER);
        };
        let Some(job) = self.jobs.get(&id.job).filter(|job| !job.is_over()) else {
            return Some(OVER);
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return Some(OVER);
        };
        let slots = hold.slots.iter();
        let workers = slots.filter_map(|slot| Some((*slot, self.workers.get(slot)?)));
        let admitting = workers.filter(|(_, worker)| demand.admits(worker, now));
        let offers = admitting.map(|(slot, worker)| self.offer(&demand, slot, worker, rank, now));
        let fits: usize = offers.map(|offer| offer.fits_eventually).sum();
        (fits < stage.waiting.len()).then_some("too-small")
    }

    fn log_hold(&mut self, id: StepId, hold: &Hold, state: &'static str, now: Timestamp) {
        self.log(LogRecord::Hold {
            step: id,
            state,
            workers: hold.slots.len(),
            age: now.since(hold.since),
        });
    }
}
