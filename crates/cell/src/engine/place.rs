//! Finding workers for tasks.

use fulmarpier_state::{
    clock::Timestamp,
    resource::Resources,
    unit::Millicores, //
};

use super::{
    Engine,
    Order,
    Slot,
    WaitReason,
    job::Job,
    reserve::Reservations,
    stage::Stage, //
};
use crate::{
    config::Queue,
    effect::{
        Effect,
        LogRecord,
        Loss, //
    },
    id::{
        Run,
        StepId, //
    },
    job::Step,
    pace::{
        self,
        Candidate, //
    },
    worker::{
        Allocation,
        Phase,
        Worker, //
    },
};

/// The requirements of a step on a worker.
pub(super) struct Demand<'a> {
    pub(super) id: StepId,
    pub(super) step: &'a Step,
    pub(super) queue: &'a Queue,
    pub(super) size: Resources,
    /// The oldest worker report whose capacity is trusted.
    pub(super) min_report_time: Timestamp,
}

impl Demand<'_> {
    /// Returns whether a worker accepts tasks of the step, regardless of free resources and advice.
    pub(super) fn admits(&self, worker: &Worker, now: Timestamp) -> bool {
        let label = self.step.requires.as_deref();
        worker.registration.pool == self.queue.pool
            && worker.is_available(now)
            && worker.registered >= self.min_report_time
            && label.is_none_or(|label| worker.has_label(label))
    }
}

impl Engine {
    /// Returns the current configuration of a job's queue, or the one at the job's acceptance if the queue is gone.
    pub(super) fn queue_of<'a>(&'a self, job: &'a Job) -> &'a Queue {
        let accepted = &job.accepted.queue;
        self.config.queues.get(&accepted.name).unwrap_or(accepted)
    }

    /// Returns the requirements of a step on a worker.
    pub(super) fn demand<'a>(&'a self, job: &'a Job, id: StepId) -> Option<Demand<'a>> {
        let step = job.step(id)?;
        Some(Demand {
            id,
            step,
            queue: self.queue_of(job),
            size: worker_resources(step),
            min_report_time: self.report_validity.valid_from,
        })
    }

    /// Returns whether a worker may run tasks of a step, regardless of free resources.
    pub(super) fn may_run_on(
        &self,
        job: &Job,
        demand: &Demand<'_>,
        slot: Slot,
        worker: &Worker,
        now: Timestamp,
    ) -> bool {
        if !demand.admits(worker, now) {
            return false;
        }
        let stage = job.stage(demand.id);
        let departure = self.expected_departure(now);
        demand.queue.advice.is_none()
            || stage.is_some_and(|stage| stage.advice.ticket(slot, worker, departure).is_some())
    }

    /// Returns how many more tasks of a step its anti-affinity limit allows on a worker.
    pub(super) fn anti_affinity_left(&self, demand: &Demand<'_>, worker: &Worker) -> usize {
        let Some(max_per_worker) = demand.step.anti_affinity else {
            return usize::MAX;
        };
        let here = worker.allocations.keys();
        let here = here.filter(|(task, _)| task.step == demand.id).count();
        usize::from(max_per_worker).saturating_sub(here)
    }

    /// Starts tasks of a step one by one. Returns true if none waits for a worker.
    pub(super) fn place_singles(
        &mut self,
        id: StepId,
        reserved: &mut Reservations,
        now: Timestamp,
    ) -> bool {
        loop {
            let Some(index) = self.first_startable(id, now) else {
                let is_placed = self.place_suspects(id, reserved, now);
                match self.first_waiting(id) {
                    None => self.open_steps.remove(id),
                    Some(_) if is_placed => {
                        self.update_known_wait_reason(id, WaitReason::Attempts, now);
                    }
                    Some(_) => {}
                }
                return is_placed;
            };
            let Some(slot) = self.find_shared_worker(id, index, reserved, now) else {
                return false;
            };
            let run = self.next_run(id, index);
            if !self.start(id, index, slot, run, now) {
                return false;
            }
        }
    }

    /// Returns the first task of a step that waits to be started.
    fn first_waiting(&self, id: StepId) -> Option<u16> {
        let stage = self.jobs.get(&id.job)?.stage(id)?;
        stage.waiting.first().copied()
    }

