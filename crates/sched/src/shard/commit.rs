//! What waits for a record to be kept, and what follows once it is.

use fulmarpier_coordination::{
    journal::{
        Fence,
        Record,
        Token,
        Urgency,
        Withdrawn, //
    },
    platform::worker,
    request::{
        Granted,
        Key,
        Ticket, //
    },
};
use fulmarpier_protocol::wire;
use fulmarpier_state::{
    clock::Timestamp,
    engine::Cause,
    id::{
        JobId,
        WorkerId, //
    },
    job::Spec,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};

use super::{
    Live,
    Scope,
    link,
    requests, //
};
use crate::node::CallId;

/// What waits for a record to be kept.
#[derive(Debug)]
pub(crate) enum Pending {
    /// Callers, for a job to be accepted; nobody where all were told that it is not known.
    Accept {
        job: JobId,
        spec: Box<Spec>,
        calls: Vec<CallId>,
        since: Timestamp,
    },
    /// A caller, for its job to be cancelled.
    Cancel { job: JobId, call: CallId },
    /// A job of this shard, for tasks of it to be other shards'.
    Delegate { job: JobId },
    /// A job of this shard, for the end of a part of it to be known.
    PartEnded { job: JobId, part: JobId },
    /// A part of another shard's job, to be run.
    Host { part: JobId },
    /// A part of another shard's job, for its end to be known.
    Closed { part: JobId },
    /// The order to start a non-idempotent task.
    Start {
        worker: WorkerId,
        start: Box<worker::Start>,
    },
    /// A worker, to be allowed to forget an end.
    Ended { worker: WorkerId, key: link::Key },
    /// A gate, for leave to send a request.
    Intent {
        key: Key,
        ticket: Ticket,
        call: CallId,
    },
}

impl Live {
    /// Puts a record into the journal and remembers what waits for it.
    ///
    /// # Errors
    ///
    /// Gives back what was to wait if the journal does not take the record; it will not be kept.
    pub(super) fn push(
        &mut self,
        record: Record,
        pending: Pending,
        now: Timestamp,
    ) -> Result<(), Pending> {
        let token = self.token();
        match self.journal.push(record, Some(token), Urgency::Urgent, now) {
            Ok(()) => {
                self.pending.insert(token, pending);
                Ok(())
            }
            Err(_) => Err(pending),
        }
    }

    /// Follows records that are kept for good.
    pub(super) fn committed(&mut self, tokens: Vec<Token>, scope: &mut Scope<'_>) {
        for token in tokens {
            match self.pending.remove(&token) {
                Some(pending) => self.follow(pending, scope),
                // A caller that was told its outcome before leaves nothing to do.
                None => continue,
            }
        }
    }

    fn follow(&mut self, pending: Pending, scope: &mut Scope<'_>) {
        match pending {
            Pending::Accept {
                job, spec, calls, ..
            } => {
                self.begin_job(job, *spec, scope);
                answer_all(calls, &wire::submit::Reply::Accepted, scope);
            }
            Pending::Cancel { job, call } => self.cancel_now(job, call, scope),
            Pending::Delegate { job } => self.delegated(job, scope),
            Pending::PartEnded { job, .. } => self.follow_parts(job, scope),
            Pending::Host { part } => self.run_part(part, scope),
            Pending::Closed { .. } => {}
            Pending::Start { worker, start } => self.order(worker, *start, scope),
            Pending::Ended { worker, key } => {
                if let Some(link) = self.links.get_mut(&worker) {
                    link.acknowledge(key);
                }
            }
            Pending::Intent { key, ticket, call } => {
                match self.requests.committed(&key, ticket, scope.now) {
                    Granted::Send => requests::grant(call, ticket, scope),
                    Granted::Late(record) => {
                        self.keep(record, scope.now);
                        let refusal = Refusal::new(
                            Reason::Deadline,
                            "the log took the record only after the deadline",
                        );
                        self.refuse_begin(call, refusal, scope);
                    }
                    Granted::Absent => {
                        let refusal = Refusal::new(
                            Reason::Deadline,
                            "the request was given up before the log took its record",
                        );
                        self.refuse_begin(call, refusal, scope);
                    }
                }
            }
        }
    }

    /// Follows a record that the log refused.
    pub(super) fn rejected(&mut self, token: Token, scope: &mut Scope<'_>) {
        if let Some(pending) = self.pending.remove(&token) {
            let refusal = Refusal::new(
                Reason::BodyTooLarge,
                "the log refused the record as too large",
            );
            self.give_up(pending, refusal, scope);
        }
    }

    /// Follows the end of the journal.
    pub(super) fn fenced(&mut self, fence: Fence, scope: &mut Scope<'_>) {
        self.report.fenced = Some(fence.epoch.unwrap_or(self.epoch));
        for token in fence.kept {
            match self.pending.remove(&token) {
                // The record counts, so the successor has the job.
                Some(Pending::Accept { calls, .. }) => {
                    answer_all(calls, &wire::submit::Reply::Accepted, scope);
                }
                Some(pending) => self.give_up(pending, lost_shard(), scope),
                None => {}
            }
        }
        for token in fence.dropped {
            if let Some(pending) = self.pending.remove(&token) {
                self.give_up(pending, lost_shard(), scope);
            }
        }
        for token in fence.unsettled {
            if let Some(pending) = self.pending.remove(&token) {
                self.give_up(pending, lost_shard().outcome(Outcome::Unknown), scope);
            }
        }
    }

