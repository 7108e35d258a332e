//! Registration of workers, heartbeats, which renew their leases, and probes; both fetch their inventories.

use std::time::Duration;

use fulmarpier_state::{
    clock::Timestamp,
    resource::Resources, //
};

use super::{
    Engine,
    Slot, //
};
use crate::{
    effect::{
        Destination,
        Effect,
        Heartbeat,
        LogRecord, //
    },
    event::{
        HeartbeatAnswer,
        Inventory,
        Registration,
        Running, //
    },
    id::{
        PoolName,
        Run,
        TaskId,
        WorkerId, //
    },
    record::WorkerRuns,
    speed::Track,
    worker::{
        Allocation,
        CallState,
        Phase,
        Sender,
        Silence,
        Worker, //
    },
};

/// How long a worker may wait for a run to end before it answers a heartbeat.
///
/// The platform allows at most 2 s, and a lost heartbeat is noticed only after this time.
const HEARTBEAT_WAIT: Duration = Duration::from_millis(1_000);
/// The same bound while best-effort and latency-sensitive tasks share the worker.
///
/// Interference shows after half a second and has to be ended within a few seconds.
const SHARED_WORKER_HEARTBEAT_WAIT: Duration = Duration::from_millis(400);
/// The delay before another heartbeat or probe is sent to a worker that gave no answer.
pub(super) const SILENT_WORKER_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest time between two lease renewals while an end waits to be recorded in the store.
const UNRECORDED_END_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

impl Engine {
    /// Handles the registration of a new worker, or a change to a known one.
    pub fn register(&mut self, registration: Registration, now: Timestamp) {
        self.needs_pass = true;
        if let Some(slot) = self.slots.get(&registration.id).copied() {
            let Some(worker) = self.workers.get_mut(&slot) else {
                return;
            };
            if worker.is_contradicted_by(&registration) {
                return self.note_contradiction(slot, registration, now);
            }
            if worker.contradiction.is_some() {
                worker.set_contradiction(None, now);
            }
            if worker.registration.address != registration.address {
                worker.move_to(registration.address, now);
            }
            let was_leaving = worker.registration.leaving.is_some();
            let is_leaving = registration.leaving.is_some();
            let is_changed = worker.capabilities_differ(&registration);
            let has_new_incarnation = worker.is_superseded_by(&registration);
            if worker.registration.pool != registration.pool {
                worker.forget_speed();
            }
            let shrinks = !worker.registration.capacity.fits(&registration.capacity);
            worker.registered = now;
            worker.unlisted_since = None;
            worker.is_known_unlisted = false;
            let was_distrusted = worker.distrusted_since.take().is_some();
            worker.registration = registration;
            worker.update_capacity();
            if has_new_incarnation {
                self.expect_incarnation(slot, now);
            }
            if was_distrusted {
                self.log_worker(slot, "trusted", now);
            }
            self.update_indexes(slot);
            self.mark_evacuated(slot);
            if shrinks && !has_new_incarnation {
                self.revoke_excess_starts(slot, now);
            }
            if is_changed {
                self.open_steps.forget_node_waits();
                self.reopen_unschedulable();
            }
            if is_leaving && !was_leaving {
                self.log_worker(slot, "leaving", now);
            }
            return;
        }
        let worker = Worker::new(registration, self.fence, now, Some(now));
        let slot = self.insert_worker(worker);
        self.log_worker(slot, "listed", now);
        self.reopen_unschedulable();
    }

    /// Notes that the store no longer lists a worker.
    pub fn unregister(&mut self, id: &WorkerId, now: Timestamp) {
        let Some(slot) = self.slots.get(id).copied() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        worker.is_known_unlisted = true;
        if worker.unlisted_since.is_none() {
            worker.unlisted_since = Some(now);
            self.update_indexes(slot);
            self.log_worker(slot, "unlisted", now);
        }
    }

    /// Notes that the store's entry for a worker is not usable; ignored for unknown workers.
    ///
    /// Anybody may have written the entry. It doesn't prove that the worker is gone: its runs go on under their
    /// lease, their inventory is still fetched from the last valid address, and they are not started elsewhere. Nor
    /// does it confirm the capacity and pool listed before, so nothing new is started there. Both apply until a
    /// valid entry appears, or until the worker is silent and its leases have expired.
    pub fn mark_entry_unusable(&mut self, id: &WorkerId, now: Timestamp) {
        let Some(slot) = self.slots.get(id).copied() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        worker.is_known_unlisted = false;
        if worker.distrusted_since.is_none() {
            worker.distrusted_since = Some(now);
            self.update_indexes(slot);
            self.log_worker(slot, "distrusted", now);
        }
    }

