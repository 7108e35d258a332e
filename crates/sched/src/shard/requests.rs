//! Non-idempotent requests: leave to send once, and what became of it.

use fulmarpier_coordination::{
    credit::{
        Release,
        Reservation, //
    },
    journal::Record,
    request::{
        Answer,
        Ask,
        Key,
        Ticket,
        Verdict, //
    },
};
use fulmarpier_protocol::wire;
use fulmarpier_state::refusal::{
    Outcome,
    Reason,
    Refusal, //
};

use super::{
    Live, Scope,
    commit::{
        Pending,
        log_down, //
    },
    jobs::RETRY,
};
use crate::node::CallId;

impl Live {
    /// Gives leave to send a request, once its intent is kept.
    pub(crate) fn begin(
        &mut self,
        call: CallId,
        request: &wire::begin::Request,
        scope: &mut Scope<'_>,
    ) {
        let key = request.key.clone();
        if !self.is_active(scope.now) {
            let refusal = Refusal::new(Reason::NoOwner, "the shard is not active yet");
            return self.refuse_begin(call, refusal.retry_after(RETRY), scope);
        }
        let Some(reservation) = scope.credits.reserve(&request.service, request.deadline) else {
            return self.begin_without_slot(call, request, key, scope);
        };
        let ask = Ask {
            key: key.clone(),
            digest: request.digest,
            target: Some(reservation.target.id),
            service: request.service.clone(),
            deadline: request.deadline,
        };
        match self.requests.begin(&ask, self.down_since, scope.now) {
            Verdict::Journal(ticket) => self.intend(call, key, ticket, reservation, scope),
            Verdict::Send(ticket) => {
                if let Some(record) = self.requests.intent(&key) {
                    self.keep(record, scope.now);
                }
                self.grant(call, ticket, reservation, scope);
            }
            Verdict::Replay(answer) => {
                self.free(reservation.ticket, scope);
                replay(call, answer, scope);
            }
            Verdict::Refuse(refusal) => {
                self.free(reservation.ticket, scope);
                self.refuse_begin(call, refusal, scope);
            }
        }
    }

    /// Answers a request for which no target has room; a key that is known still gets its answer.
    fn begin_without_slot(
        &mut self,
        call: CallId,
        request: &wire::begin::Request,
        key: Key,
        scope: &mut Scope<'_>,
    ) {
        let ask = Ask {
            key: key.clone(),
            digest: request.digest,
            target: None,
            service: request.service.clone(),
            deadline: request.deadline,
        };
        match self.requests.begin(&ask, self.down_since, scope.now) {
            Verdict::Journal(ticket) | Verdict::Send(ticket) => {
                self.requests.cancel(&key, ticket, scope.now);
                let refusal =
                    Refusal::new(Reason::NoTarget, "no target of this node has a free slot");
                self.refuse_begin(call, refusal.retry_after(RETRY), scope);
            }
            Verdict::Replay(answer) => replay(call, answer, scope),
            Verdict::Refuse(refusal) => self.refuse_begin(call, refusal, scope),
        }
    }

    fn intend(
        &mut self,
        call: CallId,
        key: Key,
        ticket: Ticket,
        reservation: Reservation,
        scope: &mut Scope<'_>,
    ) {
        let record = self.requests.intent(&key);
        let pending = Pending::Intent {
            key: key.clone(),
            ticket,
            reservation,
            call,
        };
        let pushed = match record {
            Some(record) => self.push(record, pending, scope.now).is_ok(),
            None => false,
        };
        if !pushed {
            self.requests.cancel(&key, ticket, scope.now);
            self.free(reservation.ticket, scope);
            self.refuse_begin(call, log_down(), scope);
        }
    }

    /// Takes what became of a request.
    pub(crate) fn finish(
        &mut self,
        call: CallId,
        request: &wire::finish::Request,
        scope: &mut Scope<'_>,
    ) {
        let known = self.settle(request, scope);
        let reply = wire::finish::Reply { known };
        scope.out.answer(call, wire::Answer::Finish(reply));
    }

    fn settle(&mut self, request: &wire::finish::Request, scope: &mut Scope<'_>) -> bool {
        let ticket = request.ticket;
        let release = match request.outcome {
            Outcome::Unknown => Release::Unknown,
            Outcome::Ran | Outcome::NotRun => Release::Free,
        };
        self.release(ticket, release, scope);
        let record = self.requests.finish(
            &request.key,
            ticket,
            request.outcome,
            request.answer.clone(),
            scope.now,
        );
        match record {
            Some(record) => {
                self.keep(record, scope.now);
                true
            }
            None => false,
        }
    }

    /// Answers that the request may be sent, once, to the reserved target.
    pub(super) fn grant(
        &mut self,
        call: CallId,
        ticket: Ticket,
        reservation: Reservation,
        scope: &mut Scope<'_>,
    ) {
        scope.out.counts_mut().grants += 1;
        self.granted.insert(ticket, reservation.ticket);
        let reply = wire::begin::Reply::Grant {
            target: reservation.target,
            ticket,
        };
        scope.out.answer(call, wire::Answer::Begin(reply));
    }

    /// Gives back the slot of a request that is over.
    fn release(&mut self, ticket: Ticket, release: Release, scope: &mut Scope<'_>) {
        if let Some(reserved) = self.granted.remove(&ticket) {
            scope.credits.release(reserved, release, scope.now);
        }
    }

    /// Gives back a slot in which nothing was sent.
    pub(super) fn free(&self, reserved: u64, scope: &mut Scope<'_>) {
        scope.credits.release(reserved, Release::Free, scope.now);
    }

    pub(super) fn refuse_begin(&self, call: CallId, refusal: Refusal, scope: &mut Scope<'_>) {
        let reply = wire::begin::Reply::Refused(scope.out.refuse(refusal));
        scope.out.answer(call, wire::Answer::Begin(reply));
    }

    /// Takes note of requests that became `unknown` because nobody reported on them.
    pub(super) fn forget_granted(&mut self, record: &Record, scope: &mut Scope<'_>) {
        if let Record::Outcome { ticket, .. } = record {
            self.release(*ticket, Release::Unknown, scope);
        }
    }
}

fn replay(call: CallId, answer: Answer, scope: &mut Scope<'_>) {
    let reply = wire::begin::Reply::Replay(answer);
    scope.out.answer(call, wire::Answer::Begin(reply));
}