    /// Ends what waited for a record that is not kept, or whose shard is lost.
    fn give_up(&mut self, pending: Pending, refusal: Refusal, scope: &mut Scope<'_>) {
        match pending {
            Pending::Accept { calls, .. } => {
                let reply = wire::submit::Reply::Refused(scope.out.refuse(refusal));
                answer_all(calls, &reply, scope);
            }
            Pending::Cancel { call, .. } => {
                let refusal = refusal.outcome(Outcome::Unknown);
                let reply = wire::submit::Reply::Refused(scope.out.refuse(refusal));
                scope.out.answer(
                    call,
                    wire::Answer::Cancel(wire::cancel::Reply::Found(reply)),
                );
            }
            Pending::Delegate { job } => self.undelegated(job, scope),
            // The next order or report tries again.
            Pending::PartEnded { .. } | Pending::Host { .. } | Pending::Closed { .. } => {}
            Pending::Start { worker, start } => {
                let key = (start.task, start.attempt);
                self.not_run(key, worker, Cause::Late, scope);
            }
            Pending::Ended { worker, key } => {
                // The worker goes on telling of the end until a record of it is kept.
                if let Some(link) = self.links.get_mut(&worker) {
                    link.reported.remove(&key);
                }
            }
            Pending::Intent { key, ticket, call } => {
                // No leave to send was given, so the request was not run.
                let refusal = refusal.outcome(Outcome::NotRun);
                let record = self.requests.cancel(&key, ticket, scope.now);
                if let Some(record) = record {
                    self.keep(record, scope.now);
                }
                self.refuse_begin(call, refusal, scope);
            }
        }
    }

    /// Gives up what has waited too long for the log.
    pub(super) fn expire(&mut self, scope: &mut Scope<'_>) {
        self.expire_accepts(scope);
        let due = self.requests.expire(scope.now);
        for record in due.records {
            self.keep(record, scope.now);
        }
        for (key, ticket) in due.late {
            self.expire_intent(&key, ticket, scope);
        }
        self.expire_waiters(scope);
    }

    /// Returns when the next caller has waited long enough for its job to be accepted.
    pub(super) fn next_accept(&self) -> Option<Timestamp> {
        let since = |pending: &Pending| match pending {
            Pending::Accept { since, .. } => Some(*since),
            _ => None,
        };
        let first = self.pending.values().filter_map(since).min()?;
        Some(first + super::jobs::ACCEPT)
    }

    fn expire_accepts(&mut self, scope: &mut Scope<'_>) {
        let now = scope.now;
        let late = |pending: &Pending| matches!(pending, Pending::Accept { since, .. } if now.since(*since) >= super::jobs::ACCEPT);
        let mut tokens: Vec<Token> = self
            .pending
            .iter()
            .filter(|(_, pending)| late(pending))
            .map(|(token, _)| *token)
            .collect();
        tokens.sort_unstable();
        for token in tokens {
            let withdrawn = self.journal.withdraw(token);
            let Some(pending) = self.pending.remove(&token) else {
                continue;
            };
            let refusal = log_down();
            let refusal = match withdrawn {
                Withdrawn::Removed => refusal,
                Withdrawn::Sent | Withdrawn::Absent => {
                    self.adopt_later(token, &pending);
                    refusal.outcome(Outcome::Unknown)
                }
            };
            self.give_up(pending, refusal, scope);
        }
    }

    /// Keeps a job whose caller was told `unknown`, in case its record is kept after all.
    fn adopt_later(&mut self, token: Token, pending: &Pending) {
        if let Pending::Accept { job, spec, .. } = pending {
            let orphan = Pending::Accept {
                job: *job,
                spec: spec.clone(),
                calls: Vec::new(),
                since: Timestamp::MAX,
            };
            self.pending.insert(token, orphan);
        }
    }

    fn expire_intent(&mut self, key: &Key, ticket: Ticket, scope: &mut Scope<'_>) {
        let same = |pending: &Pending| matches!(pending, Pending::Intent { key: k, ticket: t, .. } if k == key && *t == ticket);
        let found = self.pending.iter().find(|(_, pending)| same(pending));
        let Some(token) = found.map(|(token, _)| *token) else {
            return;
        };
        // Once the ledger has dropped the ticket it never gives leave to send.
        self.journal.withdraw(token);
        if let Some(pending) = self.pending.remove(&token) {
            self.give_up(pending, log_down(), scope);
        }
    }
}

/// Gives all who wait for a job the same answer.
fn answer_all(calls: Vec<CallId>, reply: &wire::submit::Reply, scope: &mut Scope<'_>) {
    for call in calls {
        scope.out.answer(call, wire::Answer::Submit(reply.clone()));
    }
}

/// The refusal of work because the log does not answer.
pub(super) fn log_down() -> Refusal {
    Refusal::new(
        Reason::LogUnavailable,
        "the platform's log did not take the record in time",
    )
    .retry_after(super::jobs::RETRY)
}

fn lost_shard() -> Refusal {
    Refusal::new(Reason::NoOwner, "this node has lost the shard").retry_after(super::jobs::RETRY)
}
