//! Jobs: submission, view and cancellation.

use std::{
    sync::Arc,
    time::Duration, //
};

use axum::{
    body::Body,
    extract::{
        Path, Query, Request, State,
        rejection::{
            PathRejection,
            QueryRejection, //
        },
    },
    http::{
        HeaderMap,
        StatusCode, //
    },
    response::Response,
};
use fulmarpier_protocol::http::{
    header,
    job::{
        Accepted,
        Raw,
        Received,
        State as Stage,
        Submission, //
    },
};
use fulmarpier_state::{
    id::JobId,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    unit::{
        Bytes,
        Span, //
    },
};
use serde::Deserialize;

use super::{
    answer,
    head, //
};
use crate::{
    app::App,
    forward::{
        Kept,
        Limits,
        Upload, //
    },
    job::{
        self,
        Submitted, //
    },
    phase::Phase,
};

/// The largest declaration of a job.
const DECLARATION: Bytes = Bytes(256 * 1024);
/// The longest time that a caller may wait for a job with one call.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// The query of a question for a job.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Wait {
    wait: Option<String>,
}

/// Submits a job.
pub(super) async fn submit(State(app): State<Arc<App>>, request: Request) -> Response {
    let _in_flight = app.metrics.enter();
    match accept(&app, request).await {
        Ok(Submitted::Accepted(id)) => accepted(StatusCode::ACCEPTED, id),
        Ok(Submitted::Known(id)) => accepted(StatusCode::OK, id),
        Err(refusal) => refuse(&app, &refusal),
    }
}

/// Shows a job, and waits for its end where the caller asks for that.
pub(super) async fn show(
    State(app): State<Arc<App>>,
    id: Result<Path<String>, PathRejection>,
    query: Result<Query<Wait>, QueryRejection>,
) -> Response {
    let viewed = async {
        let _share = app.load.enter()?;
        let Query(query) = query.map_err(|error| answer::unreadable(&error))?;
        view(&app, parse(id)?, &query).await
    };
    match viewed.await {
        Ok(json) => answer::json(StatusCode::OK, json),
        Err(refusal) => refuse(&app, &refusal),
    }
}

/// Cancels a job.
pub(super) async fn cancel(
    State(app): State<Arc<App>>,
    id: Result<Path<String>, PathRejection>,
) -> Response {
    let _in_flight = app.metrics.enter();
    let cancelled = async {
        let id = parse(id)?;
        job::cancel(&app, id).await?;
        Ok(id)
    };
    match cancelled.await {
        Ok(id) => {
            let body = serde_json::json!({ "job": id });
            answer::json(StatusCode::ACCEPTED, body.to_string())
        }
        Err(refusal) => refuse(&app, &refusal),
    }
}

async fn accept(app: &Arc<App>, request: Request) -> Result<Submitted, Refusal> {
    let came = app.now();
    if app.phase.get() == Phase::Closed {
        return Err(untold(app.leaving()));
    }
    let (parts, body) = request.into_parts();
    let span = deadline(app, &parts.headers).map_err(untold)?;
    let _share = app.load.enter().map_err(untold)?;
    let body = declaration(app, &parts.headers, body).await?;
    let raw = Raw::parse(&body.bytes)?;
    let submission = Submission::try_from(Received { raw, at: came })?;
    check(app, &submission)?;
    let shared = app.clone();
    // The submission goes on where the caller leaves, so that a lost answer is settled.
    let submitted = app
        .tasks
        .spawn(async move { job::submit(&shared, submission, came + span).await });
    submitted.await.unwrap_or_else(|_| {
        let refusal = Refusal::new(Reason::Internal, "the submission was dropped");
        Err(refusal.outcome(Outcome::Unknown))
    })
}

/// Refuses what no sched would accept.
fn check(app: &App, submission: &Submission) -> Result<(), Refusal> {
    let spec = &submission.spec;
    if spec.tasks == 0 {
        let detail = format!("a {} needs at least one task", spec.kind);
        return Err(Refusal::new(Reason::Empty, detail));
    }
    let most = app.config().limits.tasks;
    if spec.tasks > most {
        let detail = format!("tasks: expected 1 to {most}, found {}", spec.tasks);
        return Err(Refusal::new(Reason::Malformed, detail));
    }
    Ok(())
}

/// Widens the outcome of a refusal for which the job was not looked at: its id may have been submitted
/// before, through another gate.
fn untold(refusal: Refusal) -> Refusal {
    match refusal.reason {
        Reason::Malformed => refusal,
        _ => refusal.outcome(Outcome::Unknown),
    }
}

async fn declaration(app: &App, headers: &HeaderMap, body: Body) -> Result<Kept, Refusal> {
    let limits = Limits {
        keep: 0,
        most: DECLARATION,
    };
    Upload::whole(body, head::length(headers), limits, &app.load.bytes).await
}

fn deadline(app: &App, headers: &HeaderMap) -> Result<Duration, Refusal> {
    let limits = &app.settings.limits;
    let Some(text) = head::text(headers, header::DEADLINE)? else {
        return Ok(limits.default_deadline.get());
    };
    let span: Span = text.parse().map_err(|error| {
        Refusal::new(Reason::Malformed, format!("{}: {error}", header::DEADLINE))
    })?;
    if span == Span::default() {
        let detail = "the deadline had passed on arrival";
        return Err(Refusal::new(Reason::Deadline, detail));
    }
    Ok(span.min(limits.max_deadline).get())
}

async fn view(app: &App, id: JobId, query: &Wait) -> Result<bytes::Bytes, Refusal> {
    let wait = match &query.wait {
        None => Duration::ZERO,
        Some(text) => {
            let span: Result<Span, _> = text.parse();
            let span =
                span.map_err(|error| Refusal::new(Reason::Malformed, format!("wait: {error}")))?;
            span.get().min(LONGEST_WAIT)
        }
    };
    job::query(app, id, wait).await
}

fn parse(id: Result<Path<String>, PathRejection>) -> Result<JobId, Refusal> {
    let Path(id) = id.map_err(|error| answer::unreadable(&error))?;
    id.parse()
        .map_err(|error| Refusal::new(Reason::Malformed, format!("id: {error}")))
}

fn accepted(status: StatusCode, job: JobId) -> Response {
    let accepted = Accepted {
        job,
        state: Stage::Waiting,
    };
    let body = serde_json::to_vec(&accepted).unwrap_or_default();
    answer::json(status, body)
}

fn refuse(app: &App, refusal: &Refusal) -> Response {
    app.refused(refusal);
    answer::refusal(refusal)
}
