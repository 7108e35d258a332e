//! What the workers say, and what follows from it.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    journal::Record,
    platform::{
        target::{
            self,
            Target, //
        },
        worker::{
            Act,
            Answer,
            End,
            Ended,
            Error,
            Inventory,
            Reply,
            Running, //
        },
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    engine::{
        self,
        Cause, //
    },
    id::{
        TaskId,
        WorkerId, //
    },
    job::{
        Kind,
        Spec, //
    },
    worker::Condition, //
};

use super::{
    Live, Scope,
    commit::Pending,
    link::{
        Failed,
        Key,
        Landed, //
    },
};
use crate::node::Note;

impl Live {
    /// Takes the end of a message to a worker.
    pub(crate) fn synced(
        &mut self,
        worker: WorkerId,
        number: u64,
        result: Result<Reply, Error>,
        scope: &mut Scope<'_>,
    ) {
        match result {
            Ok(reply) => self.replied(worker, number, reply, scope),
            Err(error) => self.sync_failed(worker, number, &error, scope),
        }
    }

    fn replied(&mut self, worker: WorkerId, number: u64, reply: Reply, scope: &mut Scope<'_>) {
        let Reply { started, inventory } = reply;
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        let was_lost = link.lost;
        let Some(landed) = link.landed(number, &started, inventory.clock) else {
            return;
        };
        if inventory.epoch > self.epoch {
            self.report.fenced = Some(inventory.epoch);
            return;
        }
        if self.is_recovering(worker) {
            return self.recovered(&inventory);
        }
        if was_lost {
            self.back(worker, scope);
        }
        self.take_answers(worker, &landed, scope);
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        match link.view.take(inventory) {
            Ok(inventory) => self.take_inventory(worker, &inventory, landed.sent, scope),
            // The worker is asked for the whole at once.
            Err(_) => link.hurry(scope.now),
        }
    }

    /// Returns whether the recovery still waits for a worker's first inventory.
    fn is_recovering(&self, worker: WorkerId) -> bool {
        let waits = |machine: &fulmarpier_coordination::recovery::Machine| {
            !machine.is_ready() || machine.silent().any(|silent| silent == worker)
        };
        self.recovery.as_ref().is_some_and(waits)
    }

