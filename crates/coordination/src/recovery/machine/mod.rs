//! The takeover of a shard's workers and tasks.

mod tasks;

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        JobId,
        TaskId,
        WorkerId, //
    },
};

use crate::platform::worker::{
    End,
    Ended,
    Inventory,
    Running, //
};

use super::{
    Effect,
    Image,
    Job,
    Settings,
    Step,
    TaskState,
    contact::Contact, //
};

/// A worker has been taken at a higher epoch, so this owner was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{worker} is taken at {epoch}")]
pub struct Fenced {
    /// The worker.
    pub worker: WorkerId,
    /// The higher epoch.
    pub epoch: Epoch,
}

/// A task that must not be started because a silent worker may hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Recall {
    attempt: Attempt,
    worker: WorkerId,
    /// Whether only `worker` may hold it, because its record is sure to be the last.
    bound: bool,
}

/// What the inventories have shown of a task.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    /// The latest start that was shown.
    attempt: Attempt,
    /// Whether it runs or has succeeded, so that it is not to be started.
    settles: bool,
}

/// How a shard was taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Takeover {
    /// The new epoch.
    pub epoch: Epoch,
    /// The time after which no earlier owner renews a lease, by this node's clock: the time of the
    /// evidence that its process is gone or that it gave the shard up; `None` where it may be
    /// alive.
    pub renewals_end: Option<Timestamp>,
    /// Whether an earlier owner may have started idempotent tasks whose record is not kept: it does
    /// not wait for the record, or the log was down for it.
    pub unrecorded: bool,
}

/// The takeover of a shard's workers and tasks at a new epoch.
///
/// A worker that answers is fenced: a start of an earlier owner that arrives later is refused by
/// it. Tasks found are adopted. A task that is not found is treated by its promise:
///
/// - Non-idempotent: its `Starting` record was kept before its start left, so without one it was
///   never started, and with one only the worker on record may hold it. Not found there, it ends
///   as unknown.
/// - Idempotent, where every start was recorded: the same, but not found there it may start again.
/// - Idempotent, where starts may be unrecorded: each silent worker may hold it. It waits until
///   every silent worker has answered or is gone, then it may start again.
///
/// A silent worker is gone once everything on it has lapsed: [`Settings::lapse`] after the last
/// moment at which an earlier owner could renew, or after the VM was no longer listed.
#[derive(Clone, Debug)]
pub struct Machine {
    takeover: Takeover,
    settings: Settings,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<WorkerId, Contact>,
    recalls: BTreeMap<TaskId, Recall>,
    deferred: BTreeSet<JobId>,
    seen: BTreeMap<TaskId, Seen>,
    running: Vec<(WorkerId, Running)>,
    ended: Vec<(WorkerId, Ended)>,
    ready: bool,
    settled: bool,
    ready_by: Timestamp,
    ask_at: Timestamp,
    effects: VecDeque<Effect>,
}

impl Machine {
    /// Starts the takeover of the listed workers, and of those that the record names.
    pub fn new(
        takeover: Takeover,
        image: &Image,
        workers: impl IntoIterator<Item = WorkerId>,
        settings: Settings,
        now: Timestamp,
    ) -> Self {
        let listed = Contact::Silent { unlisted: None };
        let gone = Contact::Silent {
            unlisted: Some(now),
        };
        let mut contacts: BTreeMap<_, _> = workers.into_iter().map(|w| (w, listed)).collect();
        for worker in recorded_workers(image) {
            contacts.entry(worker).or_insert(gone);
        }
        Self {
            takeover,
            ready_by: now + settings.patience,
            settings,
            jobs: image.jobs.clone(),
            workers: contacts,
            recalls: BTreeMap::new(),
            deferred: BTreeSet::new(),
            seen: BTreeMap::new(),
            running: Vec::new(),
            ended: Vec::new(),
            ready: false,
            settled: false,
            ask_at: now,
            effects: VecDeque::new(),
        }
    }

    /// Returns whether placing may have begun.
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns whether no worker is silent any more.
    pub const fn is_settled(&self) -> bool {
        self.settled
    }

    /// Returns the workers that have not answered and are not known to be gone.
    pub fn silent(&self) -> impl Iterator<Item = WorkerId> {
        self.workers
            .iter()
            .filter(|(_, contact)| contact.is_silent())
            .map(|(worker, _)| *worker)
    }

    /// Returns how many tasks, and jobs none of which was started by the record, wait because a
    /// silent worker may hold them.
    pub fn withheld(&self) -> usize {
        self.recalls.len() + self.deferred.len()
    }

    /// Returns the next thing to do, if there is one now.
    pub fn poll(&mut self, now: Timestamp) -> Option<Effect> {
        if let Some(effect) = self.effects.pop_front() {
            return Some(effect);
        }
        if self.settled {
            return None;
        }
        if self.ask_at <= now {
            self.ask_at = now + self.settings.retry;
            let silent: Vec<WorkerId> = self.silent().collect();
            if !silent.is_empty() {
                return Some(Effect::Take(silent));
            }
        }
        self.lapse(now);
        if !self.ready && (self.ready_by <= now || self.silent().next().is_none()) {
            self.begin();
        }
        self.settle();
        self.effects.pop_front()
    }