    /// Adds a worker that may run tasks started by former owners, with the runs on record.
    pub(super) fn track_former_worker(
        &mut self,
        id: WorkerId,
        recorded: WorkerRuns,
        now: Timestamp,
    ) {
        let registration = Registration {
            id,
            incarnation: None,
            address: recorded.address,
            pool: PoolName::from(""),
            capacity: Resources::ZERO,
            labels: Vec::new(),
            data_centre: None,
            leaving: None,
        };
        let mut worker = Worker::new(registration, self.fence, now, None);
        worker.incarnation = recorded.incarnation;
        worker.unlisted_since = Some(now);
        let slot = self.insert_worker(worker);
        for (task, run) in recorded.runs {
            let running = Running {
                task,
                run,
                checkpoint: None,
                load: 0,
                progress: None,
            };
            // Runs that a former owner was stopping may be missing from an inventory; they end within the grace time.
            self.adopt(slot, &running, now + self.bounds.stop_settle_time(), now);
        }
    }

    fn insert_worker(&mut self, worker: Worker) -> Slot {
        let slot = Slot(self.next_slot);
        self.next_slot += 1;
        self.slots.insert(worker.registration.id.clone(), slot);
        self.workers.insert(slot, worker);
        self.open_steps.forget_node_waits();
        self.update_indexes(slot);
        self.mark_evacuated(slot);
        slot
    }

    /// Updates the indexes of a worker: its next heartbeat or probe, its next expiry, and its position by free
    /// capacity.
    ///
    /// Both times may turn out to be too early and are then set again.
    pub(super) fn update_indexes(&mut self, slot: Slot) {
        let worker = self.workers.get(&slot);
        self.free_capacity.set(slot, worker);
        self.competition
            .set_capacity(slot, worker, &mut self.quotas);
        self.calls.set(slot, worker.and_then(Worker::next_call));
        self.expiries
            .set(slot, worker.and_then(Worker::next_expiry));
    }

    /// Sends every heartbeat and probe that is due.
    pub(super) fn call_workers(&mut self, now: Timestamp) {
        for slot in self.calls.take_due(now) {
            self.call_worker(slot, now);
            self.update_indexes(slot);
        }
    }

