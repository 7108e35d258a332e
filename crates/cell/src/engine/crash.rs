//! Detection of tasks that crash the workers that start them.
//!
//! A task may crash each worker that starts it. A crashed worker reports no end of a run, so the task uses up no
//! attempt, and everything that ran on the same worker is lost each time. The engine therefore counts, per task, the
//! workers that crashed when they had just begun it. One such crash proves little: some of the tasks on a busy worker
//! have always just begun. A task that was present at two crashes is a suspect and runs alone, or only with tasks of
//! its step, which would fail with it anyway: a further crash then harms no other step and shows which step is at
//! fault. At the third crash the task is given up and its job fails. Once a worker has worked on the task for longer
//! than a crash at its start takes, the task's count is cleared.
//!
//! A worker that is silent but listed may only be partitioned. Once its leases have expired, its tasks are started
//! elsewhere and the crash is doubted: it counts only once the worker is known to be gone, and until then merely bounds
//! how often the task is started. Doubted crashes are recorded like the others, since whichever node owns the cell when
//! the worker reappears has to settle them.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    reserve::Reservations,
    stage::{
        Stage,
        Task, //
    }, //
};
use crate::{
    effect::LogRecord,
    id::{
        JobId,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::{
        Crash,
        Outcome,
        Progress, //
    },
    worker::{
        Allocation,
        Silence,
        Worker, //
    },
};

/// How long after the start of a run a crash of its worker may be attributed to the run.
///
/// Crashes at the start of a task occur 34 to 52 ms after the decision to start it; the rest allows for nodes that
/// process the answers of workers late.
const START_CRASH_WINDOW: Duration = Duration::from_millis(500);
/// The number of crashes after which a task runs alone: callers tolerate two crashes of a task that shares its worker.
const MIN_SUSPECT_CRASHES: usize = 2;
/// The number of crashes that prove a task to be at fault, if it ran alone at the last one.
const MAX_CRASHES_ALONE: usize = 3;
/// How many of the crashes that prove a task to be at fault have to be certain, that is, the task is known to have been
/// on the worker.
///
/// Callers accept that a task is given up after it was present at two crashes, but not if it was present at none.
const MIN_CERTAIN_CRASHES: usize = 2;
/// The number of crashes after which a task is given up in any case.
///
/// The operators of the workers tolerate three crashes and two further starts. With doubted crashes included, a task
/// that reaches this number is not started until they are settled.
const MAX_CRASHES: usize = 5;
/// How long a suspect waits for an empty worker.
///
/// Then it shares a worker with other tasks, so that a fleet that is full or runs only long-running tasks doesn't block
/// it for ever.
const MAX_WAIT_FOR_EMPTY_WORKER: Duration = Duration::from_millis(2_500);
/// How long a suspect waits if a worker is being emptied for it: longer than the remaining run time of most tasks
/// there.
const MAX_WAIT_FOR_EMPTYING_WORKER: Duration = Duration::from_millis(6_000);
/// At most one in this many workers of a pool is emptied at a time for tasks that run alone.
///
/// A rack that crashes twice may leave dozens of suspects, and emptied workers are withheld from all other steps.
const WORKERS_PER_EMPTIED_WORKER: usize = 8;

impl Allocation {
    /// Records whether the run has outlived [`START_CRASH_WINDOW`], given that its worker lists it in answer to a call
    /// made at `sent_at`.
    ///
    /// The arrival time of the answer proves nothing: a slow owner may process an answer of a worker that is gone by
    /// then.
    pub(super) fn update_outlived_crash_window(&mut self, sent_at: Timestamp) {
        if let Some(begun) = self.first_confirmed {
            self.outlived_crash_window |= sent_at.since(begun) > START_CRASH_WINDOW;
        }
    }

    /// Returns whether the run may have just begun when its worker crashed, at `crashed_at` or later.
    fn may_have_just_begun(&self, crashed_at: Timestamp) -> bool {
        match self.first_confirmed {
            Some(begun) => {
                !self.outlived_crash_window && crashed_at.since(begun) <= START_CRASH_WINDOW
            }
            // As long as an order is unanswered, it may have arrived just before the crash.
            None => self.unanswered_starts > 0,
        }
    }
}

impl Worker {
    /// Returns whether the worker may have left as announced.
    ///
    /// An announcement by the next incarnation says nothing about this one.
    fn may_have_left(&self) -> bool {
        self.registration.leaving.is_some() && self.is_current()
    }

    /// Returns whether the worker holds tasks of only one step.
    fn holds_one_step(&self) -> bool {
        let mut steps = self.allocations.keys().map(|(task, _)| task.step);
        let first = steps.next();
        first.is_some_and(|first| steps.all(|step| step == first))
    }

    /// Returns a crash for each run that the worker may have just begun when it went down.
    ///
    /// A worker that had announced its departure may have left rather than crashed. It gets no new tasks for a while
    /// before it leaves, so a run that it is known to have just begun contradicts that; one that it may have begun
    /// doesn't.
    fn crashes_at_start(&self, is_doubted: bool) -> Vec<(TaskId, Crash)> {
        let (crashed_at, is_time_known) = match self.silence {
            Some(Silence::Broken(at)) => (at, self.heard.is_some()),
            Some(Silence::Missed) | None => (self.heard.unwrap_or(Timestamp::ZERO), false),
        };
        let may_have_left = self.may_have_left();
        let is_known =
            |allocation: &Allocation| is_time_known && allocation.first_confirmed.is_some();
        let allocations = self.allocations.iter();
        let begun = allocations.filter(|(_, allocation)| {
            allocation.may_have_just_begun(crashed_at) && (is_known(allocation) || !may_have_left)
        });
        let crashes = begun.map(|((task, run), allocation)| {
            let crash = Crash {
                run: *run,
                worker: self.registration.id.clone(),
                incarnation: self.incarnation,
                is_certain: is_known(allocation) && !may_have_left,
                may_be_cut_off: is_doubted,
            };
            (*task, crash)
        });
        crashes.collect()
    }

    /// Returns the tasks that the worker has worked on for longer than a crash at their start takes.
    fn tasks_past_crash_window(&self) -> Vec<TaskId> {
        let allocations = self
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.outlived_crash_window);
        allocations.map(|((task, _), _)| *task).collect()
    }
}

