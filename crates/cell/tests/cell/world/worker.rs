//! A worker as the platform's are.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_cell::{
    effect::{
        Destination,
        Hold,
        Start,
        Stop, //
    },
    event::{
        Ended,
        How,
        Inventory,
        Registration,
        Running,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        DataCentre,
        Epoch,
        Fence,
        Incarnation,
        PoolName,
        Run,
        TaskId,
        WorkerId, //
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    resource::Resources, //
};

use super::{
    Restart,
    size, //
};

/// The data centres in which workers stand in turn.
pub(crate) const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// The longest lease that it grants, in milliseconds of its clock.
const LEASE: u64 = 6_000;
/// How long a stop takes.
const STOP: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Task {
    run: Run,
    ends: Timestamp,
    how: How,
}

/// One incarnation.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) place: u32,
    /// The kind of this incarnation, which is its first label.
    pub(crate) kind: &'static str,
    /// Until when nothing reaches it.
    pub(crate) cut_until: Timestamp,
    /// Since when it has had how much room; the last is the present one.
    rooms: Vec<(Timestamp, Resources)>,
    /// Until when its entry is another writer's, where it is.
    pub(crate) foreign_until: Option<Timestamp>,
    /// What the store says of it yet and until when, where that is of its former incarnation.
    stale: Option<(Registration, Timestamp)>,
    /// When it is gone, where it has said that it leaves.
    pub(crate) leaves: Option<Timestamp>,
    /// How many calls for its inventory it has had.
    pub(super) calls: u32,
    /// Until when a call waits for an end, and when it was made.
    pub(crate) waiting: Option<(Timestamp, Timestamp)>,
    born: Timestamp,
    rate: f64,
    fence: Fence,
    deadline: u64,
    tasks: BTreeMap<TaskId, Task>,
    highest: BTreeMap<TaskId, Run>,
    ended: Vec<Ended>,
    /// The last end that was there when a lease lapsed.
    lapsed: u64,
    /// The highest end that it was told to forget: its list is only gone through when a call names a higher one.
    acknowledged: u64,
    serial: u64,
}

/// How long a worker that leaves goes on at least.
pub(crate) const LEAVES_AFTER: Duration = Duration::from_secs(2);
/// What it has room for: four tasks of the size that the tests use.
const CAPACITY: Resources = size(4_000, 4_096);
/// The size of all tasks in the tests.
pub(crate) const TASK: Resources = size(1_000, 1_024);

impl Worker {
    pub(crate) fn new(id: WorkerId, place: u32, rate: f64, now: Timestamp) -> Self {
        Self {
            id,
            place,
            kind: "a",
            rooms: vec![(now, CAPACITY)],
            cut_until: now,
            foreign_until: None,
            stale: None,
            calls: 0,
            leaves: None,
            waiting: None,
            born: now,
            rate,
            fence: Fence::first(Epoch(0)),
            deadline: 0,
            tasks: BTreeMap::new(),
            highest: BTreeMap::new(),
            ended: Vec::new(),
            lapsed: 0,
            acknowledged: 0,
            serial: 0,
        }
    }

    /// Has it be another incarnation than the one that the store tells of, with a room and a kind of its own.
    pub(super) fn follow(&mut self, entry: Registration, restart: Restart, now: Timestamp) {
        self.stale = Some((entry, now + restart.untold));
        self.kind = restart.kind;
        let room = TASK.checked_mul(restart.room).unwrap_or(CAPACITY);
        self.rooms = vec![(now, room)];
    }

    /// Has it say that it leaves, which it writes into its entry itself.
    pub(super) fn leave(&mut self, leaves: Timestamp) {
        self.leaves = Some(leaves);
        self.stale = None;
    }

    /// Returns what the store says of it.
    pub(crate) fn entry(&self, now: Timestamp) -> Registration {
        let stale = self.stale.as_ref().filter(|(_, until)| *until > now);
        stale.map_or_else(|| self.registration(), |(entry, _)| entry.clone())
    }

    pub(crate) fn registration(&self) -> Registration {
        let port = 7_000 + u16::try_from(self.place).unwrap_or(0);
        Registration {
            incarnation: Some(self.incarnation()),
            id: self.id.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            pool: PoolName::from("pool"),
            capacity: self.capacity(),
            labels: vec![self.kind.into(), format!("r{}", self.place % 2).into()],
            data_centre: Some(self.data_centre()),
            leaving: self.leaves.map(|_| LEAVES_AFTER),
        }
    }

    /// Returns where it stands.
    pub(super) fn data_centre(&self) -> DataCentre {
        let place = usize::try_from(self.place).unwrap_or(0);
        DataCentre::from(DATA_CENTRES[place % DATA_CENTRES.len()])
    }

    pub(super) const fn born(&self) -> Timestamp {
        self.born
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        Incarnation(self.born.as_micros() / 1_000)
    }

    fn capacity(&self) -> Resources {
        self.rooms.last().map_or(CAPACITY, |(_, room)| *room)
    }

    /// Has room for so many tasks from now on.
    pub(crate) fn resize(&mut self, tasks: u32, now: Timestamp) {
        let room = TASK.checked_mul(tasks).unwrap_or(CAPACITY);
        if room != self.capacity() {
            self.rooms.push((now, room));
        }
    }

    fn clock(&self, now: Timestamp) -> u64 {
        let elapsed = now.since(self.born).mul_f64(self.rate);
        u64::try_from(elapsed.as_millis()).unwrap_or(0)
    }

