//! Tasks under which workers go down.
//!
//! A task may crash each worker that starts it. A worker that goes down tells of no end, so no try of the task is used
//! up, and all that ran beside it is lost each time. What is counted instead is the workers that went down when they had
//! just begun a task, one after the other. That proves little the first time: of what a busy worker runs, some has always
//! just begun. A task that was there twice runs alone, or with others of its step, which would be given up with it: that
//! takes nobody else along, and tells whose fault it is. It is given up when a third worker goes down so. Once a worker has
//! worked on it for longer than a crash takes, nothing is held against it any more.
//!
//! A worker that is silent but listed may only be cut off. Once its leases have lapsed its tasks are started elsewhere, and
//! the crash is doubted: it counts once the worker is known to be gone, and only bounds how often a task is started until
//! then. Doubts are on record like the count, since whoever owns the cell when the worker turns up has to settle them.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Engine,
    Slot,
    job::{
        Stage,
        Task, //
    },
    reserve::Reserved, //
};
use crate::{
    effect::Note,
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
        Claim,
        Silence,
        Worker, //
    },
};

/// A run for which its worker has worked for longer has not crashed it. A crash at the start of a task was seen 34 to 52 ms
/// after the decision; the rest is for nodes that are late with what they hear of workers.
const AT_START: Duration = Duration::from_millis(500);
/// From so many crashes on a task runs alone: callers bear two crashes of a task beside others.
const SUSPECT: usize = 2;
/// So many crashes prove a task's fault, if it was alone the last time.
const PROVED: usize = 3;
/// Of so many of these it has to be certain that the task was there: callers bear a task that is given up after two crashes
/// under it, but not one that was never there.
const LEAST_CERTAIN: usize = 2;
/// After so many it is given up in any case: three crashes and two further starts are what the workers' owners bear. Those
/// that are doubted keep it from being started until they are settled.
const MOST_CRASHES: usize = 5;
/// For so long a task waits for an empty worker. Then it runs beside others, so that a full fleet, or one of lasting tasks,
/// doesn't keep it waiting for ever.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// For so long it waits where a worker is being emptied for it: longer than most tasks run that are to end there before.
const PATIENCE_EMPTYING: Duration = Duration::from_millis(6_000);
/// One in so many workers of a pool at most is emptied at a time for tasks that run alone. A rack that crashes twice may
/// leave dozens of them, and their room is taken from everybody else.
const EMPTIED_PART: usize = 8;

impl Claim {
    /// Notes that its worker lists it in answer to a call that was made at some moment.
    ///
    /// When the answer comes in tells nothing: an owner that is late may hear of a worker that is gone by then.
    pub(super) fn outlast_start(&mut self, asked: Timestamp) {
        if let Some(begun) = self.begun {
            self.outlasted |= asked.since(begun) > AT_START;
        }
    }

    /// Returns whether a worker that went down at some moment, or later, may have just begun it.
    fn may_have_begun(&self, fell: Timestamp) -> bool {
        match self.begun {
            Some(begun) => !self.outlasted && fell.since(begun) <= AT_START,
            // While an order is on its way nothing tells that it arrived before.
            None => self.unanswered > 0,
        }
    }
}

impl Worker {
    /// Returns whether it had said that it leaves; what the next incarnation says of itself tells nothing of this one.
    fn may_have_left(&self) -> bool {
        self.registration.leaving.is_some() && self.is_current()
    }

    /// Returns whether it holds tasks of one step alone.
    fn holds_one_step(&self) -> bool {
        let mut steps = self.claims.keys().map(|(task, _)| task.step);
        let first = steps.next();
        first.is_some_and(|first| steps.all(|step| step == first))
    }

    /// Returns the runs that it may have just begun when it went down.
    ///
    /// One that had said that it leaves may have done so. It gets nothing new for a while before, so what it is known to have
    /// just begun speaks against that; what it may have begun doesn't.
    fn just_begun(&self, is_doubted: bool) -> Vec<(TaskId, Crash)> {
        let (fell, is_timed) = match self.silence {
            Some(Silence::Broken(at)) => (at, self.heard.is_some()),
            Some(Silence::Missed) | None => (self.heard.unwrap_or(Timestamp::ZERO), false),
        };
        let may_have_left = self.may_have_left();
        let is_known = |claim: &Claim| is_timed && claim.begun.is_some();
        let claims = self.claims.iter();
        let begun = claims
            .filter(|(_, claim)| claim.may_have_begun(fell) && (is_known(claim) || !may_have_left));
        let crashes = begun.map(|((task, run), claim)| {
            let crash = Crash {
                run: *run,
                worker: self.registration.id.clone(),
                incarnation: self.incarnation,
                is_certain: is_known(claim) && !may_have_left,
                is_doubted,
            };
            (*task, crash)
        });
        crashes.collect()
    }

