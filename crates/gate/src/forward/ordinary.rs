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
use rand::random;

use super::{
    admission::Admission,
    attempt::{
        Envelope,
        Failure,
        again,
        send, //
    },
    deliver::respond,
    upload::{
        self,
        Upload, //
    },
};
use crate::{
    app::App,
    http::answer::Timing, //
};

/// How often a request may be sent in all.
const ATTEMPTS: u8 = 3;

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
    mut upload: Upload,
    decided: Duration,
) -> Result<Response, Refusal> {
    let mut ask = admission.ask.clone();
    let attempts = Attempts::new(ATTEMPTS, ask.deadline);
    let backoff = Backoff::new(random()).base(app.settings.retry.backoff.get());
    let mut plan = Plan::new(Class::Idempotent, attempts, backoff);
    app.budget().request(app.now());
    let mut timing = Timing {
        decision: decided,
        waiting: Duration::ZERO,
    };
    loop {
        let began = Instant::now();
        let acquired = app.pool.acquire(&ask).await;
        let held = acquired.map_err(|refusal| refusal.outcome(plan.outcome()))?;
        timing.waiting += held.waited();
        timing.decision += began.elapsed().saturating_sub(held.waited());
        app.metrics.placed(timing.decision, held.waited());
        let target = held.target();
        let (body, rest, cut) = upload.take();
        let request = envelope.fill(body, app.now().until(ask.deadline));
        // It runs to its end also where the caller leaves, so that the slot is free when it says so.
        let sent = app.tasks.spawn(send(app.clone(), held, request));
        let sent = sent.await.unwrap_or(Err(Failure::Target(Error::Unknown)));
        let failure = match sent {
            Ok((delivery, held)) => return Ok(respond(app, delivery, held, timing)),
            Err(failure) => failure,
        };
        ask.refused
            .extend(target.filter(|_| failure.is_of_target()));
        if cut.is_too_large() {
            let refusal = upload::too_large(admission.limits.most);
            return Err(refusal.outcome(Outcome::Unknown));
        }
        upload = rest.ok_or_else(|| single(app, &failure))?;
        again(app, &mut plan, &failure).await?;
    }
}

/// Makes the refusal of a request whose body was too large to be kept for another attempt.
fn single(app: &App, failure: &Failure) -> Refusal {
    let detail = format!("{failure}; the body was too large to be kept");
    Refusal::new(Reason::TargetFailed, detail)
        .outcome(failure.outcome())
        .retry_after(app.settings.sync_interval.get())
}