    /// Returns whether a task has an attempt left even if all its lost runs have failed.
    pub(super) fn has_attempt_left(&self, id: StepId, index: u16, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id.job) else {
            return false;
        };
        let (Some(step), Some(stage)) = (job.step(id), job.stage(id)) else {
            return false;
        };
        if stage.awaits_crash_settlement(index) {
            return false;
        }
        let max_attempts =
            usize::try_from(self.queue_of(job).max_attempts.max(1)).unwrap_or(usize::MAX);
        step.long_running || stage.attempts_used(index, step.gang, now) < max_attempts
    }

    /// Returns the first waiting task that has an attempt left and doesn't have to run alone.
    fn first_startable(&self, id: StepId, now: Timestamp) -> Option<u16> {
        let stage = self.jobs.get(&id.job)?.stage(id)?;
        let waiting = stage.waiting.iter().copied();
        let mut waiting = waiting.filter(|index| !stage.is_suspect(*index));
        waiting.find(|index| self.has_attempt_left(id, *index, now))
    }

    /// Returns the number of the next run of a task.
    ///
    /// If this ownership has used up its numbers for the task, the run belongs to the next ownership, which would give it
    /// once more; so this one ends, before the run is recorded.
    pub(super) fn next_run(&mut self, id: StepId, index: u16) -> Run {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let last = stage.and_then(|stage| stage.task(index));
        let last = last.map_or(Run(0), |task| task.last_run);
        let run = self.epoch.first_run().max(Run(last.0.saturating_add(1)));
        if self.epoch.is_beyond(run) {
            self.outbox.push(Effect::OwnershipLost(Loss::RunsUsedUp));
        }
        run
    }

    /// Returns the best worker for one task that may share it with other tasks.
    pub(super) fn find_shared_worker(
        &self,
        id: StepId,
        index: u16,
        reserved: &Reservations,
        now: Timestamp,
    ) -> Option<Slot> {
        let job = self.jobs.get(&id.job)?;
        let demand = self.demand(job, id)?;
        let stage = job.stage(id)?;
        let avoid = stage.task(index)?.avoided_worker;
        let preference = self.preference(job, &demand, now);
        let fitting = self
            .candidates_with_capacity(&demand, stage)
            .filter(|(slot, worker)| {
                !reserved.excludes(*slot, &demand)
                    && self.may_run_on(job, &demand, *slot, worker, now)
                    && self.anti_affinity_left(&demand, worker) > 0
            });
        let best = fitting.min_by_key(|(slot, worker)| {
            let is_avoided = avoid == Some(*slot);
            (
                reserved.is_reserved_for_other(*slot, id),
                is_avoided,
                is_remote(&demand, worker),
                self.interference_count(&demand, worker),
                preference.position(worker.speed_class),
                cpu_left_key(&demand, worker),
                *slot,
            )
        });
        best.map(|(slot, _)| slot)
    }

    /// Returns the workers that may run tasks of a step, regardless of free resources and ticket age. If the queue
    /// needs no advice, these are all workers of its pool that accept tasks.
    pub(super) fn candidates<'a>(
        &'a self,
        demand: &Demand<'_>,
        stage: &'a Stage,
    ) -> impl Iterator<Item = (Slot, &'a Worker)> {
        let slots = self.slots_for(demand, stage, Millicores(0));
        slots.filter_map(|slot| Some((slot, self.workers.get(&slot)?)))
    }

    /// Returns the [candidates](Self::candidates) that have free resources for a task.
    pub(super) fn candidates_with_capacity<'a>(
        &'a self,
        demand: &Demand<'_>,
        stage: &'a Stage,
    ) -> impl Iterator<Item = (Slot, &'a Worker)> {
        let size = demand.size;
        let slots = self.slots_for(demand, stage, size.cpu);
        let slots = slots.filter(move |slot| self.free_capacity.fits(*slot, &size));
        slots.filter_map(|slot| Some((slot, self.workers.get(&slot)?)))
    }

    /// Returns the workers that advice allows for a step or, if the queue needs no advice, all of its pool with at
    /// least `min_cpu` free.
    pub(super) fn slots_for<'a>(
        &'a self,
        demand: &Demand<'_>,
        stage: &'a Stage,
        min_cpu: Millicores,
    ) -> impl Iterator<Item = Slot> + use<'a> {
        let (advised, others) = match demand.queue.advice {
            Some(_) => (Some(stage.advice.allowed.slots()), None),
            None => (
                None,
                Some(
                    self.free_capacity
                        .with_free_cpu(&demand.queue.pool, min_cpu),
                ),
            ),
        };
        let advised = advised.into_iter().flatten();
        advised.chain(others.into_iter().flatten())
    }

    /// Starts a whole gang, or the missing members of a partly started one. Returns false if members have to wait for
    /// free workers.
    pub(super) fn place_gang(
        &mut self,
        id: StepId,
        reserved: &mut Reservations,
        now: Timestamp,
    ) -> bool {
        let Some(stage) = self.jobs.get(&id.job).and_then(|job| job.stage(id)) else {
            return true;
        };
        if stage.waiting.is_empty() {
            self.open_steps.remove(id);
            return true;
        }
        if let Some(run) = stage.gang_run() {
            self.repair_gang(id, run, reserved, now);
            return true;
        }
        let waiting: Vec<u16> = stage.waiting.iter().copied().collect();
        if waiting
            .iter()
            .any(|index| !self.has_attempt_left(id, *index, now))
        {
            self.update_known_wait_reason(id, WaitReason::Attempts, now);
            return true;
        }
        let Some(places) = self.find_gang_workers(id, &waiting, reserved, now) else {
            self.reserve_until_empty(id, reserved, now);
            return false;
        };
        self.release_held_workers(id, "started", now);
        self.count_started_gang(id);
        let mut run = Run::default();
        for index in &waiting {
            run = run.max(self.next_run(id, *index));
        }
        for (index, slot) in places {
            // `find_gang_workers` has checked the free resources for all members.
            self.start(id, index, slot, run, now);
        }
        self.open_steps.remove(id);
        true
    }

    /// Counts the start of a gang for its queue.
    fn count_started_gang(&mut self, id: StepId) {
        if let Some(job) = self.jobs.get(&id.job) {
            let queue = self.queue_of(job).name.clone();
            *self.gangs_started.entry(queue).or_default() += 1;
        }
    }

    /// Starts missing members of a gang on other workers while there is time for that.
    fn repair_gang(&mut self, id: StepId, run: Run, reserved: &Reservations, now: Timestamp) {
        if !self.may_repair_gang(id, run, now) {
            return;
        }
        while let Some(index) = self.first_waiting(id) {
            let found = self.find_worker(id, index, reserved, now);
            if !found.is_some_and(|slot| self.start(id, index, slot, run, now)) {
                return;
            }
        }
        self.open_steps.remove(id);
    }

    /// Returns a worker for each member of a gang, or `None` if they don't all fit.
    fn find_gang_workers(
        &self,
        id: StepId,
        members: &[u16],
        reserved: &Reservations,
        now: Timestamp,
    ) -> Option<Vec<(u16, Slot)>> {
        let job = self.jobs.get(&id.job)?;
        let (demand, stage) = (self.demand(job, id)?, job.stage(id)?);
        let mut fits: Vec<(Slot, usize, &Worker)> = Vec::new();
        for (slot, worker) in self.candidates_with_capacity(&demand, stage) {
            if reserved.excludes(slot, &demand) || !self.may_run_on(job, &demand, slot, worker, now)
            {
                continue;
            }
            let fit =
                fit_count(&worker.free, &demand.size).min(self.anti_affinity_left(&demand, worker));
            if fit > 0 {
                fits.push((slot, fit, worker));
            }
        }
        let (isolated, others): (Vec<u16>, Vec<u16>) = members
            .iter()
            .partition(|index| self.must_run_alone(id, **index, now));
        let mut places = Vec::with_capacity(members.len());
        if !isolated.is_empty() {
            let empty = fits
                .iter()
                .filter(|(_, _, worker)| worker.allocations.is_empty());
            let slots = assign_slots(empty.map(|(slot, fit, _)| (*slot, *fit)), isolated.len())?;
            fits.retain(|(slot, _, _)| !slots.contains(slot));
            places.extend(isolated.into_iter().zip(slots));
        }
        let count = others.len();
        let candidates: Vec<Candidate<'_, Slot>> = fits
            .iter()
            .map(|(slot, fit, worker)| {
                let is_held = reserved.is_reserved_for_other(*slot, id);
                self.gang_candidate(&demand, *slot, *fit, worker, is_held)
            })
            .collect();
        let in_one_rack = demand.step.same_rack;
        let in_one_rack = in_one_rack.then(|| pace::choose_rack(&candidates, count));
        let slots = in_one_rack
            .flatten()
            .or_else(|| pace::choose_workers(candidates, count))?;
        places.extend(others.into_iter().zip(slots));
        Some(places)
    }

    /// Returns what matters of a worker for members of a gang.
    fn gang_candidate<'a>(
        &self,
        demand: &Demand<'_>,
        slot: Slot,
        fits: usize,
        worker: &'a Worker,
        is_held: bool,
    ) -> Candidate<'a, Slot> {
        let interference_count = self.interference_count(demand, worker);
        Candidate {
            worker: slot,
            fits,
            class: worker.speed_class,
            // A worker's labels are its kind and its rack, in this order.
            rack: worker.registration.labels.last().map(AsRef::as_ref),
            penalty: (is_held || is_remote(demand, worker), interference_count),
            left: cpu_left_key(demand, worker),
        }
    }

    /// Allocates the resources for a run. Its start order is sent once the allocation is on record.
    ///
    /// Returns false, and changes nothing, if the workspace's limit or the worker's free resources don't allow it.
    pub(super) fn start(
        &mut self,
        id: StepId,
        index: u16,
        slot: Slot,
        run: Run,
        now: Timestamp,
    ) -> bool {
        let task = id.task(index);
        let charge = self.charge(id);
        if !self.admits(charge) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return false;
        };
        let spec = job.accepted.spec.clone();
        let Some(step) = spec.steps.get(usize::from(id.step)) else {
            return false;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return false;
        };
        let Some(stage) = job.stage_mut(id) else {
            return false;
        };
        let allocation = Allocation {
            size: worker_resources(step),
            charge,
            phase: Phase::Recording,
            since: now,
            fence: worker.fence,
            unanswered_starts: 0,
            resend_when_heard: false,
            is_exclusive: stage.is_suspect(index)
                && worker.exclusive_capacity(id) != Resources::ZERO,
            first_confirmed: None,
            is_unlisted: false,
            progress: None,
            outlived_crash_window: false,
        };
        if !worker.allocate(task, run, allocation) {
            return false;
        }
        if let Some(charge) = charge {
            self.quotas.charge(charge.account, charge.size);
        }
        let heard = worker.time_since_heard(now);
        let ticket = stage.advice.ticket(slot, worker, now).cloned();
        let worker = worker.registration.id.clone();
        let waited = stage.opened_at.map(|opened| now.since(opened));
        stage.waiting.remove(&index);
        if stage.waiting.is_empty() {
            stage.advice.node_wanted_since = None;
        }
        stage.wait_reason = None;
        stage.wait_reason_at = now;
        let mut checkpoint = None;
        if let Some(task) = stage.task_mut(index) {
            task.active_run = Some((slot, run));
            task.last_run = run;
            task.waits_for_empty_since = None;
            checkpoint = task.checkpoint.clone();
        }
        self.log(LogRecord::Placed {
            task,
            run,
            worker,
            heard,
            waited: waited.unwrap_or_default(),
        });
        let order = Order {
            payload: spec.payload.clone(),
            checkpoint,
            ticket,
        };
        self.orders.insert((slot, task, run), order);
        self.update_indexes(slot);
        self.record_queue.add_worker(slot);
        true
    }
}

