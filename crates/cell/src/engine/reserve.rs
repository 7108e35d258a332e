//! Making room: preemption, and workers that are kept for a gang until it fits.

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    resource::Resources, //
};

use super::{
    Engine, Slot,
    place::{
        Demand,
        room_for, //
    },
};
use crate::{
    id::{
        Run,
        StepId,
        TaskId, //
    },
    worker::{
        Phase,
        Worker, //
    },
};

/// For how many gangs workers are kept at a time; each makes others wait.
const MOST_GANGS: usize = 2;

/// The workers that are kept for a step in one pass.
#[derive(Debug, Default)]
pub(super) struct Reserved {
    holders: HashMap<Slot, StepId>,
    gangs: usize,
}

impl Reserved {
    /// Returns whether a worker is kept for another step.
    pub(super) fn holds(&self, slot: Slot, id: StepId) -> bool {
        self.holders.get(&slot).is_some_and(|holder| *holder != id)
    }

    fn keep(&mut self, slots: impl Iterator<Item = Slot>, id: StepId) {
        for slot in slots {
            self.holders.entry(slot).or_insert(id);
        }
    }
}

/// What a worker could offer a step if lower priorities made way.
struct Offer {
    slot: Slot,
    /// How many tasks fit once those that end already have ended.
    soon: usize,
    /// How many tasks fit if `victims` end as well.
    most: usize,
    victims: Vec<(TaskId, Run, Resources)>,
}

impl Engine {
    /// Preempts for a step that finds no room, and keeps workers for it if it is a gang.
    ///
    /// Only work of a lower priority that saves itself makes way: it loses at most what it did since
    /// its last checkpoint.
    pub(super) fn make_room(&mut self, id: StepId, reserved: &mut Reserved, now: Timestamp) {
        let Some(job) = self.jobs.get(&id.job) else {
            return;
        };
        let Some(demand) = self.demand(job, id) else {
            return;
        };
        let is_gang = demand.step.gang;
        if is_gang && reserved.gangs >= MOST_GANGS {
            return;
        }
        if !is_gang && demand.queue.priority > 0 {
            return;
        }
        let Some(stage) = job.stage(id) else {
            return;
        };
        let count = stage.waiting.len();
        let mut offers: Vec<Offer> = self
            .workers
            .iter()
            .filter(|(slot, worker)| {
                !reserved.holds(**slot, id) && self.is_eligible(id, **slot, worker, now)
            })
            .map(|(slot, worker)| self.offer(&demand, *slot, worker))
            .collect();
        // Those that need the fewest victims come first.
        offers.sort_by_key(|offer| (offer.most - offer.soon, std::cmp::Reverse(offer.soon)));
        let mut left = count;
        let mut chosen = Vec::new();
        for offer in offers {
            if left == 0 {
                break;
            }
            if offer.most == 0 {
                continue;
            }
            let wanted = left.min(offer.most);
            left -= wanted;
            chosen.push((offer, wanted));
        }
        if left > 0 && is_gang {
            return;
        }
        let size = demand.size;
        if is_gang {
            reserved.gangs += 1;
            reserved.keep(chosen.iter().map(|(offer, _)| offer.slot), id);
        }
        for (offer, wanted) in chosen {
            self.preempt(&offer, wanted, size, now);
        }
    }

    /// Returns whether a worker may run a step, whatever its room and the age of its ticket.
    pub(super) fn is_eligible(
        &self,
        id: StepId,
        slot: Slot,
        worker: &Worker,
        now: Timestamp,
    ) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(demand) = self.demand(job, id) else {
            return false;
        };
        if worker.registration.pool != demand.queue.pool || !worker.is_open(now) {
            return false;
        }
        let label = demand.step.requires.as_deref();
        if label.is_some_and(|label| !worker.has_label(label)) {
            return false;
        }
        let stage = job.stage(id);
        demand.queue.advice.is_none()
            || stage.is_some_and(|stage| stage.advice.allowed.contains_key(&slot))
    }

    fn offer(&self, demand: &Demand<'_>, slot: Slot, worker: &Worker) -> Offer {
        let mut soon = worker.free;
        let mut victims = Vec::new();
        for ((task, run), claim) in &worker.claims {
            if matches!(claim.phase, Phase::Stopping { .. }) {
                soon = soon.checked_add(claim.size).unwrap_or(soon);
            } else if matches!(claim.phase, Phase::Running { .. }) && self.yields(*task, demand) {
                victims.push((*task, *run, claim.size, claim.since));
            }
        }
        // The youngest have the least to lose.
        victims.sort_by_key(|(_, _, _, since)| std::cmp::Reverse(*since));
        let most = victims.iter().fold(soon, |room, (_, _, size, _)| {
            room.checked_add(*size).unwrap_or(room)
        });
        Offer {
            slot,
            soon: room_for(&soon, &demand.size),
            most: room_for(&most, &demand.size),
            victims: victims
                .into_iter()
                .map(|(task, run, size, _)| (task, run, size))
                .collect(),
        }
    }

    /// Returns whether a running task makes way for a step.
    fn yields(&self, task: TaskId, demand: &Demand<'_>) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let step = job.step(task.step);
        self.queue_of(job).priority > demand.queue.priority
            && step.is_some_and(|step| step.checkpointing && !step.gang && !step.lasting)
    }

    fn preempt(&mut self, offer: &Offer, wanted: usize, size: Resources, now: Timestamp) {
        let Some(worker) = self.workers.get(&offer.slot) else {
            return;
        };
        let stopping = worker.claims.values();
        let stopping = stopping.filter(|claim| matches!(claim.phase, Phase::Stopping { .. }));
        let mut room = stopping.fold(worker.free, |room, claim| {
            room.checked_add(claim.size).unwrap_or(room)
        });
        for (task, run, freed) in &offer.victims {
            if room_for(&room, &size) >= wanted {
                return;
            }
            self.stop(offer.slot, *task, *run, "preempted", now);
            room = room.checked_add(*freed).unwrap_or(room);
        }
    }

    /// Keeps the workers on which a gang fits while its tickets are renewed.
    pub(super) fn keep_for(&self, id: StepId, slots: &[Slot], reserved: &mut Reserved) {
        reserved.keep(slots.iter().copied(), id);
    }
}
