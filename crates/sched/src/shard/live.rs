//! A shard that is recovered or being recovered, and that places work while it may.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_coordination::{
    credit,
    journal::{
        Journal,
        Opened,
        Record,
        Token,
        Urgency, //
    },
    part::Rooms,
    platform::{
        log,
        target, //
    },
    recovery, request,
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    engine::Engine,
    id::{
        Epoch,
        JobId,
        ShardId,
        WorkerId, //
    },
    job::Kind,
    name::Service,
    policy::Policy,
    worker::Condition, //
};

use super::{
    Settings,
    commit::Pending,
    link::Link,
    part, //
};
use crate::node::{
    CallId,
    Dispatch,
    Note,
    Outbox,
    Output,
    Purpose, //
};

/// The most decisions of one pass, so that other events are not held up.
const DECISIONS: usize = 256;

/// What a shard may use of its node while it handles an event.
pub(crate) struct Scope<'a> {
    /// What is to be done.
    pub(crate) out: &'a mut Outbox,
    /// The slots of all targets of this node's shards.
    pub(crate) credits: &'a mut credit::Ledger,
    /// What the shards have left, as far as it was asked for.
    pub(crate) rooms: &'a Rooms,
    /// The spans and limits.
    pub(crate) settings: &'a Settings,
    /// The time.
    pub(crate) now: Timestamp,
}

/// What a shard tells its node after a pass.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct Report {
    /// Placing may begin for the first time.
    pub(crate) ready: bool,
    /// Another owner was seen: in the journal, or at this epoch on a worker.
    pub(crate) fenced: Option<Epoch>,
}

/// Callers who wait for a job to end.
pub(super) struct Waiter {
    pub(super) call: CallId,
    pub(super) until: Timestamp,
}

/// A shard that is recovered or being recovered.
pub(crate) struct Live {
    pub(crate) shard: ShardId,
    pub(crate) epoch: Epoch,
    pub(super) journal: Journal,
    pub(super) recovery: Option<recovery::Machine>,
    pub(super) engine: Engine,
    pub(super) requests: request::Ledger,
    pub(super) links: BTreeMap<WorkerId, Link>,
    pub(super) pending: HashMap<Token, Pending>,
    pub(super) waiters: HashMap<JobId, Vec<Waiter>>,
    /// What each worker may be used for while it answers.
    pub(super) wanted: BTreeMap<WorkerId, Condition>,
    /// Until when work may be placed, as the ownership says; `None` while it may not.
    pub(super) may_start: Option<Timestamp>,
    /// What runs in other shards.
    pub(super) parts: part::State,
    pub(super) down_since: Option<Timestamp>,
    next_token: u64,
    pub(super) report: Report,
}

impl Live {
    /// Begins the recovery of a shard whose journal has been replayed.
    pub(crate) fn new(
        shard: ShardId,
        epoch: Epoch,
        won: Timestamp,
        opened: Opened,
        workers: impl IntoIterator<Item = WorkerId>,
        scope: &mut Scope<'_>,
    ) -> Self {
        let journal = opened.journal;
        let claim = request::Claim {
            epoch,
            at: won,
            complete: opened.complete,
        };
        let settings = scope.settings;
        let (requests, records) =
            request::Ledger::new(settings.request.clone(), journal.image(), claim, scope.now);
        let takeover = recovery::Takeover {
            epoch,
            renewals_end: None,
            // An idempotent start does not wait for its record.
            unrecorded: true,
        };
        let recovery = recovery::Machine::new(
            takeover,
            journal.image(),
            workers,
            settings.recovery(),
            scope.now,
        );
        let parts = part::State::new(shard, journal.image(), scope.now);
        let mut live = Self {
            shard,
            epoch,
            journal,
            recovery: Some(recovery),
            engine: Engine::new(shard, Policy::default()),
            requests,
            links: BTreeMap::new(),
            pending: HashMap::default(),
            waiters: HashMap::default(),
            wanted: BTreeMap::new(),
            may_start: None,
            parts,
            down_since: None,
            next_token: 0,
            report: Report::default(),
        };
        for record in records {
            live.keep(record, scope.now);
        }
        live
    }

    /// Sets until when work may be placed.
    pub(crate) const fn set_may_start(&mut self, until: Option<Timestamp>) {
        self.may_start = until;
    }

    /// Returns whether this node may act as the owner now; slots of targets that it has adopted are
    /// renewed also while others are still to be taken over.
    pub(crate) fn is_owner(&self, now: Timestamp) -> bool {
        self.may_start.is_some_and(|until| now < until)
    }

    /// Sets the shortest span between two appends of the journal.
    pub(crate) const fn set_pace(&mut self, pace: Duration) {
        self.journal.set_pace(pace);
    }

    /// Returns whether work may be placed now.
    pub(super) fn is_active(&self, now: Timestamp) -> bool {
        let ready = self.recovery.as_ref().is_none_or(|r| r.is_ready());
        ready && self.is_owner(now)
    }

    /// Returns whether this shard places work now.
    pub(crate) fn is_placing(&self, now: Timestamp) -> bool {
        self.is_active(now)
    }

    /// Returns whether this shard can tell which jobs it has.
    pub(crate) fn is_settled(&self) -> bool {
        self.recovery.as_ref().is_none_or(|r| r.is_ready())
    }