/// Returns the resources that a task of a step takes on a worker. Best-effort tasks take no CPU.
pub(super) fn worker_resources(step: &Step) -> Resources {
    let mut size = step.size;
    if step.is_best_effort {
        size.cpu = Millicores(0);
    }
    size
}

/// Returns whether a worker is outside the rack that the step prefers.
fn is_remote(demand: &Demand<'_>, worker: &Worker) -> bool {
    let rack = demand.step.affinity.as_deref();
    rack.is_some_and(|rack| !worker.has_label(rack))
}

/// Returns a sort key from the CPU that a worker has left after the task: least first for tight packing, but most first
/// for best-effort tasks, which use only CPU that others leave.
fn cpu_left_key(demand: &Demand<'_>, worker: &Worker) -> u32 {
    let left = worker.free.cpu.get().saturating_sub(demand.size.cpu.get());
    match demand.step.is_best_effort {
        true => u32::MAX - left,
        false => left,
    }
}

/// Returns how many tasks of a size fit into the free resources.
pub(super) fn fit_count(free: &Resources, size: &Resources) -> usize {
    let of = |free: u64, size: u64| free.checked_div(size).unwrap_or(u64::MAX);
    let count = of(free.cpu.get().into(), size.cpu.get().into())
        .min(of(free.memory.get(), size.memory.get()))
        .min(of(free.accelerators.into(), size.accelerators.into()));
    u16::try_from(count).unwrap_or(u16::MAX).into()
}

/// Assigns `count` tasks to workers in order, as many as fit on each, or returns `None` if they don't all fit.
fn assign_slots(fits: impl Iterator<Item = (Slot, usize)>, count: usize) -> Option<Vec<Slot>> {
    let mut places = Vec::with_capacity(count);
    for (slot, fit) in fits {
        let take = fit.min(count - places.len());
        places.extend(std::iter::repeat_n(slot, take));
        if places.len() == count {
            return Some(places);
        }
    }
    None
}
