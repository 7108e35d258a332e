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
    attempt::{
        Envelope,
        Failure,
        again,
        send, //
    },
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
    slot::{
        Ask,
        Held, //
    },
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
    let mut ask = order.admission.ask.clone();
    loop {
        let began = Instant::now();
        let answer = match ask_owner(app, shard, &call, deadline).await {
            Ok(answer) => answer,
            // Nothing was sent, so this flow may ask again for the grant that it may have missed.
            Err(Miss::Lost { .. }) if ask_again(app, &mut plan).await => continue,
            Err(miss) => return Err(unasked(&miss)),
        };
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
        let failure = match run(app, order, &mut ask, &finisher, began).await? {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        // Nothing was run, so the key may be granted again once the shard knows that.
        report(app, finisher.end(Outcome::NotRun), deadline).await;
        again(app, &mut plan, &failure).await?;
    }
}

/// Uses one grant: waits for a slot of this gate and sends the request in it, once.
///
/// The inner error says that the target certainly took nothing on, so that the key may be granted
/// again; the outer one is final.
async fn run(
    app: &Arc<App>,
    order: &Order,
    ask: &mut Ask,
    finisher: &Report,
    began: Instant,
) -> Result<Result<Response, Failure>, Refusal> {
    let acquired = app.pool.acquire(ask).await;
    let held = acquired.inspect_err(|_| report_later(app, finisher.end(Outcome::NotRun)))?;
    let timing = Timing {
        decision: began.elapsed().saturating_sub(held.waited()),
        waiting: held.waited(),
    };
    let target = held.target();
    let left = app.now().until(ask.deadline);
    let request = order.envelope.fill(order.body.bytes.clone().into(), left);
    match send(app.clone(), held, request).await {
        Ok((delivery, held)) => {
            let mut response = deliver(app, delivery, held, finisher);
            answer::time(&mut response, timing);
            Ok(Ok(response))
        }
        Err(failure) if failure.outcome() == Outcome::NotRun => {
            ask.refused
                .extend(target.filter(|_| failure.is_of_target()));
            Ok(Err(failure))
        }
        Err(failure) => {
            report_later(app, finisher.end(Outcome::Unknown));
            let refusal = Refusal::new(Reason::TargetFailed, failure.to_string());
            Err(refusal.outcome(Outcome::Unknown))
        }
    }
}

/// Waits before the owner is asked again; `false` where that is of no use any more.
async fn ask_again(app: &App, plan: &mut Plan) -> bool {
    let none = Duration::ZERO;
    let decided = plan.again(Outcome::NotRun, &mut app.budget(), app.now(), none, none);
    let Ok(pause) = decided else {
        return false;
    };
    app.metrics.retried(Retry::SchedUnreachable);
    sleep(pause).await;
    true
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
        nonce: random(),
        gate: app.settings.node,
        shard,
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