    fn extend(&mut self, deadline: Option<u64>, now: Timestamp) {
        let most = self.clock(now) + LEASE;
        self.deadline = self.deadline.max(deadline.unwrap_or(0).min(most));
    }

    pub(crate) fn start(
        &mut self,
        order: &Start,
        works: Duration,
        how: How,
        now: Timestamp,
    ) -> StartAnswer {
        if self.is_beyond(&order.to) {
            return StartAnswer::Fenced;
        }
        self.fence = order.to.fence;
        if self
            .tasks
            .get(&order.task)
            .is_some_and(|task| task.run == order.run)
        {
            return StartAnswer::Started;
        }
        self.extend(Some(order.deadline), now);
        if self
            .highest
            .get(&order.task)
            .is_some_and(|run| *run >= order.run)
        {
            return StartAnswer::Old;
        }
        if order.deadline <= self.clock(now) {
            return StartAnswer::Late;
        }
        let task = Task {
            run: order.run,
            ends: now + works,
            how,
        };
        self.tasks.insert(order.task, task);
        self.highest.insert(order.task, order.run);
        StartAnswer::Started
    }

    pub(crate) fn stop(&mut self, order: &Stop, now: Timestamp) -> StopAnswer {
        if self.is_beyond(&order.to) {
            return StopAnswer::Fenced;
        }
        self.fence = order.to.fence;
        let highest = self.highest.entry(order.task).or_default();
        *highest = (*highest).max(order.run);
        if let Some(task) = self.tasks.get_mut(&order.task)
            && task.run <= order.run
            && task.ends > now + STOP
        {
            task.ends = now + STOP;
            task.how = How::Stopped;
        }
        StopAnswer::Confirmed
    }

    /// Returns whether it refuses an order for its fence.
    pub(crate) fn is_beyond(&self, order: &Destination) -> bool {
        order.fence < self.fence
    }

    /// Takes a call for the inventory; returns the ends that it may forget, done or failed.
    ///
    /// Those that were there when a lease lapsed are left out: the platform doesn't hold them against a start elsewhere,
    /// which the lapse allowed.
    pub(crate) fn hold(
        &mut self,
        order: &Hold,
        is_lost: bool,
        now: Timestamp,
    ) -> Vec<(TaskId, Run, bool)> {
        self.fence = order.to.fence;
        self.calls += 1;
        self.extend(order.deadline, now);
        let is_news = order.acknowledged > self.acknowledged;
        self.acknowledged = self.acknowledged.max(order.acknowledged);
        let (forgotten, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| is_news && end.serial <= order.acknowledged);
        self.ended = kept;
        let is_waiting = self.ended.is_empty() && !order.wait.is_zero();
        if !order.wait.is_zero() {
            // The answer to a call that is lost takes the place of one that waits.
            self.waiting = (is_waiting && !is_lost).then_some((now + order.wait, order.asked));
        }
        let forgotten: Vec<Ended> = forgotten;
        let counted = forgotten
            .into_iter()
            .filter(|end| matches!(end.how, How::Done | How::Failed) && end.serial > self.lapsed);
        counted
            .map(|end| (end.task, end.run, end.how == How::Done))
            .collect()
    }

    /// Lets time pass; returns whether a call that waits has to be answered.
    pub(crate) fn advance(&mut self, now: Timestamp) -> bool {
        let lapsed = self.clock(now) > self.deadline;
        if lapsed {
            self.lapsed = self.serial;
        }
        let mut ended = Vec::new();
        self.tasks.retain(|id, task| {
            let how = match (lapsed, task.ends <= now) {
                (true, _) => How::Lapsed,
                (false, true) => task.how,
                (false, false) => return true,
            };
            ended.push((*id, task.run, how));
            false
        });
        let has_ended = !ended.is_empty();
        for (task, run, how) in ended {
            self.serial += 1;
            self.ended.push(Ended {
                serial: self.serial,
                task,
                run,
                how,
                checkpoint: None,
            });
        }
        self.waiting
            .is_some_and(|(until, _)| has_ended || until <= now)
    }

    pub(crate) fn inventory(&self, now: Timestamp) -> Inventory {
        // What is being stopped is not listed until it has ended.
        let running = self.tasks.iter();
        let running = running.filter(|(_, task)| task.how != How::Stopped);
        let running = running.map(|(id, task)| Running {
            task: *id,
            run: task.run,
            checkpoint: None,
            load: 0,
        });
        Inventory {
            incarnation: Some(self.incarnation()),
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> {
        self.tasks.keys().copied()
    }

    pub(crate) fn count(&self, task: TaskId) -> usize {
        usize::from(self.tasks.contains_key(&task))
    }

    pub(crate) fn has_done(&self, task: TaskId) -> bool {
        let mut ended = self.ended.iter();
        ended.any(|end| end.task == task && end.how == How::Done)
    }

    /// Returns whether it holds more than it has had room for at any time of late.
    pub(crate) fn is_overfilled(&self, late: Duration, now: Timestamp) -> bool {
        let used = TASK.checked_mul(u32::try_from(self.tasks.len()).unwrap_or(u32::MAX));
        let ends = self.rooms.iter().skip(1).map(|(since, _)| *since);
        let ends = ends.chain([now]);
        let mut recent = self.rooms.iter().zip(ends);
        let fits = |room: &Resources| used.is_some_and(|used| used.fits(room));
        !recent.any(|((_, room), end)| now.since(end) <= late && fits(room))
    }
}
