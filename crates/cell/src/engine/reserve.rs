//! Preemption, and reservation of workers for a gang until it fits.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use fulmarpier_state::{
    alias::{
        HashMap,
        HashSet, //
    },
    clock::Timestamp,
    quota,
    resource::Resources, //
};

use super::{
    Engine, Slot,
    place::{
        Demand,
        fit_count, //
    },
    schedule::{
        Rank,
        URGENT_PRIORITY, //
    },
};
use crate::{
    effect::LogRecord,
    id::{
        Run,
        StepId,
        TaskId, //
    },
    speed::Class,
    worker::{
        Phase,
        Worker, //
    },
};

/// For how many gangs workers are reserved at a time, since each reservation makes other steps wait. With a quarter of
/// 540 workers reserved for more gangs, twice as many runs were stopped and urgent jobs were late.
const MAX_GANGS_WITH_RESERVATIONS: usize = 4;

/// The assumed remaining run time of tasks on a reserved worker. Most tasks that are neither urgent nor part of a gang
/// run for 2.2 s.
const EXPECTED_REMAINING_TIME: Duration = Duration::from_millis(1_000);

/// The workers, and the shares of workspace limits, that are reserved for steps during one scheduling pass.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    /// The step that each reserved worker is reserved for.
    holders: HashMap<Slot, StepId>,
    /// The workers that are held for a gang since an earlier pass.
    held: HashSet<Slot>,
    /// The gangs with reserved workers.
    gangs: BTreeSet<StepId>,
    /// The number of workers that are reserved until they are empty.
    emptying_count: usize,
    /// The shares of each workspace's limit that are reserved, with their steps.
    limits: HashMap<quota::Slot, Vec<(StepId, Resources)>>,
}

impl Reservations {
    /// Returns whether a worker is reserved for another step.
    pub(super) fn is_reserved_for_other(&self, slot: Slot, id: StepId) -> bool {
        self.holders.get(&slot).is_some_and(|holder| *holder != id)
    }

    /// Returns whether a worker may not be used for a step. Urgent steps may use those that are held for gangs.
    pub(super) fn excludes(&self, slot: Slot, demand: &Demand<'_>) -> bool {
        let is_open_to_urgent =
            self.held.contains(&slot) && demand.queue.priority == URGENT_PRIORITY;
        self.is_reserved_for_other(slot, demand.id) && !is_open_to_urgent
    }

    /// Reserves the workers that are held for a gang.
    pub(super) fn reserve_held(&mut self, slots: &BTreeSet<Slot>, id: StepId) {
        self.held.extend(slots);
        self.reserve_for_gang(slots.iter().copied(), id);
    }

    /// Returns whether workers may be reserved for one more gang.
    fn may_reserve_for_gang(&self) -> bool {
        self.gangs.len() < MAX_GANGS_WITH_RESERVATIONS
    }

    /// Returns whether workers are reserved for a gang.
    pub(super) fn has_gang(&self, id: StepId) -> bool {
        self.gangs.contains(&id)
    }

    /// Reserves a share of a workspace's limit for a step.
    pub(super) fn reserve_quota(&mut self, account: quota::Slot, id: StepId, size: Resources) {
        let reservations = self.limits.entry(account).or_default();
        reservations.retain(|(holder, _)| *holder != id);
        reservations.push((id, size));
    }

    /// Returns how much of a workspace's limit is reserved for other steps, all of which rank before this one; `None`
    /// on overflow.
    pub(super) fn reserved_quota(&self, account: quota::Slot, id: StepId) -> Option<Resources> {
        let reservations = self.limits.get(&account).into_iter().flatten();
        let mut others = reservations.filter(|(holder, _)| *holder != id);
        others.try_fold(Resources::ZERO, |sum, (_, size)| sum.checked_add(*size))
    }

    /// Reserves the workers on which a gang fits, or will fit.
    pub(super) fn reserve_for_gang(&mut self, slots: impl Iterator<Item = Slot>, id: StepId) {
        self.gangs.insert(id);
        self.reserve(slots, id);
    }

    /// Reserves a worker until it is empty.
    pub(super) fn reserve_until_empty(&mut self, slot: Slot, id: StepId) {
        self.emptying_count += 1;
        self.reserve([slot].into_iter(), id);
    }

    /// Returns the number of workers that are reserved until they are empty.
    pub(super) const fn emptying_count(&self) -> usize {
        self.emptying_count
    }

    /// Reserves workers, except those that are reserved already.
    fn reserve(&mut self, slots: impl Iterator<Item = Slot>, id: StepId) {
        for slot in slots {
            self.holders.entry(slot).or_insert(id);
        }
    }
}