    /// Returns the scheduling state.
    pub(crate) const fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns the scheduling state, to configure it.
    pub(crate) const fn engine_mut(&mut self) -> &mut Engine {
        &mut self.engine
    }

    /// Returns the targets that run on this shard's workers.
    pub(crate) fn targets(&self) -> Vec<target::Id> {
        let running = self.links.values().flat_map(|link| &link.running);
        running
            .map(|(task, attempt)| target::Id {
                task: *task,
                attempt: *attempt,
            })
            .collect()
    }

    /// Returns the targets of this shard with their workers and services.
    pub(crate) fn services(&self) -> Vec<(WorkerId, target::Id, Service)> {
        let mut found = Vec::new();
        for link in self.links.values() {
            for (task, attempt) in &link.running {
                let kind = self.engine.spec(task.job).map(|spec| &spec.kind);
                if let Some(Kind::Service { service, .. }) = kind {
                    let id = target::Id {
                        task: *task,
                        attempt: *attempt,
                    };
                    found.push((link.worker, id, service.clone()));
                }
            }
        }
        found
    }

    /// Takes the answer to an append.
    pub(crate) fn appended(
        &mut self,
        result: Result<fulmarpier_state::id::Offset, log::Error>,
        scope: &mut Scope<'_>,
    ) {
        match result {
            Ok(offset) => self.journal.appended(offset, scope.now),
            Err(error) => {
                scope.out.retry("log-append");
                self.journal.failed(&error, scope.now);
            }
        }
    }

    /// Takes the answer to a read.
    pub(crate) fn page(&mut self, result: Result<log::Page, log::Error>, scope: &mut Scope<'_>) {
        match result {
            Ok(page) => self.journal.on_page(&page, scope.now),
            Err(error) => {
                scope.out.retry("log-read");
                self.journal.failed(&error, scope.now);
            }
        }
    }

    /// Does what is due, and reports what the node must know.
    pub(crate) fn pump(&mut self, scope: &mut Scope<'_>) -> Report {
        self.pump_journal(scope);
        self.pump_recovery(scope);
        self.expire(scope);
        self.lapse_workers(scope);
        self.review_parts(scope);
        if self.is_active(scope.now) {
            let effects = self.engine.decide(scope.now, DECISIONS);
            self.carry_out(effects, scope);
        }
        self.pump_journal(scope);
        self.send(scope);
        std::mem::take(&mut self.report)
    }

    /// Returns when [`Self::pump`] next has something to do, if nothing happens before.
    pub(crate) fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let links = self.links.values().filter_map(Link::next_wake).min();
        let engine = match self.is_active(now) {
            true => self.engine.next_wake(),
            false => None,
        };
        let recovery = self.recovery.as_ref().and_then(|r| r.next_wake(now));
        let waiters = self.waiters.values().flatten().map(|w| w.until).min();
        [
            links,
            engine,
            recovery,
            waiters,
            self.journal.next_wake(now),
            self.requests.next_wake(),
            self.next_accept(),
            self.is_active(now)
                .then(|| self.parts.next_wake())
                .flatten(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Puts a record into the journal that nothing waits for.
    ///
    /// A journal that is full drops it: what such a record says is also read from the workers, or
    /// can be told again.
    pub(super) fn keep(&mut self, record: Record, now: Timestamp) {
        let _ = self.journal.push(record, None, Urgency::Lazy, now);
    }

    /// Returns a token that was not used before.
    pub(super) const fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    /// Returns how long the log has failed this shard.
    pub(super) fn log_down_for(&self, now: Timestamp) -> Duration {
        self.down_since.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Sends what is due to the workers.
    fn send(&mut self, scope: &mut Scope<'_>) {
        for link in self.links.values_mut() {
            let Some((number, sync)) = link.poll(self.epoch, scope.settings, scope.now) else {
                continue;
            };
            scope.out.counts_mut().syncs += 1;
            let dispatch = Dispatch {
                shard: self.shard,
                epoch: self.epoch,
                worker: link.worker,
                number,
            };
            scope.out.push(Output::Sync {
                dispatch,
                address: link.address,
                sync: Box::new(sync),
            });
        }
    }

    /// Appends and reads for the journal, and follows what was kept.
    pub(super) fn pump_journal(&mut self, scope: &mut Scope<'_>) {
        use fulmarpier_coordination::journal::Effect;
        let purpose = Purpose::Journal {
            shard: self.shard,
            epoch: self.epoch,
        };
        while let Some(effect) = self.journal.poll(scope.now) {
            match effect {
                Effect::Append(append) => scope.out.append(purpose, append),
                Effect::Read(read) => scope.out.read(purpose, read),
                Effect::Commit(tokens) => self.committed(tokens, scope),
                Effect::Rejected(token) => self.rejected(token, scope),
                Effect::Fenced(fence) => self.fenced(fence, scope),
            }
        }
        self.down_since = self.journal.down_since();
    }

    /// Notes a change of phase.
    pub(super) fn note(&self, phase: &'static str, scope: &mut Scope<'_>) {
        scope.out.note(Note::Shard {
            shard: self.shard,
            epoch: self.epoch,
            phase,
            at: scope.now,
        });
    }
}