impl Task {
    /// Returns the crashes that count against the task: those that are not doubted.
    fn counted_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.may_be_cut_off)
    }

    /// Returns whether the task has to run alone.
    pub(super) fn is_suspect(&self) -> bool {
        self.counted_crashes().count() >= MIN_SUSPECT_CRASHES
    }

    /// Returns whether the task must not start until its doubted crashes are settled, since with them it reaches the
    /// maximum.
    fn awaits_crash_settlement(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES
    }

    /// Returns whether the task is given up after a crash.
    ///
    /// `is_alone` tells whether the worker held only tasks of its step.
    fn is_given_up(&self, is_alone: bool) -> bool {
        let counted = self.counted_crashes().count();
        let certain = self
            .counted_crashes()
            .filter(|crash| crash.is_certain)
            .count();
        let is_proved = is_alone && counted >= MAX_CRASHES_ALONE && certain >= MIN_CERTAIN_CRASHES;
        is_proved || counted >= MAX_CRASHES
    }

    /// Adds a crash, or settles a doubted one; returns whether that changed anything.
    fn note_crash(&mut self, crash: &Crash) -> bool {
        let known = self
            .crashes
            .iter_mut()
            .find(|known| known.is_same_start(crash));
        match known {
            Some(known) => {
                let is_settled = known.may_be_cut_off && !crash.may_be_cut_off;
                known.may_be_cut_off &= crash.may_be_cut_off;
                is_settled
            }
            None => {
                self.crashes.push(crash.clone());
                true
            }
        }
    }
}

impl Stage {
    /// Returns whether a task must not start until its doubted crashes are settled.
    pub(super) fn awaits_crash_settlement(&self, index: u16) -> bool {
        self.task(index).is_some_and(Task::awaits_crash_settlement)
    }

