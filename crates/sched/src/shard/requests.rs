//! Non-idempotent requests: leave to send once, and what became of it.

use fulmarpier_coordination::request::{
    Answer,
    Ask,
    Key,
    Ticket,
    Verdict, //
};
use fulmarpier_protocol::wire;
use fulmarpier_state::refusal::{
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
        let ask = Ask {
            key: key.clone(),
            digest: request.digest,
            nonce: request.nonce,
            target: None,
            service: request.service.clone(),
            deadline: request.deadline,
        };
        if let Some(record) = self.requests.retake(&ask, scope.now) {
            scope.out.retry("request-again");
            self.keep(record, scope.now);
        }
        match self.requests.begin(&ask, self.down_since, scope.now) {
            Verdict::Journal(ticket) => self.intend(call, key, ticket, scope),
            Verdict::Send(ticket) => {
                if let Some(record) = self.requests.intent(&key) {
                    self.keep(record, scope.now);
                }
                grant(call, ticket, scope);
            }
            Verdict::Replay(answer) => replay(call, answer, scope),
            Verdict::Refuse(refusal) => self.refuse_begin(call, refusal, scope),
        }
    }

    fn intend(&mut self, call: CallId, key: Key, ticket: Ticket, scope: &mut Scope<'_>) {
        let record = self.requests.intent(&key);
        let pending = Pending::Intent {
            key: key.clone(),
            ticket,
            call,
        };
        let pushed = match record {
            Some(record) => self.push(record, pending, scope.now).is_ok(),
            None => false,
        };
        if !pushed {
            self.requests.cancel(&key, ticket, scope.now);
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

    pub(super) fn refuse_begin(&self, call: CallId, refusal: Refusal, scope: &mut Scope<'_>) {
        let reply = wire::begin::Reply::Refused(scope.out.refuse(refusal));
        scope.out.answer(call, wire::Answer::Begin(reply));
    }
}

/// Answers that the request may be sent, once.
pub(super) fn grant(call: CallId, ticket: Ticket, scope: &mut Scope<'_>) {
    scope.out.counts_mut().grants += 1;
    let reply = wire::begin::Reply::Grant { ticket };
    scope.out.answer(call, wire::Answer::Begin(reply));
}

fn replay(call: CallId, answer: Answer, scope: &mut Scope<'_>) {
    let reply = wire::begin::Reply::Replay(answer);
    scope.out.answer(call, wire::Answer::Begin(reply));
}
