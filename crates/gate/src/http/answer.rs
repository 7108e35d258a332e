//! Answers to callers: problems, and the headers that every answer carries.

use std::time::Duration;

use axum::{
    body::Body,
    http::{
        HeaderName, HeaderValue, StatusCode,
        header::{
            CONTENT_TYPE,
            RETRY_AFTER, //
        },
    },
    response::Response,
};
use fulmarpier_protocol::{
    http::header,
    problem::{
        self,
        Problem, //
    },
};
use fulmarpier_state::refusal::{
    Outcome,
    Reason,
    Refusal, //
};
use uuid::Uuid;

/// The name of the header with the times inside the gate.
const SERVER_TIMING: HeaderName = HeaderName::from_static("server-timing");

/// The times inside the gate, as answers carry them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// The time that the decision took, without waiting.
    pub decision: Duration,
    /// The time spent waiting for a slot.
    pub waiting: Duration,
}

/// Makes the answer that tells a refusal.
pub fn refusal(refusal: &Refusal) -> Response {
    problem(&Problem::from(refusal))
}

/// Makes the answer that tells a problem.
pub fn problem(problem: &Problem) -> Response {
    let mut response = json(status(problem.status), problem.to_json());
    mark_problem(&mut response);
    state(&mut response, problem.outcome);
    if let Some(seconds) = problem.retry_after_secs() {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Makes the refusal of a path or query that the server could not read.
pub fn unreadable(rejection: &impl std::fmt::Display) -> Refusal {
    Refusal::new(Reason::Malformed, rejection.to_string())
}

/// Makes an answer with a JSON body.
pub fn json(status: StatusCode, body: impl Into<Body>) -> Response {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Names the request in its answer.
pub fn identify(response: &mut Response, id: Uuid) {
    let value = visible(&id.to_string());
    response.headers_mut().insert(header::REQUEST, value);
}

/// States the outcome in an answer.
pub fn state(response: &mut Response, known: Outcome) {
    response
        .headers_mut()
        .insert(header::OUTCOME, outcome(known));
}

/// Returns the outcome that an answer states; one without a statement is a refusal of the server.
pub fn stated(response: &Response) -> Outcome {
    let value = response.headers().get(header::OUTCOME);
    match value.map(HeaderValue::as_bytes) {
        Some(b"ran") => Outcome::Ran,
        Some(b"not_run") => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

/// Marks the JSON body of an answer as problem details.
pub fn mark_problem(response: &mut Response) {
    let content_type = HeaderValue::from_static(problem::CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
}

/// Adds the times inside the gate to an answer, in milliseconds (W3C Server Timing).
pub fn time(response: &mut Response, timing: Timing) {
    let millis = |span: Duration| span.as_secs_f64() * 1_000.0;
    let text = format!(
        "decision;dur={:.3}, waiting;dur={:.3}",
        millis(timing.decision),
        millis(timing.waiting)
    );
    response.headers_mut().insert(SERVER_TIMING, visible(&text));
}

/// Makes a header value of text that is known to be visible ASCII.
pub fn visible(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

const fn outcome(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::NotRun => "not_run",
        Outcome::Ran => "ran",
        Outcome::Unknown => "unknown",
    })
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
