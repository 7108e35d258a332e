//! What a worker does with a call: capacity, epochs, leases and tasks.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_coordination::platform::{
    target,
    worker::{
        Act,
        Answer,
        End,
        Ended,
        Inventory,
        Reply,
        Running,
        Start,
        Sync, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        TaskId,
        WorkerId, //
    },
    resource::Resources,
};

use super::{
    profile::Profile,
    saved::Saved,
    task::{
        FULL_RATE,
        Report,
        Task,
        Work, //
    },
};
use crate::{
    record::{
        Ending,
        Record,
        Run, //
    },
    target::Host,
};

/// The program that fails at its end, wherever it runs.
const FAILING_PROGRAM: &str = "standin-fail";

/// One worker without its socket; the time goes in with each call.
#[derive(Debug)]
pub struct Machine {
    id: WorkerId,
    incarnation: Incarnation,
    epoch: Epoch,
    /// The version of the inventory.
    version: u64,
    capacity: Resources,
    used: Resources,
    tasks: BTreeMap<TaskId, Task>,
    ended: BTreeMap<TaskId, Ended>,
    paused: Option<Timestamp>,
    failing: bool,
    profile: Profile,
    saved: Saved,
    host: Host,
    record: Record,
}

impl Machine {
    /// Makes an empty worker in its first life.
    pub fn new(capacity: Resources, profile: Profile, saved: Saved, host: Host) -> Self {
        Self {
            id: host.worker,
            incarnation: Incarnation(1),
            epoch: Epoch(0),
            version: 1,
            capacity,
            used: Resources::ZERO,
            tasks: BTreeMap::new(),
            ended: BTreeMap::new(),
            paused: None,
            failing: false,
            profile,
            saved,
            record: host.record.clone(),
            host,
        }
    }

    /// Takes one call.
    ///
    /// # Errors
    ///
    /// Gives the worker's epoch where that of the call is lower; the call has no effect then.
    pub fn sync(&mut self, now: Timestamp, sync: &Sync) -> Result<Reply, Epoch> {
        self.settle(now);
        if sync.epoch < self.epoch {
            self.record.fenced();
            return Err(self.epoch);
        }
        self.epoch = sync.epoch;
        for (task, attempt) in &sync.acknowledge {
            self.acknowledge(*task, *attempt);
        }
        for (task, attempt) in &sync.renew {
            if let Some(task) = self.running(*task, *attempt) {
                task.lease_until = now + sync.lease;
            }
        }
        let known = sync.known.filter(|known| known.life == self.incarnation);
        if let Some(known) = known.filter(|_| sync.renew_known) {
            self.renew_shown(known.version, now + sync.lease);
        }
        for (task, attempt, act) in &sync.act {
            self.act(now, *task, *attempt, *act, sync.grace);
        }
        let started = sync
            .start
            .iter()
            .map(|start| self.answer(now, sync, start))
            .collect();
        self.settle(now);
        Ok(Reply {
            started,
            inventory: self.inventory(now, known.map(|known| known.version)),
        })
    }

    /// Renews all tasks that the inventory of a version has shown.
    fn renew_shown(&mut self, version: u64, until: Timestamp) {
        for task in self.tasks.values_mut() {
            if task.since <= version {
                task.lease_until = until;
            }
        }
    }

    /// Ends what has ended by now: done work, lapsed leases and ordered stops.
    ///
    /// In a pause only leases lapse: what is frozen past its lease never goes on.
    pub fn settle(&mut self, now: Timestamp) {
        let paused = self.paused.is_some();
        let end = |task: &Task| {
            if paused {
                task.lapse(now)
            } else {
                task.end(now)
            }
        };
        let ends: Vec<_> = self
            .tasks
            .iter()
            .filter_map(|(id, task)| end(task).map(|(end, at)| (*id, end, at)))
            .collect();
        for (task, end, at) in ends {
            self.end(task, end, at);
        }
    }

    /// Freezes the worker: nothing ends and no work is done until it resumes.
    pub fn pause(&mut self, now: Timestamp) {
        self.settle(now);
        self.paused.get_or_insert(now);
    }

    /// Goes on after a pause; what lapsed meanwhile is stopped before anything else.
    pub fn resume(&mut self, now: Timestamp) {
        let Some(since) = self.paused.take() else {
            return;
        };
        for task in self.tasks.values_mut() {
            if let Some(work) = &mut task.work {
                work.advance(since);
                work.mark = now;
            }
        }
        self.settle(now);
    }

    /// Loses everything and begins a new life.
    pub fn die(&mut self, now: Timestamp) {
        self.settle(now);
        for task in std::mem::take(&mut self.tasks).into_values() {
            self.record.ended(task.place, now, Ending::Lost);
        }
        self.ended.clear();
        self.used = Resources::ZERO;
        self.epoch = Epoch(0);
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.paused = None;
    }

