//! Non-idempotent requests: sent at most once, by leave of the key's home shard.
//!
//! The gate answers the caller as soon as the target has answered, and reports the end to the home
//! shard behind the answer. See `docs/design/13-gate.md` for what a caller sees when the gate dies.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use axum::{
    http::{
        HeaderValue,
        header::CONTENT_TYPE, //
    },
    response::Response,
};
use fulmarpier_coordination::{
    credit::End,
    platform::target::Error,
    request::{
        Answer as Replay,
        Key,
        shard_of, //
    },
    retry::{
        Attempts,
        Backoff,
        Class,
        Plan, //
    },
};
use fulmarpier_protocol::{
    http::header,
    wire::{
        Answer,
        Call,
        begin, //
    },
};
use fulmarpier_state::{
    id::ShardId,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use fulmarpier_transport::platform::target::{
    HeaderMap,
    StatusCode, //
};
use rand::random;
use tokio::time::sleep;

use super::{
    admission::Admission,
    deliver::{
        Content,
        Delivery,
        assemble,
        stream, //
    },
    finish::{
        Report,
        report,
        report_later, //
    },
    ordinary::{
        Envelope,
        end, //
    },
    owner::{
        Miss,
        ask_owner, //
    },
    upload::Kept,
};
use crate::{
    app::App,
    digest,
    http::answer::{
        self,
        Timing, //
    },
    metrics::Retry,
    slot::Held, //
};

/// How often a request may be granted in all; it is sent again only where it certainly wasn't run.
const ATTEMPTS: u8 = 3;

/// A non-idempotent request.
#[derive(Debug)]
pub struct Order {
    /// The key.
    pub key: Key,
    /// What was decided on it.
    pub admission: Admission,
    /// What is sent.
    pub envelope: Envelope,
    /// The whole body.
    pub body: Kept,
}

/// What came of one grant.
enum Sent {
    /// The target answered.
    Answered(Response),
    /// No target took anything on.
    NotRun(NotRun),
}

/// Why one grant led to no run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum NotRun {
    /// The lease of the slot, or the time for the request, ended before it was sent.
    #[error("the lease of the slot ended")]
    Lapsed,
    /// The target took nothing on.
    #[error(transparent)]
    Target(Error),
}

/// Serves one non-idempotent request.
///
/// # Errors
///
/// The outcome of the refusal is about the key and not only about this call: where the home shard
/// was not asked, an earlier call with the key may have run, and the outcome is `unknown`.
pub async fn keyed(app: &Arc<App>, order: &Order) -> Result<Response, Refusal> {
    let shard = home(app, &order.key)?;
    let call = Call::Begin(begin_request(app, order, shard));
    let deadline = order.admission.ask.deadline;
    let backoff = Backoff::new(random()).base(app.settings.retry.backoff.get());
    let attempts = Attempts::new(ATTEMPTS, deadline);
    let mut plan = Plan::new(Class::NonIdempotent, attempts, backoff);
    app.budget().request(app.now());
    loop {
        let began = Instant::now();
        let answer = ask_owner(app, shard, &call, deadline).await;
        let answer = answer.map_err(|miss| unasked(&miss))?;
        let Answer::Begin(reply) = answer else {
            return Err(unexpected());
        };
        let ticket = match reply {
            begin::Reply::Grant { ticket } => ticket,
            begin::Reply::Replay(kept) => return Ok(replay(kept)),
            begin::Reply::Refused(refusal) => return Err(refusal),
            begin::Reply::Elsewhere(_) => return Err(unexpected()),
        };
        let finisher = Report {
            key: order.key.clone(),
            shard,
            ticket,
        };
        let acquired = app.pool.acquire(&order.admission.ask).await;
        let held = acquired.inspect_err(|_| {
            report_later(app, finisher.end(Outcome::NotRun));
        })?;
        let timing = Timing {
            decision: began.elapsed().saturating_sub(held.waited()),
            waiting: held.waited(),
        };
        match send(app, order, held, &finisher).await? {
            Sent::Answered(mut response) => {
                answer::time(&mut response, timing);
                return Ok(response);
            }
            Sent::NotRun(why) => again(app, &mut plan, why).await?,
        }
    }
}

/// Returns the home shard of a key.
fn home(app: &App, key: &Key) -> Result<ShardId, Refusal> {
    let shards = app.view.borrow().shards.clone();
    shard_of(key, &shards).ok_or_else(|| Refusal::new(Reason::Internal, "the region has no shards"))
}