    /// Returns whether a task has to run alone.
    pub(super) fn is_suspect(&self, index: u16) -> bool {
        self.task(index).is_some_and(Task::is_suspect)
    }

    /// Returns the waiting tasks that have to run alone.
    pub(super) fn suspects(&self) -> impl Iterator<Item = u16> {
        let waiting = self.waiting.iter().copied();
        waiting.filter(|index| self.is_suspect(*index))
    }

    /// Returns whether all waiting tasks have to run alone.
    pub(super) fn are_all_suspects(&self) -> bool {
        self.suspects().count() == self.waiting.len()
    }
}

impl Engine {
    /// Counts the crash of a worker that is gone against the tasks that it had just begun.
    pub(super) fn count_crashes(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let id = worker.registration.id.clone();
        let is_alone = worker.holds_one_step();
        let past_crash_window = worker.tasks_past_crash_window();
        let begun = worker.crashes_at_start(false);
        past_crash_window
            .into_iter()
            .for_each(|task| self.clear_crashes(task));
        for (task, crash) in begun {
            self.count_crash(task, crash, is_alone, now);
        }
        for (task, mut crash) in self.doubted_crashes(&id) {
            crash.may_be_cut_off = false;
            self.count_crash(task, crash, false, now);
        }
    }

    /// Adds a doubted crash to the tasks that a silent worker had just begun, before its allocations are released.
    pub(super) fn add_doubted_crashes(&mut self, slot: Slot, now: Timestamp) {
        let begun = self
            .workers
            .get(&slot)
            .map(|worker| worker.crashes_at_start(true));
        for (task, crash) in begun.unwrap_or_default() {
            self.count_crash(task, crash, false, now);
        }
    }

    /// Returns the doubted crashes of a worker, with their tasks.
    fn doubted_crashes(&self, worker: &WorkerId) -> Vec<(TaskId, Crash)> {
        let tasks = self
            .tasks_by_crashed_worker
            .get(worker)
            .into_iter()
            .flatten();
        let doubted = tasks.flat_map(|task| {
            let crashes = self.task(*task).map(|state| state.crashes.iter());
            let crashes = crashes.into_iter().flatten();
            let crashes = crashes.filter(|crash| crash.may_be_cut_off && crash.worker == *worker);
            crashes.map(|crash| (*task, crash.clone()))
        });
        doubted.collect()
    }

    /// Adds a crash, doubted or not, to a task, and gives the task's job up if that proves the task to be at fault.
    ///
    /// `is_alone` tells whether the worker held only tasks of its step.
    fn count_crash(&mut self, task: TaskId, crash: Crash, is_alone: bool, now: Timestamp) {
        let id = task.step.job;
        let is_open = self.jobs.get(&id).is_some_and(|job| !job.is_over());
        let state = self
            .task_mut(task)
            .filter(|state| is_open && !state.is_done);
        let Some(state) = state else {
            return;
        };
        if !state.note_crash(&crash) {
            return;
        }
        let crashes = state.counted_crashes().count();
        let is_given_up = state.is_given_up(is_alone);
        let verdict = match state.is_suspect() {
            _ if crash.may_be_cut_off => "doubted",
            _ if is_given_up => "given-up",
            true => "alone",
            false => "counted",
        };
        if is_given_up && let Some(job) = self.jobs.get_mut(&id) {
            job.outcome = Some(Outcome::Failed);
        }
        // The count is recorded before the next start, which waits until it is recorded itself.
        self.record_queue.add_job(id);
        self.index_crash(&crash.worker, task);
        self.log(LogRecord::Crashed {
            task,
            run: crash.run,
            worker: crash.worker,
            crashes,
            verdict,
        });
        if is_given_up {
            self.stop_job(id, "crashes-workers", now);
        }
    }

    /// Indexes a task by the worker of one of its crashes, in case the worker answers again or turns out to be gone.
    fn index_crash(&mut self, worker: &WorkerId, task: TaskId) {
        let tasks = self
            .tasks_by_crashed_worker
            .entry(worker.clone())
            .or_default();
        if !tasks.contains(&task) {
            tasks.push(task);
        }
    }

