//! Workers in memory that keep the contract, and note what breaks it.

use std::collections::BTreeMap;

use fulmarpier_coordination::platform::worker::{
    Act,
    Answer,
    End,
    Ended,
    Error,
    Inventory,
    Reply,
    Running,
    Start,
    Sync, //
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
    resource::Resources, //
};

/// One task that runs.
struct Task {
    attempt: Attempt,
    epoch: Epoch,
    size: Resources,
    began: Timestamp,
    ends: Timestamp,
    lease: Timestamp,
    /// The first version of the inventory that shows it.
    since: u64,
}

/// A worker.
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) capacity: Resources,
    epoch: Epoch,
    incarnation: u64,
    version: u64,
    tasks: BTreeMap<TaskId, Task>,
    ended: Vec<Ended>,
    pub(crate) dead: bool,
    pub(crate) paused: bool,
}

/// What all workers together have seen.
#[derive(Default)]
pub(crate) struct Seen {
    /// How often each task was started.
    pub(crate) starts: BTreeMap<TaskId, u32>,
    /// Where each running task runs, and until when its lease lasts.
    pub(crate) places: BTreeMap<TaskId, (WorkerId, Timestamp)>,
    /// What must not happen.
    pub(crate) violations: Vec<String>,
}

impl Seen {
    /// Notes that a worker runs a task no more; another may do so by now.
    fn forget(&mut self, task: TaskId, worker: WorkerId) {
        if self.places.get(&task).is_some_and(|(at, _)| *at == worker) {
            self.places.remove(&task);
        }
    }
}

impl Worker {
    pub(crate) fn new(id: WorkerId, capacity: Resources) -> Self {
        Self {
            id,
            capacity,
            epoch: Epoch(0),
            incarnation: 1,
            version: 1,
            tasks: BTreeMap::new(),
            ended: Vec::new(),
            dead: false,
            paused: false,
        }
    }

    /// Ends what has lapsed or run its time; a paused worker does so when it goes on.
    pub(crate) fn tick(&mut self, now: Timestamp, seen: &mut Seen) {
        if self.paused || self.dead {
            return;
        }
        let over = |task: &Task| task.lease <= now || task.ends <= now;
        let ids: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, task)| over(task))
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            let lapsed = self.tasks.get(&id).is_some_and(|t| t.lease < t.ends);
            let end = if lapsed { End::Lapsed } else { End::Succeeded };
            self.end(id, end, now, seen);
        }
    }

    fn end(&mut self, id: TaskId, end: End, now: Timestamp, seen: &mut Seen) {
        if let Some(task) = self.tasks.remove(&id) {
            seen.forget(id, self.id);
            self.version += 1;
            self.ended.push(Ended {
                task: id,
                attempt: task.attempt,
                end,
                age: now.since(task.began),
            });
        }
    }

    /// Ends everything on it well.
    pub(crate) fn end_all(&mut self, now: Timestamp, seen: &mut Seen) {
        for id in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.end(id, End::Succeeded, now, seen);
        }
    }

    /// Dies with everything on it, and forgets all.
    pub(crate) fn die(&mut self, seen: &mut Seen) {
        self.dead = true;
        for id in std::mem::take(&mut self.tasks).into_keys() {
            seen.forget(id, self.id);
        }
        self.ended.clear();
        self.epoch = Epoch(0);
        self.incarnation += 1;
    }

    pub(crate) fn sync(
        &mut self,
        sync: &Sync,
        now: Timestamp,
        seen: &mut Seen,
    ) -> Result<Reply, Error> {
        self.tick(now, seen);
        if sync.epoch < self.epoch {
            return Err(Error::Fenced { epoch: self.epoch });
        }
        self.epoch = sync.epoch;
        for (id, attempt) in &sync.renew {
            if let Some(task) = self.tasks.get_mut(id)
                && task.attempt == *attempt
            {
                task.lease = now + sync.lease;
                seen.places.insert(*id, (self.id, task.lease));
            }
        }
        let known = sync.known.filter(|k| k.life.0 == self.incarnation);
        let base = known.map(|known| known.version);
        for task in self.tasks.values_mut() {
            if sync.renew_known && base.is_some_and(|base| task.since <= base) {
                task.lease = now + sync.lease;
            }
        }
        for (id, attempt, act) in &sync.act {
            let current = self.tasks.get(id).is_some_and(|t| t.attempt == *attempt);
            if current && *act == Act::Stop {
                self.end(*id, End::Stopped, now, seen);
            }
            if current && *act == Act::Checkpoint {
                self.end(*id, End::Checkpointed, now, seen);
            }
        }
        let forgotten = |e: &Ended| sync.acknowledge.contains(&(e.task, e.attempt));
        self.ended.retain(|ended| !forgotten(ended));
        let started = sync
            .start
            .iter()
            .map(|start| self.start(start, sync, now, seen))
            .collect();
        Ok(Reply {
            started,
            inventory: self.inventory(now, base),
        })
    }

    fn start(&mut self, start: &Start, sync: &Sync, now: Timestamp, seen: &mut Seen) -> Answer {
        if let Some(task) = self.tasks.get(&start.task) {
            return match task.attempt == start.attempt {
                true => Answer::Started,
                false => Answer::Held,
            };
        }
        if now > sync.start_by {
            return Answer::Late;
        }
        if !start.size.fits(&self.free()) {
            return Answer::Full;
        }
        *seen.starts.entry(start.task).or_default() += 1;
        let lease = now + sync.lease;
        let other = seen.places.insert(start.task, (self.id, lease));
        // A frozen worker ends what has lapsed before it runs on.
        if let Some((other, _)) = other.filter(|(_, lease)| *lease > now) {
            let line = format!(
                "{} starts on {} while it runs on {other}",
                start.task, self.id
            );
            seen.violations.push(line);
        }
        let task = Task {
            attempt: start.attempt,
            epoch: sync.epoch,
            size: start.size,
            began: now,
            ends: start.runtime.map_or(Timestamp::MAX, |span| now + span),
            lease,
            since: self.version + 1,
        };
        self.version += 1;
        self.tasks.insert(start.task, task);
        Answer::Started
    }

    fn free(&self) -> Resources {
        let used = self
            .tasks
            .values()
            .try_fold(Resources::ZERO, |sum, task| sum.checked_add(task.size));
        let used = used.unwrap_or(self.capacity);
        self.capacity.checked_sub(used).unwrap_or_default()
    }

    fn inventory(&self, now: Timestamp, base: Option<u64>) -> Inventory {
        let news = |task: &Task| base.is_none_or(|base| task.since > base);
        let tasks = self.tasks.iter().filter(|(_, task)| news(task));
        let running = tasks.map(|(id, task)| Running {
            task: *id,
            attempt: task.attempt,
            epoch: task.epoch,
            size: task.size,
            usage: task.size,
            age: now.since(task.began),
            lease: now.until(task.lease),
            target: None,
            busy: 0,
        });
        Inventory {
            worker: self.id,
            incarnation: Incarnation(self.incarnation),
            epoch: self.epoch,
            clock: now,
            capacity: self.capacity,
            version: self.version,
            base,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