    /// Sets whether everything that is started fails at once.
    pub const fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    fn running(&mut self, task: TaskId, attempt: Attempt) -> Option<&mut Task> {
        self.tasks
            .get_mut(&task)
            .filter(|task| task.attempt == attempt)
    }

    fn acknowledge(&mut self, task: TaskId, attempt: Attempt) {
        if self
            .ended
            .get(&task)
            .is_some_and(|end| end.attempt == attempt)
        {
            self.ended.remove(&task);
        }
    }

    fn act(&mut self, now: Timestamp, id: TaskId, attempt: Attempt, act: Act, grace: Duration) {
        let Some(task) = self.running(id, attempt) else {
            return;
        };
        if let Some(work) = &mut task.work {
            work.advance(now);
        }
        match act {
            Act::Checkpoint => {
                if let Some(work) = &task.work {
                    let left = work.left;
                    self.saved.keep(id, left);
                }
                self.end(id, End::Checkpointed, now);
            }
            Act::Throttle(rate) => {
                if let Some(work) = &mut task.work {
                    work.rate = rate.min(FULL_RATE);
                }
            }
            Act::Stop => {
                if let Some(target) = &task.target {
                    target.leave();
                }
                task.stop_by.get_or_insert(now + grace);
                self.settle(now);
            }
        }
    }

    fn answer(&mut self, now: Timestamp, sync: &Sync, start: &Start) -> Answer {
        let answer = self.try_start(now, sync, start);
        self.record.answered(answer);
        answer
    }

    fn try_start(&mut self, now: Timestamp, sync: &Sync, start: &Start) -> Answer {
        if let Some(held) = self.held(start.task) {
            return if held == start.attempt {
                Answer::Started
            } else {
                Answer::Held
            };
        }
        if now > sync.start_by {
            return Answer::Late;
        }
        let used = match self.used.checked_add(start.size) {
            Some(used) if used.fits(&self.capacity) => used,
            _ => return Answer::Full,
        };
        let Ok(target) = self.open_target(start) else {
            return Answer::Failed;
        };
        self.used = used;
        self.version += 1;
        self.record.used(self.id, &used, &self.capacity);
        let task = Task {
            attempt: start.attempt,
            epoch: sync.epoch,
            size: start.size,
            started: now,
            lease_until: now + sync.lease,
            work: target.is_none().then(|| self.work(now, start)),
            target,
            stop_by: None,
            place: self.record.started(Run {
                task: start.task,
                attempt: start.attempt,
                worker: self.id,
                epoch: sync.epoch,
                start: now,
                end: None,
                ending: None,
            }),
            since: self.version,
            changed: self.version,
            shown: None,
        };
        self.tasks.insert(start.task, task);
        if self.failing {
            self.end(start.task, End::Failed, now);
        }
        Answer::Started
    }

    /// Returns the attempt of a task that runs here or whose end was not acknowledged.
    fn held(&self, task: TaskId) -> Option<Attempt> {
        let running = self.tasks.get(&task).map(|task| task.attempt);
        running.or_else(|| self.ended.get(&task).map(|ended| ended.attempt))
    }

    fn open_target(&self, start: &Start) -> std::io::Result<Option<crate::target::Target>> {
        let Some(slots) = start.slots else {
            return Ok(None);
        };
        let id = target::Id {
            task: start.task,
            attempt: start.attempt,
        };
        self.host.open(id, slots, start.port).map(Some)
    }

    fn work(&self, now: Timestamp, start: &Start) -> Work {
        let whole = start.runtime.unwrap_or(self.profile.runtime);
        Work {
            left: self.saved.take(start.task).unwrap_or(whole),
            mark: now,
            rate: FULL_RATE,
            fails: start.payload.program == FAILING_PROGRAM,
        }
    }

    fn end(&mut self, id: TaskId, end: End, at: Timestamp) {
        let Some(task) = self.tasks.remove(&id) else {
            return;
        };
        self.version += 1;
        // What was added at the start can be taken off again.
        self.used = self.used.checked_sub(task.size).unwrap_or_default();
        self.record.ended(task.place, at, end.into());
        self.ended.insert(
            id,
            Ended {
                task: id,
                attempt: task.attempt,
                end,
                age: at.since(task.started),
            },
        );
    }

    /// Returns what it holds, relative to the inventory of a version where one is given.
    fn inventory(&mut self, now: Timestamp, base: Option<u64>) -> Inventory {
        let mut running: Vec<Running> = Vec::with_capacity(self.tasks.len());
        for (id, task) in &mut self.tasks {
            let report = task.running(*id, now, &self.profile);
            let shown = Report::from(&report);
            if task.shown.replace(shown) != Some(shown) {
                self.version += 1;
                task.changed = self.version;
            }
            if base.is_none_or(|base| task.changed > base) {
                running.push(report);
            }
        }
        Inventory {
            worker: self.id,
            incarnation: self.incarnation,
            epoch: self.epoch,
            clock: now,
            capacity: self.capacity,
            version: self.version,
            base,
            running,
            ended: self.ended.values().cloned().collect(),
        }
    }
}