    fn recovered(&mut self, inventory: &Inventory) {
        if let Some(link) = self.links.get_mut(&inventory.worker) {
            link.life = Some(inventory.incarnation);
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if let Err(fenced) = recovery.on_inventory(inventory) {
            self.report.fenced = Some(fenced.epoch);
        }
    }

    /// Opens a worker again that answers after it was given up.
    fn back(&mut self, worker: WorkerId, scope: &mut Scope<'_>) {
        let state = "back";
        scope.out.note(Note::Worker { worker, state });
        let wanted = self.wanted_condition(worker);
        let effects = self.engine.set_condition(worker, wanted, scope.now);
        self.carry_out(effects, scope);
    }

    fn take_answers(&mut self, worker: WorkerId, landed: &Landed, scope: &mut Scope<'_>) {
        for (key, answer) in &landed.answers {
            match cause(*answer) {
                None => self.started(*key, worker, scope),
                Some(cause) => {
                    scope.out.retry(answer_word(*answer));
                    self.not_run(*key, worker, cause, scope);
                }
            }
        }
    }

    fn started(&mut self, key: Key, worker: WorkerId, scope: &mut Scope<'_>) {
        let (task, attempt) = key;
        self.watch(key, worker, Duration::ZERO, scope.now);
        let effects = self.engine.started(task, attempt, worker, scope.now);
        self.carry_out(effects, scope);
    }

    /// Renews a start from now on, and looks for its end.
    pub(super) fn watch(&mut self, key: Key, worker: WorkerId, age: Duration, now: Timestamp) {
        let (task, attempt) = key;
        let is_service = |spec: &Arc<Spec>| matches!(spec.kind, Kind::Service { .. });
        let ends = !self.engine.spec(task.job).is_some_and(is_service);
        let runtime = self.engine.expected_runtime(task.job);
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        link.running.insert(task, attempt);
        if ends {
            link.checks.expect(key, now.saturating_sub(age), runtime);
        }
    }

    /// Compares what a worker holds with what the owner believes; the worker is right.
    fn take_inventory(
        &mut self,
        worker: WorkerId,
        inventory: &Inventory,
        asked: Timestamp,
        scope: &mut Scope<'_>,
    ) {
        for running in &inventory.running {
            self.take_running(worker, running, asked, scope);
        }
        for ended in &inventory.ended {
            self.take_ended(worker, ended, scope);
        }
        self.settle_reborn(worker, inventory, scope);
        self.settle_suspects(worker, inventory, scope);
        self.settle_vanished(worker, inventory, scope);
        if let Some(link) = self.links.get_mut(&worker) {
            link.life = Some(inventory.incarnation);
            let told = |key: &Key| inventory.ended.iter().any(|e| (e.task, e.attempt) == *key);
            link.reported.retain(told);
        }
    }

    fn take_running(
        &mut self,
        worker: WorkerId,
        running: &Running,
        asked: Timestamp,
        scope: &mut Scope<'_>,
    ) {
        let key = (running.task, running.attempt);
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        if link.suspects.remove(&key).is_some() {
            self.started(key, worker, scope);
        } else if link.running.get(&running.task) != Some(&running.attempt) {
            // Nobody waits for it, and it holds capacity that is counted as free.
            link.act(key, Act::Stop);
            return;
        }
        self.engine.usage(running.task, running.usage, scope.now);
        self.note_target(worker, running, asked, scope);
    }

    /// Offers the slots of a target unless its worker is leaving, and takes its word on how many are
    /// busy.
    fn note_target(
        &mut self,
        worker: WorkerId,
        running: &Running,
        asked: Timestamp,
        scope: &mut Scope<'_>,
    ) {
        let Some((service, target, slots)) = self.target(running) else {
            return;
        };
        scope.credits.add(service, target, self.epoch, slots);
        match self.wanted.get(&worker) {
            Some(Condition::Leaving) => scope.credits.withdraw(target.id),
            _ => scope.credits.offer(target.id),
        }
        scope.credits.inventory(target.id, running.busy, asked);
    }

    /// Returns the target of a running task of a service.
    pub(super) fn target(
        &self,
        running: &Running,
    ) -> Option<(fulmarpier_state::name::Service, Target, u16)> {
        let spec = self.engine.spec(running.task.job)?;
        let Kind::Service { service, slots, .. } = &spec.kind else {
            return None;
        };
        let address = running.target?;
        let id = target::Id {
            task: running.task,
            attempt: running.attempt,
        };
        Some((service.clone(), Target { id, address }, *slots))
    }

    /// Takes an end on record; the worker may forget it once the record is kept.
    pub(super) fn take_ended(&mut self, worker: WorkerId, ended: &Ended, scope: &mut Scope<'_>) {
        let key = (ended.task, ended.attempt);
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        if !link.reported.insert(key) {
            return;
        }
        forget(link, key);
        let record = Record::Ended {
            task: ended.task,
            attempt: ended.attempt,
            worker,
            end: ended.end,
        };
        let pending = Pending::Ended { worker, key };
        if self.push(record, pending, scope.now).is_err()
            && let Some(link) = self.links.get_mut(&worker)
        {
            // The worker tells it again, and then there may be room.
            link.reported.remove(&key);
        }
        self.end(key, worker, ended.end, ended.age, scope);
    }

    fn end(&mut self, key: Key, worker: WorkerId, end: End, age: Duration, scope: &mut Scope<'_>) {
        let (task, attempt) = key;
        let id = target::Id { task, attempt };
        scope.credits.end(id, scope.now);
        let effects =
            self.engine
                .adopt_ended(task, attempt, worker, engine_end(end), age, scope.now);
        self.carry_out(effects, scope);
    }

    /// Ends starts whose answer was lost and that an earlier life of the worker may have run.
    ///
    /// The worker has forgotten that life, so that it does not hold them proves nothing but their
    /// end.
    fn settle_reborn(&mut self, worker: WorkerId, inventory: &Inventory, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        let same = link.life.is_none_or(|life| life == inventory.incarnation);
        if same {
            return;
        }
        for key in std::mem::take(&mut link.suspects).into_keys() {
            self.vanish(key, worker, scope);
        }
    }

    /// Settles starts whose answer was lost and that the worker does not hold.
    fn settle_suspects(&mut self, worker: WorkerId, inventory: &Inventory, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        let void = |by: &Timestamp| inventory.clock > *by;
        let settled: Vec<Key> = link
            .suspects
            .iter()
            .filter(|(_, by)| void(by))
            .map(|(key, _)| *key)
            .collect();
        for key in settled {
            if let Some(link) = self.links.get_mut(&worker) {
                link.suspects.remove(&key);
            }
            self.not_run(key, worker, Cause::Absent, scope);
        }
    }

    /// Ends tasks that ran on the worker and that it no longer knows, as after a restart.
    fn settle_vanished(&mut self, worker: WorkerId, inventory: &Inventory, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        let known = |key: Key| {
            let runs = |r: &Running| (r.task, r.attempt) == key;
            inventory.running.iter().any(runs)
        };
        let vanished: Vec<Key> = link
            .running
            .iter()
            .map(|(task, attempt)| (*task, *attempt))
            .filter(|key| !known(*key))
            .collect();
        for key in vanished {
            if let Some(link) = self.links.get_mut(&worker) {
                forget(link, key);
            }
            self.vanish(key, worker, scope);
        }
    }

    /// Ends a start of which its worker knows nothing any more.
    fn vanish(&mut self, key: Key, worker: WorkerId, scope: &mut Scope<'_>) {
        let (task, attempt) = key;
        let end = End::Lapsed;
        let record = Record::Ended {
            task,
            attempt,
            worker,
            end,
        };
        self.keep(record, scope.now);
        self.end(key, worker, end, Duration::ZERO, scope);
    }

    fn sync_failed(&mut self, worker: WorkerId, number: u64, error: &Error, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        let Some(failed) = link.failed(number, error, scope.settings, scope.now) else {
            return;
        };
        scope.out.retry("worker-sync");
        match failed {
            Failed::Void(starts) => {
                for key in starts {
                    self.not_run(key, worker, Cause::Refused, scope);
                }
            }
            Failed::Doubt(starts) => {
                for (task, attempt) in starts {
                    let effects = self.engine.suspect(task, attempt, worker);
                    self.carry_out(effects, scope);
                }
            }
            Failed::Fenced(epoch, starts) => {
                for key in starts {
                    self.not_run(key, worker, Cause::Fenced, scope);
                }
                self.report.fenced = Some(epoch);
            }
        }
    }

    /// Gives up workers that were silent until nothing on them can run any more.
    pub(super) fn lapse_workers(&mut self, scope: &mut Scope<'_>) {
        let recovering: Vec<WorkerId> = match &self.recovery {
            Some(machine) if !machine.is_ready() => return,
            Some(machine) => machine.silent().collect(),
            None => Vec::new(),
        };
        let now = scope.now;
        let lapsed = |link: &super::link::Link| {
            let quiet = link
                .heard()
                .is_none_or(|at| now.since(at) >= scope.settings.worker_lease);
            quiet && link.lapses(scope.settings) <= now && !link.lost
        };
        let gone: Vec<WorkerId> = self
            .links
            .values()
            .filter(|link| lapsed(link) && !recovering.contains(&link.worker))
            .map(|link| link.worker)
            .collect();
        for worker in gone {
            self.lose(worker, scope);
        }
    }

    fn lose(&mut self, worker: WorkerId, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get_mut(&worker) else {
            return;
        };
        link.lost = true;
        let running: Vec<(TaskId, _)> = std::mem::take(&mut link.running).into_iter().collect();
        let unsent = link.take_starts();
        link.suspects.clear();
        link.checks.clear();
        link.view.forget();
        for start in unsent {
            self.not_run((start.task, start.attempt), worker, Cause::Late, scope);
        }
        for (task, attempt) in running {
            let id = target::Id { task, attempt };
            scope.credits.end(id, scope.now);
        }
        let state = "lost";
        scope.out.note(Note::Worker { worker, state });
        let effects = self
            .engine
            .set_condition(worker, Condition::Lost, scope.now);
        self.carry_out(effects, scope);
        let effects = self.engine.worker_lost(worker, scope.now);
        self.carry_out(effects, scope);
    }
}

/// Drops a start from what is renewed and awaited.
fn forget(link: &mut super::link::Link, key: Key) {
    link.checks.remove(key);
    link.suspects.remove(&key);
    if link.running.get(&key.0) == Some(&key.1) {
        link.running.remove(&key.0);
    }
}

/// Returns why a start did not run, or `None` where it did.
const fn cause(answer: Answer) -> Option<Cause> {
    match answer {
        Answer::Started => None,
        Answer::Late => Some(Cause::Late),
        Answer::Full => Some(Cause::Full),
        Answer::Held => Some(Cause::Held),
        Answer::Failed => Some(Cause::Failed),
    }
}

const fn answer_word(answer: Answer) -> &'static str {
    match answer {
        Answer::Started => "start-taken",
        Answer::Late => "start-late",
        Answer::Full => "start-full",
        Answer::Held => "start-held",
        Answer::Failed => "start-failed",
    }
}

pub(super) const fn engine_end(end: End) -> engine::End {
    match end {
        End::Succeeded => engine::End::Succeeded,
        End::Failed => engine::End::Failed,
        End::Checkpointed => engine::End::Checkpointed,
        End::Stopped => engine::End::Stopped,
        End::Lapsed => engine::End::Lapsed,
    }
}