    /// Returns when [`Self::poll`] next has something to do, if nothing is reported before.
    pub fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.effects.is_empty() {
            return Some(now);
        }
        if self.settled {
            return None;
        }
        let lapse = |c: &Contact| c.lapse(self.takeover.renewals_end, &self.settings);
        let lapse = self.workers.values().filter_map(lapse).min();
        let ready = (!self.ready).then_some(self.ready_by);
        [Some(self.ask_at), lapse, ready]
            .into_iter()
            .flatten()
            .min()
    }

    /// Takes the inventory that a worker gave at the new epoch.
    ///
    /// # Errors
    ///
    /// Fails if the worker was taken at a higher epoch; the shard must be given up.
    pub fn on_inventory(&mut self, inventory: &Inventory) -> Result<(), Fenced> {
        let worker = inventory.worker;
        if inventory.epoch > self.takeover.epoch {
            let epoch = inventory.epoch;
            return Err(Fenced { worker, epoch });
        }
        // An answer to a call of an earlier epoch does not show that the worker is fenced.
        let known = self.workers.get(&worker) == Some(&Contact::Open);
        if inventory.epoch < self.takeover.epoch || known {
            return Ok(());
        }
        self.workers.insert(worker, Contact::Open);
        let running = inventory.running.iter().cloned();
        let ended = inventory.ended.iter().cloned();
        if self.ready {
            self.step(Step::WorkerOpen { worker });
            running.for_each(|found| self.adopt(worker, found));
            ended.for_each(|found| self.end(worker, &found));
            self.move_recalls(worker);
        } else {
            self.running.extend(running.map(|found| (worker, found)));
            self.ended.extend(ended.map(|found| (worker, found)));
        }
        Ok(())
    }

    /// Takes the news that a worker's VM is no longer listed.
    pub fn unlisted(&mut self, worker: WorkerId, now: Timestamp) {
        if let Some(Contact::Silent { unlisted }) = self.workers.get_mut(&worker) {
            unlisted.get_or_insert(now);
        }
    }

    /// Takes the news that a worker belongs to the shard.
    pub fn listed(&mut self, worker: WorkerId) {
        let silent = Contact::Silent { unlisted: None };
        self.workers.entry(worker).or_insert(silent);
    }

    /// Takes the news that no earlier owner renews leases after `at`.
    pub fn renewals_ended(&mut self, at: Timestamp) {
        let at = self.takeover.renewals_end.map_or(at, |known| known.min(at));
        self.takeover.renewals_end = Some(at);
    }

    /// Finds the silent workers on which everything has lapsed.
    fn lapse(&mut self, now: Timestamp) {
        let lapsed = |contact: &Contact| {
            contact
                .lapse(self.takeover.renewals_end, &self.settings)
                .is_some_and(|at| at <= now)
        };
        let gone: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, contact)| lapsed(contact))
            .map(|(worker, _)| *worker)
            .collect();
        for worker in gone {
            self.workers.insert(worker, Contact::Gone);
            if self.ready {
                self.move_recalls(worker);
                self.step(Step::WorkerGone { worker });
            }
        }
    }

    /// Turns the image and the inventories collected so far into the first steps.
    fn begin(&mut self) {
        self.ready = true;
        for (worker, contact) in self.workers.clone() {
            match contact {
                Contact::Open => self.step(Step::WorkerOpen { worker }),
                Contact::Gone => self.step(Step::WorkerGone { worker }),
                Contact::Silent { .. } => {}
            }
        }
        let running = std::mem::take(&mut self.running);
        let ended = std::mem::take(&mut self.ended);
        for (_, found) in &running {
            self.see(found.task, found.attempt, true);
        }
        for (_, found) in &ended {
            self.see(found.task, found.attempt, found.end == End::Succeeded);
        }
        let found: BTreeSet<JobId> = self.seen.keys().map(|task| task.job).collect();
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            if !found.contains(&job) && self.can_wait(job) {
                self.deferred.insert(job);
            } else {
                self.submit(job);
            }
        }
        for (worker, found) in ended {
            self.end(worker, &found);
        }
        for (worker, found) in running {
            self.adopt(worker, found);
        }
        self.step(Step::Ready);
    }

    fn settle(&mut self) {
        if self.ready && !self.settled && self.silent().next().is_none() {
            self.settled = true;
            self.submit_deferred();
            self.step(Step::Settled);
        }
    }

    fn step(&mut self, step: Step) {
        self.effects.push_back(Effect::Step(step));
    }
}

/// Returns whether no later inventory can change the state.
const fn is_over(state: TaskState) -> bool {
    use crate::platform::worker::End;

    match state {
        TaskState::Unknown { .. } => true,
        TaskState::Ended { end, .. } => matches!(end, End::Succeeded),
        TaskState::Starting { .. } | TaskState::NotStarted { .. } => false,
    }
}

/// Returns the workers that the record names as holders of tasks.
fn recorded_workers(image: &Image) -> impl Iterator<Item = WorkerId> {
    let states = image.jobs.values().flat_map(|job| job.tasks.values());
    states.filter_map(|state| match state {
        TaskState::Starting { worker, .. } => Some(*worker),
        _ => None,
    })
}