fn begin_request(app: &App, order: &Order, shard: ShardId) -> begin::Request {
    let ask = &order.admission.ask;
    let method = order.envelope.method.as_str();
    let path = format!("/{}{}", ask.service, order.envelope.path);
    begin::Request {
        key: order.key.clone(),
        service: ask.service.clone(),
        team: ask.team.clone(),
        digest: digest::of(method, &path, &order.body.bytes),
        deadline: ask.deadline,
        gate: app.settings.node,
        shard,
    }
}

/// Sends the request once, in a slot of this gate.
async fn send(
    app: &Arc<App>,
    order: &Order,
    mut held: Held,
    finisher: &Report,
) -> Result<Sent, Refusal> {
    let ask = &order.admission.ask;
    let left = app.now().until(ask.deadline);
    let address = match left.is_zero() {
        true => None,
        false => held.send(),
    };
    let Some(address) = address else {
        drop(held);
        report(app, finisher.end(Outcome::NotRun), ask.deadline).await;
        return Ok(Sent::NotRun(NotRun::Lapsed));
    };
    let request = order.envelope.fill(order.body.bytes.clone().into(), left);
    let received = match app.targets.send(address, request).await {
        Ok(answer) => Delivery::receive(answer).await,
        Err(error) => Err(error),
    };
    let error = match received {
        Ok(delivery) => return Ok(Sent::Answered(deliver(app, delivery, held, finisher))),
        Err(error) => error,
    };
    held.ended(end(&error));
    drop(held);
    match error {
        error @ (Error::Refused | Error::Busy) => {
            // Nothing was run, so the key may be granted again once the shard knows that.
            report(app, finisher.end(Outcome::NotRun), ask.deadline).await;
            Ok(Sent::NotRun(NotRun::Target(error)))
        }
        error @ Error::Unknown => {
            report_later(app, finisher.end(Outcome::Unknown));
            let refusal = Refusal::new(Reason::TargetFailed, error.to_string());
            Err(refusal.outcome(Outcome::Unknown))
        }
    }
}

/// Passes the answer on and reports the end behind it.
fn deliver(app: &Arc<App>, delivery: Delivery, mut held: Held, finisher: &Report) -> Response {
    let target = held.target();
    let Delivery {
        status,
        headers,
        content,
    } = delivery;
    let body = match content {
        Content::Whole(bytes) => {
            held.ended(End::Answered);
            report_later(app, finisher.kept(status, &headers, &bytes));
            bytes.into()
        }
        Content::Streamed(body) => {
            let app = app.clone();
            let finisher = finisher.clone();
            stream(&app.clone(), body, move |whole| {
                let outcome = match whole {
                    true => Outcome::Ran,
                    false => Outcome::Unknown,
                };
                if whole {
                    held.ended(End::Answered);
                }
                drop(held);
                report_later(&app, finisher.end(outcome));
            })
        }
    };
    assemble(status, headers, body, target)
}

/// Makes the response that gives a kept answer again.
fn replay(kept: Replay) -> Response {
    let Replay {
        status,
        content_type,
        body,
    } = kept;
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = assemble(status, HeaderMap::new(), body.into(), None);
    let headers = response.headers_mut();
    headers.insert(header::REPLAYED, HeaderValue::from_static("true"));
    if !content_type.is_empty() {
        headers.insert(CONTENT_TYPE, answer::visible(&content_type));
    }
    response
}

/// Makes the refusal of a request whose key was not looked up.
///
/// This call sent nothing, but an earlier one with the key may have, so "not run" might be untrue.
fn unasked(miss: &Miss) -> Refusal {
    let refusal = miss.refusal().outcome(Outcome::Unknown);
    Refusal {
        detail: format!(
            "{}; this call sent nothing, an earlier one with the key may have",
            refusal.detail
        ),
        ..refusal
    }
}

fn unexpected() -> Refusal {
    let refusal = Refusal::new(Reason::Internal, "the sched answered another call");
    refusal.outcome(Outcome::Unknown)
}

/// Waits for the next grant, or refuses where there is none.
async fn again(app: &App, plan: &mut Plan, why: NotRun) -> Result<(), Refusal> {
    let now = app.now();
    let none = Duration::ZERO;
    let decided = plan.again(Outcome::NotRun, &mut app.budget(), now, none, none);
    let pause = decided.map_err(|denied| {
        let refusal = Refusal::new(denied.reason(), format!("{why}; {denied}"));
        refusal.retry_after(app.settings.sync_interval.get())
    })?;
    app.metrics.retried(match why {
        NotRun::Lapsed => Retry::SlotLapsed,
        NotRun::Target(Error::Busy) => Retry::TargetBusy,
        NotRun::Target(_) => Retry::TargetRefused,
    });
    sleep(pause).await;
    Ok(())
}