    /// Returns the tasks that it has worked on for longer than a crash at their start takes.
    fn outlasted(&self) -> Vec<TaskId> {
        let claims = self.claims.iter().filter(|(_, claim)| claim.outlasted);
        claims.map(|((task, _), _)| *task).collect()
    }
}

impl Task {
    /// Returns the crashes that are held against it.
    fn counted(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_doubted)
    }

    /// Returns whether it has to run alone.
    pub(super) fn is_suspect(&self) -> bool {
        self.counted().count() >= SUSPECT
    }

    /// Returns whether it may have crashed as many workers as are borne, so that it is not started before that is known.
    fn is_in_doubt(&self) -> bool {
        self.crashes.len() >= MOST_CRASHES
    }

    /// Returns whether it is given up after a crash.
    ///
    /// `is_alone` tells whether nothing but tasks of its step was there.
    fn is_given_up(&self, is_alone: bool) -> bool {
        let counted = self.counted().count();
        let certain = self.counted().filter(|crash| crash.is_certain).count();
        let is_proved = is_alone && counted >= PROVED && certain >= LEAST_CERTAIN;
        is_proved || counted >= MOST_CRASHES
    }

    /// Takes in a crash, or that one is not doubted any more; returns whether it is news.
    fn note_crash(&mut self, crash: &Crash) -> bool {
        let known = self.crashes.iter_mut().find(|known| known.is_same(crash));
        match known {
            Some(known) => {
                let is_settled = known.is_doubted && !crash.is_doubted;
                known.is_doubted &= crash.is_doubted;
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
    /// Returns whether a task is not started before it is known which workers have gone down under it.
    pub(super) fn is_in_doubt(&self, index: u16) -> bool {
        self.task(index).is_some_and(Task::is_in_doubt)
    }

    /// Returns whether a task has to run alone.
    pub(super) fn is_suspect(&self, index: u16) -> bool {
        self.task(index).is_some_and(Task::is_suspect)
    }

    /// Returns the tasks that wait and have to run alone.
    pub(super) fn suspects(&self) -> impl Iterator<Item = u16> {
        let waiting = self.waiting.iter().copied();
        waiting.filter(|index| self.is_suspect(*index))
    }

    /// Returns whether all tasks that wait have to run alone.
    pub(super) fn are_suspects(&self) -> bool {
        self.suspects().count() == self.waiting.len()
    }
}

impl Engine {
    /// Counts a worker that is gone against the tasks that it had just begun.
    pub(super) fn count_crashes(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let id = worker.registration.id.clone();
        let is_alone = worker.holds_one_step();
        let outlasted = worker.outlasted();
        let begun = worker.just_begun(false);
        outlasted.into_iter().for_each(|task| self.clear(task));
        for (task, crash) in begun {
            self.count_crash(task, crash, is_alone, now);
        }
        for (task, mut crash) in self.doubts(&id) {
            crash.is_doubted = false;
            self.count_crash(task, crash, false, now);
        }
    }

    /// Notes what a silent worker had just begun, before that is given up.
    pub(super) fn doubt_begun(&mut self, slot: Slot, now: Timestamp) {
        let begun = self
            .workers
            .get(&slot)
            .map(|worker| worker.just_begun(true));
        for (task, crash) in begun.unwrap_or_default() {
            self.count_crash(task, crash, false, now);
        }
    }

    /// Returns the crashes of a worker that are doubted, with their tasks.
    fn doubts(&self, worker: &WorkerId) -> Vec<(TaskId, Crash)> {
        let tasks = self.crashed.get(worker).into_iter().flatten();
        let doubts = tasks.flat_map(|task| {
            let crashes = self.task(*task).map(|own| own.crashes.iter());
            let own = crashes.into_iter().flatten();
            let own = own.filter(|crash| crash.is_doubted && crash.worker == *worker);
            own.map(|crash| (*task, crash.clone()))
        });
        doubts.collect()
    }

    /// Takes in a crash under a task, or that one is doubted, and what follows for the task.
    ///
    /// `is_alone` tells whether nothing but tasks of its step was there.
    fn count_crash(&mut self, task: TaskId, crash: Crash, is_alone: bool, now: Timestamp) {
        let id = task.step.job;
        let is_open = self.jobs.get(&id).is_some_and(|job| !job.is_over());
        let own = self.task_mut(task).filter(|own| is_open && !own.is_done);
        let Some(own) = own else {
            return;
        };
        if !own.note_crash(&crash) {
            return;
        }
        let crashes = own.counted().count();
        let is_given_up = own.is_given_up(is_alone);
        let verdict = match own.is_suspect() {
            _ if crash.is_doubted => "doubted",
            _ if is_given_up => "given-up",
            true => "alone",
            false => "counted",
        };
        if is_given_up && let Some(job) = self.jobs.get_mut(&id) {
            job.outcome = Some(Outcome::Failed);
        }
        // The count is on record before the next start, which waits for its own record.
        self.ledger.add_job(id);
        self.remember_suspect(&crash.worker, task);
        self.note(Note::Crashed {
            task,
            run: crash.run,
            worker: crash.worker,
            crashes,
            verdict,
        });
        if is_given_up {
            self.close(id, "crashes-workers", now);
        }
    }

    /// Remembers that a worker may have to be acquitted of a task, or may turn out to be gone.
    fn remember_suspect(&mut self, worker: &WorkerId, task: TaskId) {
        let suspects = self.crashed.entry(worker.clone()).or_default();
        if !suspects.contains(&task) {
            suspects.push(task);
        }
    }

    /// Remembers which workers may have to be acquitted, or may turn out to be gone, by what is on record of a job.
    pub(super) fn inherit_crashes(&mut self, job: JobId, progress: &Progress) {
        for (occurrence, steps) in &progress.occurrences {
            for (step, kept) in (0u16..).zip(steps) {
                let id = StepId {
                    job,
                    occurrence: *occurrence,
                    step,
                };
                for own in &kept.crashes {
                    for crash in &own.crashes {
                        self.remember_suspect(&crash.worker, id.task(own.index));
                    }
                }
            }
        }
    }

    /// Takes back what was counted when a worker seemed to have gone down: it answers again.
    pub(super) fn acquit(&mut self, slot: Slot) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let (id, incarnation) = (worker.registration.id.clone(), worker.incarnation);
        for task in self.crashed.remove(&id).unwrap_or_default() {
            if let Some(own) = self.task_mut(task) {
                own.crashes
                    .retain(|crash| crash.worker != id || crash.incarnation != incarnation);
                self.ledger.add_job(task.step.job);
            }
        }
    }

    /// Lets others be started beside a run that was alone and has outlasted its start.
    pub(super) fn end_solitude(&mut self, slot: Slot, task: TaskId, run: Run) {
        if let Some(worker) = self.workers.get_mut(&slot) {
            worker.end_solitude(task, run);
        }
        self.index(slot);
        self.clear(task);
    }

    /// Drops what is counted against a task: a worker has worked on it and did not go down.
    pub(super) fn clear(&mut self, task: TaskId) {
        let own = self.task_mut(task);
        if let Some(own) = own.filter(|own| !own.crashes.is_empty()) {
            own.crashes.clear();
            self.ledger.add_job(task.step.job);
        }
    }

    /// Forgets workers that no task is suspected for any more.
    pub(super) fn forget_crashes(&mut self) {
        let jobs = &self.jobs;
        self.crashed.retain(|id, tasks| {
            tasks.iter().any(|task| {
                let job = jobs.get(&task.step.job).filter(|job| !job.is_over());
                let stage = job.and_then(|job| job.stage(task.step));
                let own = stage.and_then(|stage| stage.task(task.index));
                own.is_some_and(|own| own.crashes.iter().any(|crash| crash.worker == *id))
            })
        });
    }

    /// Returns whether a task has to run alone and has not waited for that for too long.
    pub(super) fn is_kept_apart(&self, id: StepId, index: u16, now: Timestamp) -> bool {
        let own = self.task(id.task(index));
        own.filter(|own| own.is_suspect()).is_some_and(|own| {
            let since = own.apart_since.unwrap_or(now);
            let patience = match self.emptying.contains_key(&id) {
                true => PATIENCE_EMPTYING,
                false => PATIENCE,
            };
            now.since(since) < patience
        })
    }

    /// Starts the tasks of a step that have to run alone; true where none is left waiting.
    pub(super) fn place_suspects(
        &mut self,
        id: StepId,
        reserved: &mut Reserved,
        now: Timestamp,
    ) -> bool {
        let stage = self.jobs.get(&id.job).and_then(|job| job.stage(id));
        let suspects = stage.map(|stage| stage.suspects().collect());
        let suspects: Vec<u16> = suspects.unwrap_or_default();
        for index in suspects {
            if !self.has_try(id, index, now) {
                continue;
            }
            let found = self.find_place(id, index, reserved, now);
            let run = self.next_run(id, index);
            if !found.is_some_and(|slot| self.start(id, index, slot, run, now)) {
                self.keep_to_empty(id, reserved, now);
                return false;
            }
        }
        true
    }

    /// Returns a worker for one task, without others where it has to run alone.
    pub(super) fn find_place(
        &self,
        id: StepId,
        index: u16,
        reserved: &Reserved,
        now: Timestamp,
    ) -> Option<Slot> {
        match self.is_kept_apart(id, index, now) {
            true => self.find_empty(id, reserved, now),
            false => self.find_beside(id, index, reserved, now),
        }
    }

    /// Returns a worker that may run a task of a step and holds nothing, or only others of the step that run alone.
    fn find_empty(&self, id: StepId, reserved: &Reserved, now: Timestamp) -> Option<Slot> {
        let job = self.jobs.get(&id.job)?;
        let (demand, stage) = (self.demand(job, id)?, job.stage(id)?);
        let mut candidates = self.candidates(&demand, stage);
        let empty = candidates.find(|(slot, worker)| {
            demand.size.fits(&worker.room_alone(id))
                && self.spread_left(&demand, worker) > 0
                && !reserved.holds(*slot, id)
                && self.suits(job, &demand, *slot, worker, now)
        });
        empty.map(|(slot, _)| slot)
    }

    /// Goes on keeping the workers that are being emptied from all other steps.
    ///
    /// A step that is late comes behind all others in a pass: without that, these take each piece of room as it comes up.
    pub(super) fn keep_emptying(&mut self, reserved: &mut Reserved, now: Timestamp) {
        let mut emptying = self.emptying.clone();
        emptying.retain(|id, slot| self.is_worth_emptying(*id, *slot, now));
        for (id, slot) in &emptying {
            reserved.keep_to_empty(*slot, *id);
        }
        self.emptying = emptying;
    }

    /// Returns whether a step still waits for a worker to be empty that may run it.
    fn is_worth_emptying(&self, id: StepId, slot: Slot, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&id.job).filter(|job| !job.is_over()) else {
            return false;
        };
        let (Some(demand), Some(stage)) = (self.demand(job, id), job.stage(id)) else {
            return false;
        };
        let worker = self.workers.get(&slot);
        let is_open = worker.is_some_and(|worker| demand.admits(worker, now));
        let mut suspects = stage.suspects();
        is_open && suspects.any(|index| self.is_kept_apart(id, index, now))
    }

    /// Keeps a worker from other steps until it is empty, if a task of a step has to run alone.
    pub(super) fn keep_to_empty(&mut self, id: StepId, reserved: &mut Reserved, now: Timestamp) {
        if !self.emptying.contains_key(&id)
            && let Some(slot) = self.emptiest(id, reserved, now)
        {
            reserved.keep_to_empty(slot, id);
            self.emptying.insert(id, slot);
        }
        let stage = self.jobs.get_mut(&id.job).and_then(|job| job.stage_mut(id));
        let Some(stage) = stage else {
            return;
        };
        let suspects: Vec<u16> = stage.suspects().collect();
        for index in suspects {
            if let Some(own) = stage.task_mut(index) {
                own.apart_since.get_or_insert(now);
            }
        }
    }

    /// Returns the worker that will be empty first, of those that may run a step with tasks that run alone and hold
    /// nothing that lasts.
    fn emptiest(&self, id: StepId, reserved: &Reserved, now: Timestamp) -> Option<Slot> {
        let job = self.jobs.get(&id.job)?;
        let (demand, stage) = (self.demand(job, id)?, job.stage(id)?);
        let members = self.rooms.members(&demand.queue.pool);
        if stage.suspects().next().is_none() || reserved.emptied() * EMPTIED_PART >= members {
            return None;
        }
        let candidates = self.candidates(&demand, stage);
        let emptied = candidates.filter(|(slot, worker)| {
            let mut tasks = worker.claims.keys();
            !reserved.holds(*slot, id)
                && demand.admits(worker, now)
                && demand.size.fits(&worker.registration.capacity)
                && tasks.all(|(task, _)| self.ends(*task, true))
        });
        let first = emptied.min_by_key(|(slot, worker)| (worker.claims.len(), *slot));
        first.map(|(slot, _)| slot)
    }
}