/// What a worker could offer a step, now and after other tasks have ended or been preempted.
pub(super) struct Offer {
    slot: Slot,
    class: Class,
    /// How many tasks fit once the runs that are being stopped have ended.
    fits_soon: usize,
    /// How many tasks fit once all short and preemptible tasks have ended too.
    pub(super) fits_eventually: usize,
    /// The CPU that is free already, in millicores.
    idle_cpu: u64,
    /// The preemptible runs, in the order of preemption: those that lose the least work first.
    victims: Vec<(TaskId, Run, Resources)>,
}

impl Engine {
    /// Reserves workers for a step that fits nowhere, and preempts tasks there if that pays. Returns whether it has
    /// evaluated the workers, which is what takes time.
    ///
    /// The reserved workers are closed to all less urgent steps. Otherwise smaller tasks would take each piece of free
    /// resources before it is large enough. Tasks that run on a reserved worker end by themselves, or are preempted
    /// once that is cheaper than leaving the reserved resources idle. Urgent tasks preempt others at once. Only tasks
    /// of a lower priority that write checkpoints are preempted.
    pub(super) fn reserve_workers(
        &mut self,
        id: StepId,
        reserved: &mut Reservations,
        now: Timestamp,
    ) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let Some(demand) = self.demand(job, id) else {
            return false;
        };
        let is_gang = demand.step.gang;
        if is_gang && !reserved.may_reserve_for_gang() {
            return false;
        }
        if !is_gang && demand.queue.priority > 0 {
            return false;
        }
        let Some(stage) = job.stage(id) else {
            return false;
        };
        let must_preempt = !is_gang || now >= job.latest_start(id);
        let Some((rank, _)) = self.rank(id, now) else {
            return false;
        };
        let size = demand.size;
        let count = match is_gang {
            true => stage.waiting.len(),
            false => stage.waiting.len() - stage.suspects().count(),
        };
        if count == 0 {
            return false;
        }
        let mut offers: Vec<Offer> = self
            .candidates(&demand, stage)
            .filter(|(slot, worker)| {
                !reserved.is_reserved_for_other(*slot, id) && demand.admits(worker, now)
            })
            .map(|(slot, worker)| self.offer(&demand, slot, worker, rank, now))
            .collect();
        let preference = self.preference(job, &demand, now);
        offers.sort_by_key(|offer| {
            let missing = offer.fits_eventually - offer.fits_soon;
            (
                std::cmp::Reverse(offer.fits_soon),
                missing,
                preference.position(offer.class),
                std::cmp::Reverse(offer.idle_cpu),
                offer.slot,
            )
        });
        let Some(chosen) = choose_workers(offers, count, is_gang) else {
            return true;
        };
        let slots = chosen.iter().map(|(offer, _)| offer.slot);
        match is_gang {
            true => reserved.reserve_for_gang(slots, id),
            false => reserved.reserve(slots, id),
        }
        if must_preempt || self.is_preemption_worthwhile(&chosen) {
            let slots: BTreeSet<Slot> = chosen.iter().map(|(offer, _)| offer.slot).collect();
            let mut victims = 0;
            for (offer, wanted) in chosen {
                victims += self.preempt(id, &offer, wanted, size, now);
            }
            if is_gang && victims > 0 {
                self.hold_workers(id, slots, now);
            }
        }
        true
    }

    /// Returns whether leaving the reserved CPU idle until the other tasks end by themselves would cost at least as
    /// much as the work that is lost if they are preempted now.
    fn is_preemption_worthwhile(&self, chosen: &[(Offer, usize)]) -> bool {
        let idle_cpu: u64 = chosen.iter().map(|(offer, _)| offer.idle_cpu).sum();
        let victims = chosen.iter().flat_map(|(offer, _)| &offer.victims);
        let preempted_cpu: u64 = victims.map(|(_, _, size)| u64::from(size.cpu.get())).sum();
        let loss = self.bounds.preemption_loss().as_secs_f64();
        idle_cpu as f64 * EXPECTED_REMAINING_TIME.as_secs_f64() >= preempted_cpu as f64 * loss
    }

    /// Returns what a worker could offer a step. A step that was promoted because it had waited for long
    /// counts on gangs to end there as well.
    pub(super) fn offer(
        &self,
        demand: &Demand<'_>,
        slot: Slot,
        worker: &Worker,
        rank: Rank,
        now: Timestamp,
    ) -> Offer {
        let is_promoted = self.promoted.get(&demand.queue.name) == Some(&demand.id);
        let mut free_soon = worker.free;
        let mut free_later = Resources::ZERO;
        let mut victims = Vec::new();
        for ((task, run), allocation) in &worker.allocations {
            if allocation.is_exclusive {
                continue;
            }
            if matches!(allocation.phase, Phase::Stopping { .. }) {
                free_soon = free_soon.checked_add(allocation.size).unwrap_or(free_soon);
            } else if matches!(allocation.phase, Phase::Running { .. })
                && self.is_preemptible_by(*task, demand, rank, now)
            {
                victims.push((*task, *run, allocation.size, allocation.since));
            } else if self.ends_soon(*task, is_promoted) {
                free_later = free_later
                    .checked_add(allocation.size)
                    .unwrap_or(free_later);
            }
        }
        // The runs that started last lose the least work.
        victims.sort_by_key(|(_, _, _, since)| std::cmp::Reverse(*since));
        let free_eventually = victims.iter().fold(free_soon, |free, (_, _, size, _)| {
            free.checked_add(*size).unwrap_or(free)
        });
        let free_eventually = free_eventually
            .checked_add(free_later)
            .unwrap_or(free_eventually);
        Offer {
            slot,
            class: worker.speed_class,
            fits_soon: fit_count(&free_soon, &demand.size),
            fits_eventually: fit_count(&free_eventually, &demand.size),
            idle_cpu: u64::from(worker.free.cpu.get()),
            victims: victims
                .into_iter()
                .map(|(task, run, size, _)| (task, run, size))
                .collect(),
        }
    }

    /// Returns whether a running task can be expected to end soon by itself: long-running services are excluded, and
    /// members of gangs are too unless `with_gangs` is set.
    pub(super) fn ends_soon(&self, task: TaskId, with_gangs: bool) -> bool {
        let job = self.jobs.get(&task.step.job);
        let step = job.and_then(|job| job.step(task.step));
        step.is_some_and(|step| (with_gangs || !step.gang) && !step.long_running)
    }

    /// Returns whether a running task may be preempted for a step.
    ///
    /// A preempted task waits again at once, so it has to rank after the step. If it ranked before, it would take the
    /// freed resources back and be preempted again, in an endless cycle.
    fn is_preemptible_by(
        &self,
        task: TaskId,
        demand: &Demand<'_>,
        rank: Rank,
        now: Timestamp,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let step = job.step(task.step);
        let is_preemptible =
            step.is_some_and(|step| step.checkpointing && !step.gang && !step.long_running);
        // The rank comes last, since it takes the most time.
        is_preemptible
            && self.queue_of(job).priority > demand.queue.priority
            && self.rank(task.step, now).is_some_and(|(own, _)| own > rank)
    }

    /// Preempts tasks on a worker until the wanted number of tasks of a step fits there; returns how many it preempts.
    fn preempt(
        &mut self,
        id: StepId,
        offer: &Offer,
        wanted: usize,
        size: Resources,
        now: Timestamp,
    ) -> usize {
        let Some(worker) = self.workers.get(&offer.slot) else {
            return 0;
        };
        let mut free = worker.free_after_stops();
        let mut victims = 0;
        for (task, run, freed) in &offer.victims {
            if fit_count(&free, &size) >= wanted {
                break;
            }
            victims += 1;
            self.stop(offer.slot, *task, *run, "preempted", now);
            free = free.checked_add(*freed).unwrap_or(free);
        }
        if victims > 0 {
            self.log_preempting(id, offer, wanted, victims, now);
        }
        victims
    }

    /// Logs that tasks on a worker are preempted for a step.
    fn log_preempting(
        &mut self,
        id: StepId,
        offer: &Offer,
        wanted: usize,
        victims: usize,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get(&offer.slot) else {
            return;
        };
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let ticket = stage.and_then(|stage| stage.advice.ticket(offer.slot, worker, now));
        let record = LogRecord::Preempting {
            step: id,
            worker: worker.registration.id.clone(),
            wanted,
            fits: offer.fits_soon,
            victims,
            ticket: ticket.map(|ticket| now.until(ticket.until)),
        };
        self.log(record);
    }
}

/// Chooses workers in the order of `offers`, with the number of tasks that each takes. Returns `None` if a gang doesn't
/// fit as a whole.
fn choose_workers(offers: Vec<Offer>, count: usize, is_gang: bool) -> Option<Vec<(Offer, usize)>> {
    let mut left = count;
    let mut chosen = Vec::new();
    for offer in offers {
        if left == 0 {
            break;
        }
        if offer.fits_eventually == 0 {
            continue;
        }
        let wanted = left.min(offer.fits_eventually);
        left -= wanted;
        chosen.push((offer, wanted));
    }
    (left == 0 || !is_gang).then_some(chosen)
}