    /// Indexes the recorded crashes of a job by their workers, in case these answer again or turn out to be gone.
    pub(super) fn index_recorded_crashes(&mut self, job: JobId, progress: &Progress) {
        for (occurrence, steps) in &progress.occurrences {
            for (step, step_progress) in (0u16..).zip(steps) {
                let id = StepId {
                    job,
                    occurrence: *occurrence,
                    step,
                };
                for recorded in &step_progress.crashes {
                    for crash in &recorded.crashes {
                        self.index_crash(&crash.worker, id.task(recorded.index));
                    }
                }
            }
        }
    }

    /// Removes the crashes counted for a worker that seemed to have crashed but answers again as the same incarnation.
    pub(super) fn retract_crashes(&mut self, slot: Slot) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let (id, incarnation) = (worker.registration.id.clone(), worker.incarnation);
        for task in self.tasks_by_crashed_worker.remove(&id).unwrap_or_default() {
            if let Some(state) = self.task_mut(task) {
                state
                    .crashes
                    .retain(|crash| crash.worker != id || crash.incarnation != incarnation);
                self.record_queue.add_job(task.step.job);
            }
        }
    }

    /// Allows other tasks on the worker of a run that was alone and has outlived the crash window.
    pub(super) fn end_isolation(&mut self, slot: Slot, task: TaskId, run: Run) {
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.end_exclusive(task, run);
        }
        self.update_indexes(slot);
        self.clear_crashes(task);
    }

    /// Clears the crashes of a task, because a worker has worked on it without crashing.
    pub(super) fn clear_crashes(&mut self, task: TaskId) {
        let state = self.task_mut(task);
        if let Some(state) = state.filter(|state| !state.crashes.is_empty()) {
            state.crashes.clear();
            self.record_queue.add_job(task.step.job);
        }
    }

    /// Removes from the crash index the workers none of whose crashes is noted for an open task any more.
    pub(super) fn forget_crashes(&mut self) {
        let jobs = &self.jobs;
        self.tasks_by_crashed_worker.retain(|id, tasks| {
            tasks.iter().any(|task| {
                let job = jobs.get(&task.step.job).filter(|job| !job.is_over());
                let stage = job.and_then(|job| job.stage(task.step));
                let state = stage.and_then(|stage| stage.task(task.index));
                state.is_some_and(|state| state.crashes.iter().any(|crash| crash.worker == *id))
            })
        });
    }

    /// Returns whether a task has to run alone and has not yet waited too long for an empty worker.
    pub(super) fn must_run_alone(&self, id: StepId, index: u16, now: Timestamp) -> bool {
        let state = self.task(id.task(index));
        state
            .filter(|state| state.is_suspect())
            .is_some_and(|state| {
                let since = state.waits_for_empty_since.unwrap_or(now);
                let max_wait = match self.emptying.contains_key(&id) {
                    true => MAX_WAIT_FOR_EMPTYING_WORKER,
                    false => MAX_WAIT_FOR_EMPTY_WORKER,
                };
                now.since(since) < max_wait
            })
    }

    /// Starts the tasks of a step that have to run alone; returns whether none of them lacks a worker.
    pub(super) fn place_suspects(
        &mut self,
        id: StepId,
        reserved: &mut Reservations,
        now: Timestamp,
    ) -> bool {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let suspects = stage.map(|stage| stage.suspects().collect());
        let suspects: Vec<u16> = suspects.unwrap_or_default();
        for index in suspects {
            if !self.has_attempt_left(id, index, now) {
                continue;
            }
            let found = self.find_worker(id, index, reserved, now);
            let run = self.next_run(id, index);
            if !found.is_some_and(|slot| self.start(id, index, slot, run, now)) {
                self.reserve_until_empty(id, reserved, now);
                return false;
            }
        }
        true
    }

    /// Returns a worker for one task: an empty one if the task has to run alone.
    pub(super) fn find_worker(
        &self,
        id: StepId,
        index: u16,
        reserved: &Reservations,
        now: Timestamp,
    ) -> Option<Slot> {
        match self.must_run_alone(id, index, now) {
            true => self.find_empty_worker(id, reserved, now),
            false => self.find_shared_worker(id, index, reserved, now),
        }
    }

    /// Returns a worker that may run a task of a step and holds nothing, or only tasks of the step that run alone.
    fn find_empty_worker(
        &self,
        id: StepId,
        reserved: &Reservations,
        now: Timestamp,
    ) -> Option<Slot> {
        let job = self.jobs.get(&id.job)?;
        let (demand, stage) = (self.demand(job, id)?, job.stage(id)?);
        let mut candidates = self.candidates(&demand, stage);
        let empty = candidates.find(|(slot, worker)| {
            demand.size.fits(&worker.exclusive_capacity(id))
                && self.anti_affinity_left(&demand, worker) > 0
                && !reserved.is_reserved_for_other(*slot, id)
                && self.may_run_on(job, &demand, *slot, worker, now)
        });
        empty.map(|(slot, _)| slot)
    }

    /// Renews, at the start of a pass, the reservations of the workers that are being emptied.
    ///
    /// A late step ranks behind all others in a pass; without these reservations, the others would take each piece of
    /// capacity as soon as it is free.
    pub(super) fn reserve_emptying_workers(&mut self, reserved: &mut Reservations, now: Timestamp) {
        let mut emptying = self.emptying.clone();
        emptying.retain(|id, slot| self.is_emptying_needed(*id, *slot, now));
        for (id, slot) in &emptying {
            reserved.reserve_until_empty(*slot, *id);
        }
        self.emptying = emptying;
    }

    /// Returns whether a step still waits for a worker to become empty, and the worker may still run it.
    fn is_emptying_needed(&self, id: StepId, slot: Slot, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id.job).filter(|job| !job.is_over()) else {
            return false;
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return false;
        };
        let worker = self.workers.get(&slot);
        let is_open = worker.is_some_and(|worker| demand.admits(worker, now));
        let mut suspects = stage.suspects();
        is_open && suspects.any(|index| self.must_run_alone(id, index, now))
    }

    /// Reserves a worker until it is empty, if a task of a step has to run alone.
    pub(super) fn reserve_until_empty(
        &mut self,
        id: StepId,
        reserved: &mut Reservations,
        now: Timestamp,
    ) {
        if !self.emptying.contains_key(&id)
            && let Some(slot) = self.first_to_empty(id, reserved, now)
        {
            reserved.reserve_until_empty(slot, id);
            self.emptying.insert(id, slot);
        }
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let Some(stage) = stage else {
            return;
        };
        let suspects: Vec<u16> = stage.suspects().collect();
        for index in suspects {
            if let Some(state) = stage.task_mut(index) {
                state.waits_for_empty_since.get_or_insert(now);
            }
        }
    }

    /// Returns the worker likely to be empty first, among those that may run a step's suspects and hold no
    /// long-running tasks.
    fn first_to_empty(&self, id: StepId, reserved: &Reservations, now: Timestamp) -> Option<Slot> {
        let job = self.jobs.get(&id.job)?;
        let (demand, stage) = (self.demand(job, id)?, job.stage(id)?);
        let members = self.free_capacity.worker_count(&demand.queue.pool);
        if stage.suspects().next().is_none()
            || reserved.emptying_count() * WORKERS_PER_EMPTIED_WORKER >= members
        {
            return None;
        }
        let candidates = self.candidates(&demand, stage);
        let emptied = candidates.filter(|(slot, worker)| {
            let mut tasks = worker.allocations.keys();
            !reserved.is_reserved_for_other(*slot, id)
                && demand.admits(worker, now)
                && demand.size.fits(&worker.registration.capacity)
                && tasks.all(|(task, _)| self.ends_soon(*task, true))
        });
        let first = emptied.min_by_key(|(slot, worker)| (worker.allocations.len(), *slot));
        first.map(|(slot, _)| slot)
    }
}