    fn call_worker(&mut self, slot: Slot, now: Timestamp) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        // Answers are matched to heartbeats and probes by the time of the call, so two calls must not leave at the same
        // instant.
        let is_heartbeat_sent_now = worker.heartbeat == CallState::InFlight(now);
        if !is_heartbeat_sent_now && worker.probe.is_some_and(|probe| probe.is_due(now)) {
            worker.probe = Some(CallState::InFlight(now));
            let to = worker.probe_destination();
            let call = heartbeat_effect(worker, to, None, Duration::ZERO, now);
            self.outbox.push(call);
        }
        if !worker.heartbeat.is_due(now) || worker.probe == Some(CallState::InFlight(now)) {
            return;
        }
        // A worker that doesn't answer may still receive calls; not extending the lease lets it expire.
        let deadline = match worker.silent_since {
            None => worker.extend_lease(&self.bounds, now),
            Some(_) => None,
        };
        let wait = match worker.heard {
            Some(_) if worker.silent_since.is_none() && worker.throttling.is_shared => {
                SHARED_WORKER_HEARTBEAT_WAIT
            }
            Some(_) if worker.silent_since.is_none() => HEARTBEAT_WAIT,
            _ => Duration::ZERO,
        };
        worker.heartbeat = CallState::InFlight(now);
        let call = heartbeat_effect(worker, worker.destination(), deadline, wait, now);
        self.outbox.push(call);
    }

    /// Handles the answer to a heartbeat or probe.
    ///
    /// `sent_at` is when the call was made.
    pub fn handle_heartbeat_answer(
        &mut self,
        id: &WorkerId,
        sent_at: Timestamp,
        answer: HeartbeatAnswer,
        now: Timestamp,
    ) {
        let Some(slot) = self.slots.get(id).copied() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let is_probe = worker.probe == Some(CallState::InFlight(sent_at));
        if is_probe {
            worker.probe = None;
            if worker.contradiction.is_some() && !self.settle_contradiction(slot, &answer, now) {
                return;
            }
        } else if worker.heartbeat != CallState::InFlight(sent_at) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        match answer {
            HeartbeatAnswer::Inventory(inventory) => {
                self.handle_inventory(slot, inventory, sent_at, now)
            }
            // The call predates the current fence, so the refusal doesn't mean that another node owns the cell.
            HeartbeatAnswer::Fenced
                if worker.fence_raised.is_some_and(|raised| sent_at < raised) =>
            {
                worker.retry_call(is_probe, now);
                self.update_indexes(slot);
            }
            HeartbeatAnswer::Fenced => self.end_fenced(id, "heartbeat", now),
            HeartbeatAnswer::Replaced => self.remove_lost_worker(slot, "replaced", now),
            HeartbeatAnswer::NoAnswer
            | HeartbeatAnswer::ConnectionLost
            | HeartbeatAnswer::Refused
                if is_probe =>
            {
                worker.probe = Some(CallState::Due(now + SILENT_WORKER_RETRY_DELAY));
                self.update_indexes(slot);
            }
            HeartbeatAnswer::NoAnswer
            | HeartbeatAnswer::ConnectionLost
            | HeartbeatAnswer::Refused => {
                worker.heartbeat = CallState::Due(now + SILENT_WORKER_RETRY_DELAY);
                let was_responsive = worker.silent_since.is_none();
                worker.silent_since.get_or_insert(now);
                worker.silence.get_or_insert(match answer {
                    HeartbeatAnswer::ConnectionLost => Silence::Broken(now),
                    _ => Silence::Missed,
                });
                self.update_indexes(slot);
                if was_responsive {
                    self.log_worker(slot, "silent", now);
                }
            }
        }
    }

    /// Handles an inventory, after finding out which incarnation of the worker sent it.
    fn handle_inventory(
        &mut self,
        slot: Slot,
        inventory: Inventory,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        match worker.identify(inventory.incarnation, sent_at) {
            Sender::Current => {}
            Sender::Former => {
                worker.retry_call(false, now);
                return self.update_indexes(slot);
            }
            Sender::Later => self.begin_incarnation(slot, &inventory, sent_at, now),
        }
        self.apply_inventory(slot, inventory, sent_at, now);
    }

    /// Applies an inventory of the current incarnation: its runs, its ends and what is absent from it.
    fn apply_inventory(
        &mut self,
        slot: Slot,
        inventory: Inventory,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let was_heard = worker.heard.is_some() && worker.silent_since.is_none();
        if worker.heard.is_none() {
            worker.begin_contact(&self.bounds, now);
        }
        worker.heard = Some(now);
        worker.silent_since = None;
        worker.silence = None;
        worker.lapsed_runs.clear();
        worker.read_clock(inventory.clock, now);
        worker.listed_runs = inventory.running.len();
        worker.incarnation = inventory.incarnation.or(worker.incarnation);
        worker.is_superseded = false;
        let last_processed = worker.last_processed_end;
        let (ends, omits_ends) = (inventory.ended.len(), inventory.omits_ends);
        if !was_heard {
            self.log_worker(slot, "heard", now);
            self.retract_crashes(slot);
        }
        self.needs_pass = true;
        let mut listed: Vec<(TaskId, Run)> = Vec::new();
        for running in &inventory.running {
            self.mark_begun(running.task.step.job);
            listed.push((running.task, running.run));
            self.apply_running(slot, running, sent_at, now);
        }
        self.observe_inventory(slot, &inventory, now);
        for ended in inventory.ended {
            listed.push((ended.task, ended.run));
            if ended.serial > last_processed {
                if let Some(worker) = self.workers.get_mut(&slot) {
                    worker.last_processed_end = worker.last_processed_end.max(ended.serial);
                }
                self.handle_end(slot, ended, now);
            }
        }
        // A run that is listed nowhere may have ended; its end is then listed later.
        if !omits_ends {
            self.note_unlisted(slot, &listed, now);
            self.release_absent(slot, &listed, ends, sent_at, now);
        }
        if !was_heard {
            self.send_deferred_starts(slot, now);
        }
        self.throttle(slot, &inventory.running, now);
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        if worker.heartbeat == CallState::InFlight(sent_at) {
            worker.heartbeat = match worker.last_processed_end > worker.last_recorded_end {
                // Once the ends are recorded, the next call is made at once.
                true => CallState::Due(now + UNRECORDED_END_RENEWAL_INTERVAL),
                false => CallState::Due(now),
            };
        }
        let last_processed = worker.last_processed_end;
        self.update_indexes(slot);
        self.record_queue.add_ends(slot, last_processed);
    }

    /// Applies a run that a worker lists as running.
    fn apply_running(&mut self, slot: Slot, running: &Running, sent_at: Timestamp, now: Timestamp) {
        let task = running.task;
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        if worker.is_over(task, running.run) {
            return;
        }
        let allocation = worker.allocations.get_mut(&(task, running.run));
        let Some(allocation) = allocation else {
            self.adopt(slot, running, now, now);
            return;
        };
        let is_first = allocation.first_confirmed.is_none();
        allocation.confirm(now);
        allocation.fence = worker.fence;
        allocation.update_outlived_crash_window(sent_at);
        let is_at_work = allocation.note_progress(running);
        if allocation.is_exclusive && allocation.outlived_crash_window {
            self.end_isolation(slot, task, running.run);
        }
        if is_first {
            self.note_listed(task.step, running.run, now);
        }
        if is_at_work {
            self.mark_whole(task.step, running.run);
        }
        self.save_checkpoint(task, running.checkpoint.as_ref());
    }

    /// Takes over a run that this owner did not start, or stops it if it is not needed.
    ///
    /// If an inventory requested at `proven_from` or later doesn't list the run, that proves that it is gone.
    fn adopt(&mut self, slot: Slot, running: &Running, proven_from: Timestamp, now: Timestamp) {
        let (task, run) = (running.task, running.run);
        self.begin_listed_occurrence(task.step, now);
        let charge = self.charge(task.step);
        let job = self.jobs.get_mut(&task.step.job);
        let is_over = job.as_ref().is_none_or(|job| job.is_over());
        let has_finished = job
            .as_ref()
            .is_some_and(|job| job.has_finished(task.step.occurrence));
        let size = job
            .as_ref()
            .and_then(|job| job.step(task.step))
            .map_or(Resources::ZERO, super::place::worker_resources);
        let (mut is_wanted, mut is_suspect) = (false, false);
        if let Some(job) = job
            && let Some(stage) = job.stage_mut(task.step)
            && let Some(state) = stage.task_mut(task.index)
        {
            state.last_run = state.last_run.max(run);
            is_suspect = state.is_suspect();
            if !is_over && !state.is_done && state.note_run(slot, run) {
                stage.waiting.remove(&task.index);
                stage.opened_at.get_or_insert(now);
                is_wanted = true;
            }
        } else if !has_finished {
            let unknown_runs = self.unknown_runs.entry(task.step.job).or_default();
            unknown_runs.push((slot, task, run));
        }
        let Some(worker) = self.workers.get_mut(&slot) else {
            return;
        };
        let is_listed = proven_from <= now;
        let allocation = Allocation {
            size,
            charge,
            phase: Phase::Running {
                since: proven_from,
                track: Track::default(),
            },
            since: now,
            fence: worker.fence,
            unanswered_starts: u8::from(!is_listed),
            resend_when_heard: false,
            is_exclusive: is_suspect && is_wanted,
            first_confirmed: is_listed.then_some(now),
            is_unlisted: false,
            progress: running.progress,
            outlived_crash_window: false,
        };
        worker.adopt(task, run, allocation);
        if let Some(charge) = charge {
            self.quotas.charge(charge.account, charge.size);
        }
        let worker = worker.registration.id.clone();
        self.update_indexes(slot);
        self.log(LogRecord::Adopted { task, run, worker });
        if is_wanted {
            self.note_ordered(task.step, run, now);
            self.save_checkpoint(task, running.checkpoint.as_ref());
        } else {
            self.stop(slot, task, run, "unwanted", now);
        }
    }

    /// Logs a change in what is believed about a worker.
    pub(super) fn log_worker(&mut self, slot: Slot, belief: &'static str, now: Timestamp) {
        let Some(worker) = self.workers.get(&slot) else {
            return;
        };
        let record = LogRecord::Worker {
            worker: worker.registration.id.clone(),
            incarnation: worker.incarnation,
            belief,
            heard: worker.heard.map(|heard| now.since(heard)),
        };
        self.log(record);
    }
}

/// Returns the effect of a heartbeat or probe: it requests a worker's inventory and extends its lease up to `deadline`,
/// if there is one.
fn heartbeat_effect(
    worker: &Worker,
    to: Destination,
    deadline: Option<u64>,
    wait: Duration,
    sent_at: Timestamp,
) -> Effect {
    Effect::Heartbeat(Heartbeat {
        // At another address, another incarnation may answer, which numbers its own ends.
        acknowledged: match to.address == worker.registration.address {
            true => worker.acknowledged(),
            false => 0,
        },
        to,
        deadline,
        wait,
        sent_at,
    })
}
