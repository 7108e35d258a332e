//! Ordinary requests: placed in memory, sent to a target, tried again where that is safe.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use axum::response::Response;
use fulmarpier_coordination::{
    credit::End,
    platform::target::Error,
    retry::{
        Attempts,
        Backoff,
        Class,
        Plan, //
    },
};
use fulmarpier_state::refusal::{
    Outcome,
    Reason,
    Refusal, //
};
use fulmarpier_transport::platform::target;
use rand::random;
use tokio::time::sleep;
use uuid::Uuid;

use super::{
    admission::Admission,
    deliver::{
        Delivery,
        respond, //
    },
    upload::{
        self,
        Upload, //
    },
};
use crate::{
    app::App,
    http::answer::Timing,
    metrics::Retry,
    slot::Held, //
};

/// How often a request may be sent in all.
const ATTEMPTS: u8 = 3;

/// What is sent to a target, but for its body.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The id of the request.
    pub id: Uuid,
    /// The method.
    pub method: target::Method,
    /// The path and query at the target.
    pub path: String,
    /// The caller's headers.
    pub headers: target::HeaderMap,
}

impl Envelope {
    /// Makes the request to send, with the time that is left.
    pub(super) fn fill(&self, body: target::Body, left: Duration) -> target::Request {
        target::Request {
            id: self.id,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body,
            deadline: left,
        }
    }
}

/// Serves one ordinary request.
///
/// `decided` is the time that its decision took before its body was read.
///
/// # Errors
///
/// The refusal says whether the request may have run.
pub async fn ordinary(
    app: &Arc<App>,
    admission: &Admission,
    envelope: Envelope,
    upload: Upload,
    decided: Duration,
) -> Result<Response, Refusal> {
    let ask = &admission.ask;
    let attempts = Attempts::new(ATTEMPTS, ask.deadline);
    let backoff = Backoff::new(random()).base(app.settings.retry.backoff.get());
    let mut plan = Plan::new(Class::Idempotent, attempts, backoff);
    app.budget().request(app.now());
    let mut next = Some(upload);
    let mut timing = Timing {
        decision: decided,
        waiting: Duration::ZERO,
    };
    while let Some(upload) = next.take() {
        let started = Instant::now();
        let held = app.pool.acquire(ask).await;
        let held = held.map_err(|refusal| refusal.outcome(plan.outcome()))?;
        timing.waiting += held.waited();
        timing.decision += started.elapsed().saturating_sub(held.waited());
        app.metrics.placed(timing.decision, held.waited());
        let (body, rest, cut) = upload.take();
        let left = app.now().until(ask.deadline);
        let request = envelope.fill(body, left);
        let sent = app.tasks.spawn(send(app.clone(), held, request));
        let failure = match sent.await {
            Ok(Ok((delivery, held))) => {
                return Ok(respond(app, delivery, held, timing));
            }
            Ok(Err(failure)) => failure,
            Err(_) => Failure::Target(Error::Unknown),
        };
        if cut.is_too_large() {
            let refusal = upload::too_large(admission.limits.most);
            return Err(refusal.outcome(Outcome::Unknown));
        }
        next = rest;
        again(app, &mut plan, &failure, next.is_some()).await?;
    }
    Err(Refusal::new(
        Reason::Internal,
        "the request has no body left to send",
    ))
}

/// Why one attempt gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Failure {
    /// The lease of the slot ended before the request was sent.
    Lapsed,
    /// The target gave no whole answer.
    Target(Error),
}

impl Failure {
    const fn outcome(&self) -> Outcome {
        match self {
            Self::Lapsed | Self::Target(Error::Refused | Error::Busy) => Outcome::NotRun,
            Self::Target(Error::Unknown) => Outcome::Unknown,
        }
    }

    const fn retry(&self) -> Retry {
        match self {
            Self::Lapsed => Retry::SlotLapsed,
            Self::Target(Error::Refused) => Retry::TargetRefused,
            Self::Target(Error::Busy) => Retry::TargetBusy,
            Self::Target(Error::Unknown) => Retry::TargetUnknown,
        }
    }

    fn detail(&self) -> String {
        match self {
            Self::Lapsed => "the lease of the slot ended".to_owned(),
            Self::Target(error) => error.to_string(),
        }
    }
}

/// Sends a request in its slot; runs to its end also where the caller leaves.
async fn send(
    app: Arc<App>,
    mut held: Held,
    request: target::Request,
) -> Result<(Delivery, Held), Failure> {
    let Some(address) = held.send() else {
        return Err(Failure::Lapsed);
    };
    let received = match app.targets.send(address, request).await {
        Ok(answer) => Delivery::receive(answer).await,
        Err(error) => Err(error),
    };
    match received {
        Ok(delivery) => Ok((delivery, held)),
        Err(error) => {
            held.ended(end(&error));
            Err(Failure::Target(error))
        }
    }
}

/// Returns what a failure says of the slot.
pub(super) const fn end(error: &Error) -> End {
    match error {
        Error::Refused | Error::Busy => End::Refused,
        Error::Unknown => End::Unknown,
    }
}

/// Waits for the next attempt, or refuses where there is none.
async fn again(
    app: &App,
    plan: &mut Plan,
    failure: &Failure,
    is_repeatable: bool,
) -> Result<(), Refusal> {
    let outcome = failure.outcome();
    let now = app.now();
    let decided = plan.again(
        outcome,
        &mut app.budget(),
        now,
        Duration::ZERO,
        Duration::ZERO,
    );
    let detail = failure.detail();
    let pause = decided.map_err(|denied| {
        Refusal::new(denied.reason(), format!("{detail}; {denied}"))
            .outcome(plan.outcome())
            .retry_after(app.settings.sync_interval.get())
    })?;
    if !is_repeatable {
        let detail = format!("{detail}; the body was too large to be kept");
        return Err(Refusal::new(Reason::TargetFailed, detail)
            .outcome(plan.outcome())
            .retry_after(app.settings.sync_interval.get()));
    }
    app.metrics.retried(failure.retry());
    sleep(pause).await;
    Ok(())
}
