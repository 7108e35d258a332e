//! Workers with leases, and a record of everything that ran on them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use fulmarpier_cell::{
    bounds::Bounds,
    effect::{
        Heartbeat,
        Start,
        Stop, //
    },
    event::{
        Ended,
        ExitReason,
        HeartbeatAnswer,
        Inventory,
        Running,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Epoch,
        Fence,
        Run,
        TaskId,
        WorkerId, //
    },
};
use tokio::{
    sync::Notify,
    time::{
        Instant,
        sleep_until, //
    },
};

/// How many ends a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;
/// How much slower than the runtime's clock the clocks of workers run, in turn.
const CLOCK_RATES: [f64; 3] = [1.0, 0.98, 0.99];

/// A run that has been on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) task: TaskId,
    pub(crate) run: Run,
    pub(crate) worker: usize,
    pub(crate) from: Instant,
    /// When and how it ended.
    pub(crate) end: Option<(Instant, ExitReason)>,
    /// The serial number of its end.
    serial: u64,
}

struct Active {
    ends_at: Instant,
    reason: ExitReason,
}

struct Worker {
    started_at: Instant,
    clock_rate: f64,
    max_lease: Duration,
    stop_duration: Duration,
    fence: Fence,
    /// When the lease expires, in milliseconds of the worker's clock.
    deadline: u64,
    /// When leases have expired.
    lapses: Vec<Instant>,
    active: BTreeMap<(TaskId, Run), Active>,
    /// The highest run of each task that was stopped or has ended here.
    highest_ends: BTreeMap<TaskId, Run>,
    ended: Vec<Ended>,
    serial: u64,
    acknowledged: u64,
    /// Notified when a run may end earlier than before.
    change: Arc<Notify>,
    records: Vec<Record>,
}

impl Worker {
    fn new(nth: usize, bounds: &Bounds) -> Self {
        Self {
            started_at: Instant::now(),
            clock_rate: CLOCK_RATES[nth % CLOCK_RATES.len()],
            max_lease: bounds.lease,
            stop_duration: bounds.stop_grace / (1 + u32::try_from(nth % 3).unwrap()),
            fence: Fence::first(Epoch(0)),
            deadline: 0,
            lapses: Vec::new(),
            active: BTreeMap::new(),
            highest_ends: BTreeMap::new(),
            ended: Vec::new(),
            serial: 0,
            acknowledged: 0,
            change: Arc::default(),
            records: Vec::new(),
        }
    }

    /// Returns the worker's clock in milliseconds.
    fn clock(&self) -> u64 {
        let elapsed = self.started_at.elapsed().mul_f64(self.clock_rate);
        u64::try_from(elapsed.as_millis()).unwrap()
    }

    fn lease_end(&self) -> Instant {
        self.started_at + Duration::from_millis(self.deadline).div_f64(self.clock_rate)
    }

    fn extend_lease(&mut self, deadline: u64) {
        let max_lease = u64::try_from(self.max_lease.as_millis()).unwrap();
        let deadline = deadline.min(self.clock() + max_lease);
        self.deadline = self.deadline.max(deadline);
    }

    /// Returns when something ends next.
    fn next_end(&self) -> Option<Instant> {
        let first = self.active.values().map(|active| active.ends_at).min()?;
        Some(first.min(self.lease_end()))
    }

    /// Ends what has ended by now, in order.
    fn advance(&mut self) {
        let (now, lapse) = (Instant::now(), self.lease_end());
        loop {
            let runs = self.active.iter();
            let first = runs.min_by_key(|(_, active)| active.ends_at);
            let due = first.filter(|(_, active)| active.ends_at <= now.min(lapse));
            let Some((key, at, reason)) = due.map(|(key, run)| (*key, run.ends_at, run.reason))
            else {
                break;
            };
            self.end(key, at, reason);
        }
        if lapse <= now && self.lapses.last() != Some(&lapse) {
            self.lapses.push(lapse);
            let runs: Vec<(TaskId, Run)> = self.active.keys().copied().collect();
            for key in runs {
                self.end(key, lapse, ExitReason::LeaseExpired);
            }
        }
    }

    fn end(&mut self, key: (TaskId, Run), at: Instant, reason: ExitReason) {
        let (task, run) = key;
        self.active.remove(&key);
        self.note_end(task, run);
        self.serial += 1;
        self.ended.push(Ended {
            serial: self.serial,
            task,
            run,
            reason,
            checkpoint: None,
        });
        let own = |record: &&mut Record| (record.task, record.run) == key;
        if let Some(record) = self.records.iter_mut().find(own) {
            record.end = Some((at, reason));
            record.serial = self.serial;
        }
    }

    fn note_end(&mut self, task: TaskId, run: Run) {
        let highest = self.highest_ends.entry(task).or_default();
        *highest = run.max(*highest);
    }

    /// Notes the fence of an order; returns false if it is too low.
    fn admit(&mut self, fence: Fence) -> bool {
        self.advance();
        let is_admitted = fence >= self.fence;
        self.fence = fence.max(self.fence);
        is_admitted
    }

    fn start(&mut self, worker: usize, order: &Start) -> StartAnswer {
        if !self.admit(order.to.fence) {
            return StartAnswer::Fenced;
        }
        self.extend_lease(order.deadline);
        let (task, run) = (order.task, order.run);
        if self.active.contains_key(&(task, run)) {
            return StartAnswer::Started;
        }
        if self.highest_ends.get(&task).is_some_and(|end| *end >= run) {
            return StartAnswer::Stale;
        }
        if order.deadline <= self.clock() {
            return StartAnswer::LeaseExpired;
        }
        let from = Instant::now();
        let duration = Duration::from_millis(order.payload.parse().unwrap());
        let active = Active {
            ends_at: from + duration,
            reason: ExitReason::Done,
        };
        self.active.insert((task, run), active);
        self.records.push(Record {
            task,
            run,
            worker,
            from,
            end: None,
            serial: 0,
        });
        self.change.notify_waiters();
        StartAnswer::Started
    }

