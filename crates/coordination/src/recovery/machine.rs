//! The takeover of a shard's workers and tasks.

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

    /// Returns whether a job is better taken in once no worker is silent.
    ///
    /// None of its tasks was started by the record, but each of them may run unrecorded; to withhold
    /// them one by one would reserve room for a long queue that most likely never started.
    fn can_wait(&self, job: JobId) -> bool {
        let unrecorded = self.takeover.unrecorded && self.silent().next().is_some();
        let started = |held: &Job| !held.spec.idempotent || !held.tasks.is_empty();
        unrecorded && !self.jobs.get(&job).is_some_and(started)
    }

    /// Takes a job in, with what the record says of each task.
    fn submit(&mut self, job: JobId) {
        let Some(held) = self.jobs.get(&job).cloned() else {
            return;
        };
        // The tasks of a job that is wholly delegated are other shards' to recover.
        let Some(spec) = held.own() else {
            return;
        };
        let tasks = spec.tasks;
        self.step(Step::Submit {
            job,
            spec,
            accepted: held.accepted,
        });
        for index in 0..tasks {
            let state = held.tasks.get(&index).copied();
            let task = TaskId::new(job, index);
            self.restore(task, held.spec.idempotent, state);
        }
        if held.cancelled {
            self.step(Step::Cancel { job });
        }
    }

    /// Takes in the jobs that had to wait for silent workers.
    fn submit_deferred(&mut self) {
        for job in std::mem::take(&mut self.deferred) {
            self.submit(job);
        }
    }

    /// Decides on a task by its record, unless an inventory has shown something later.
    fn restore(&mut self, task: TaskId, idempotent: bool, state: Option<TaskState>) {
        let attempt = state.map_or(Attempt(0), |state| state.attempt());
        let later = |seen: &Seen| seen.settles || seen.attempt >= attempt;
        if self.seen.get(&task).is_some_and(later) {
            return;
        }
        let roams = idempotent && self.takeover.unrecorded;
        match state {
            Some(state) if is_over(state) => self.step(Step::Restore { task, state }),
            Some(_) | None if roams => self.withhold(task, attempt),
            Some(TaskState::Starting { worker, .. }) => {
                self.bind(task, attempt, worker, idempotent);
            }
            Some(state) => self.step(Step::Restore { task, state }),
            None => {}
        }
    }

    /// Withholds a task that only `worker` may hold, or settles it if that worker is not silent.
    fn bind(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId, idempotent: bool) {
        if self.is_silent(worker) {
            self.recall(task, attempt, worker, true);
        } else if idempotent {
            self.step(Step::Waiting { task, attempt });
        } else {
            self.step(Step::Unknown {
                task,
                attempt,
                worker,
            });
        }
    }

    /// Withholds a task while any worker is silent.
    fn withhold(&mut self, task: TaskId, attempt: Attempt) {
        let first = self.silent().next();
        if let Some(worker) = first {
            self.recall(task, attempt, worker, false);
        } else if attempt > Attempt(0) {
            self.step(Step::Waiting { task, attempt });
        }
    }

    fn recall(&mut self, task: TaskId, attempt: Attempt, worker: WorkerId, bound: bool) {
        let recall = Recall {
            attempt,
            worker,
            bound,
        };
        self.recalls.insert(task, recall);
        self.step(Step::Recall {
            task,
            attempt,
            worker,
        });
    }

    fn release(&mut self, task: TaskId) {
        let Some(recall) = self.recalls.remove(&task) else {
            return;
        };
        self.step(Step::Release {
            task,
            attempt: recall.attempt,
            worker: recall.worker,
        });
    }

    /// Settles or moves the tasks that were withheld because of a worker that is silent no more.
    fn move_recalls(&mut self, worker: WorkerId) {
        let moved: Vec<(TaskId, Recall)> = self
            .recalls
            .iter()
            .filter(|(_, recall)| recall.worker == worker)
            .map(|(task, recall)| (*task, *recall))
            .collect();
        for (task, recall) in moved {
            self.release(task);
            if recall.bound {
                self.bind(task, recall.attempt, worker, self.is_idempotent(task));
            } else {
                self.withhold(task, recall.attempt);
            }
        }
    }

    fn adopt(&mut self, worker: WorkerId, running: Running) {
        let task = running.task;
        self.see(task, running.attempt, true);
        self.release(task);
        self.step(Step::Adopt { worker, running });
    }

    fn end(&mut self, worker: WorkerId, ended: &Ended) {
        let task = ended.task;
        let attempt = ended.attempt;
        let succeeded = ended.end == End::Succeeded;
        self.see(task, attempt, succeeded);
        let later = |recall: &Recall| recall.bound && recall.attempt > attempt;
        let kept = self.recalls.get(&task).is_some_and(later);
        if succeeded || !kept {
            self.release(task);
        }
        self.step(Step::Ended {
            task,
            attempt,
            worker,
            end: ended.end,
            age: ended.age,
        });
        let settled = self.seen.get(&task).is_some_and(|seen| seen.settles);
        let roams = self.takeover.unrecorded && self.is_idempotent(task);
        if roams && !settled && self.silent().next().is_some() {
            self.withhold(task, attempt);
        }
    }

    /// Notes what an inventory showed, and takes in the task's job if that had to wait.
    fn see(&mut self, task: TaskId, attempt: Attempt, settles: bool) {
        let seen = self.seen.entry(task).or_default();
        seen.attempt = seen.attempt.max(attempt);
        seen.settles |= settles;
        if self.deferred.remove(&task.job) {
            self.submit(task.job);
        }
    }

    fn is_silent(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(|c| c.is_silent())
    }

    fn is_idempotent(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|held| held.spec.idempotent)
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