    fn stop(&mut self, order: &Stop) -> StopAnswer {
        if !self.admit(order.to.fence) {
            return StopAnswer::Fenced;
        }
        self.note_end(order.task, order.run);
        let stopped = Instant::now() + self.stop_duration;
        if let Some(active) = self.active.get_mut(&(order.task, order.run))
            && active.ends_at > stopped
        {
            active.ends_at = stopped;
            active.reason = ExitReason::Stopped;
        }
        self.change.notify_waiters();
        StopAnswer::Confirmed
    }

    /// Applies a heartbeat; returns false if its fence is too low.
    fn hold(&mut self, order: &Heartbeat) -> bool {
        if !self.admit(order.to.fence) {
            return false;
        }
        self.extend_lease(order.deadline.unwrap_or(0));
        self.acknowledged = self.acknowledged.max(order.acknowledged);
        self.ended.retain(|end| end.serial > order.acknowledged);
        true
    }

    fn inventory(&self) -> Inventory {
        let running = self.active.keys().map(|(task, run)| Running {
            task: *task,
            run: *run,
            checkpoint: None,
            load: 0,
            progress: None,
        });
        Inventory {
            incarnation: None,
            clock: self.clock(),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            omits_ends: self.ended.len() >= MAX_LISTED_ENDS,
        }
    }

    /// Returns whether a run has ended as done, its end was acknowledged, and no lease has expired from then until a
    /// time.
    fn is_proven_done(&self, record: &Record, until: Instant) -> bool {
        let Some((at, ExitReason::Done)) = record.end else {
            return false;
        };
        let has_lapsed = self.lapses.iter().any(|lapse| (at..=until).contains(lapse));
        at <= until && record.serial <= self.acknowledged && !has_lapsed
    }
}

/// All workers of a world; cheap to clone.
#[derive(Clone)]
pub(crate) struct Workers(Arc<Mutex<Vec<Worker>>>);

impl Workers {
    pub(super) fn new(count: usize, bounds: &Bounds) -> Self {
        let workers = (0..count).map(|nth| Worker::new(nth, bounds));
        Self(Arc::new(Mutex::new(workers.collect())))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Worker>> {
        self.0.lock().unwrap()
    }

    pub(super) fn start(&self, worker: usize, order: &Start) -> StartAnswer {
        self.lock()[worker].start(worker, order)
    }

    pub(super) fn stop(&self, worker: usize, order: &Stop) -> StopAnswer {
        self.lock()[worker].stop(order)
    }

    pub(super) async fn heartbeat(&self, worker: usize, order: Heartbeat) -> HeartbeatAnswer {
        let until = Instant::now() + order.wait;
        if !self.lock()[worker].hold(&order) {
            return HeartbeatAnswer::Fenced;
        }
        loop {
            let (next, change) = {
                let worker = &mut self.lock()[worker];
                worker.advance();
                if !worker.ended.is_empty() || Instant::now() >= until {
                    return HeartbeatAnswer::Inventory(worker.inventory());
                }
                let next = worker.next_end().map_or(until, |end| end.min(until));
                (next, worker.change.clone())
            };
            tokio::select! {
                () = sleep_until(next) => {}
                () = change.notified() => {}
            }
        }
    }

    /// Returns all runs so far, by the time of their start.
    pub(crate) fn records(&self) -> Vec<Record> {
        let mut workers = self.lock();
        workers.iter_mut().for_each(Worker::advance);
        let mut records: Vec<Record> = workers
            .iter()
            .flat_map(|worker| worker.records.clone())
            .collect();
        records.sort_by_key(|record| record.from);
        records
    }

    /// Returns each case of two runs of a task at a time, and of a start after a run that had ended as done.
    pub(crate) fn violations(&self) -> Vec<String> {
        let records = self.records();
        let workers = self.lock();
        let mut violations = Vec::new();
        for (index, later) in records.iter().enumerate() {
            let earlier = records[..index].iter();
            for earlier in earlier.filter(|earlier| earlier.task == later.task) {
                let worker = &workers[earlier.worker];
                let is_running = earlier.end.is_none_or(|(at, _)| at > later.from);
                let relation = match is_running {
                    true => "while",
                    false if worker.is_proven_done(earlier, later.from) => "after",
                    false => continue,
                };
                let (later, earlier) = (
                    later.describe(worker.started_at),
                    earlier.describe(worker.started_at),
                );
                violations.push(format!("{later}, {relation} {earlier}"));
            }
        }
        violations
    }
}

impl Record {
    fn describe(&self, start: Instant) -> String {
        let (task, run, worker) = (self.task, self.run, self.worker);
        let from = (self.from - start).as_secs_f64();
        let end = match self.end {
            Some((at, reason)) => {
                let until = (at - start).as_secs_f64();
                format!("{until:.3} s, {}", reason.as_str())
            }
            None => "now".to_owned(),
        };
        format!("{task} run {run} on w{worker} from {from:.3} s to {end}")
    }
}
/// Returns the address of a worker.
pub(super) fn address(worker: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, u8::try_from(worker).unwrap()], 7_000))
}

/// Returns which worker has a name.
pub(super) fn index(id: &WorkerId) -> usize {
    id.as_str().trim_start_matches('w').parse().unwrap()
}
