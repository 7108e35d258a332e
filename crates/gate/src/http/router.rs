//! Which path leads where.

use std::sync::Arc;

use axum::{
    Router,
    extract::{
        DefaultBodyLimit,
        State, //
    },
    http::StatusCode,
    response::Response,
    routing::{
        any,
        get,
        post, //
    },
};
use fulmarpier_protocol::problem::Problem;
use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};

use super::{
    answer,
    command,
    health,
    job,
    request, //
};
use crate::app::App;

/// Makes the routes of a gate.
pub fn router(app: Arc<App>) -> Router {
    Router::new()
        .route("/v1/services/{service}/requests", any(request::root))
        .route(
            "/v1/services/{service}/requests/{*rest}",
            any(request::rest),
        )
        .route("/v1/jobs", post(job::submit))
        .route("/v1/jobs/{id}", get(job::show).delete(job::cancel))
        .route("/v1/command", post(command::run))
        .route("/metrics", get(health::metrics))
        .route("/healthz", get(health::live))
        .route("/readyz", get(health::ready))
        .fallback(nowhere)
        .method_not_allowed_fallback(wrong_method)
        // Bodies have limits of their own, which answer with a problem.
        .layer(DefaultBodyLimit::disable())
        .with_state(app)
}

async fn nowhere(State(app): State<Arc<App>>) -> Response {
    let refusal = Refusal::new(Reason::Malformed, "nothing is served at this path");
    refuse(&app, &refusal, StatusCode::NOT_FOUND)
}

async fn wrong_method(State(app): State<Arc<App>>) -> Response {
    let refusal = Refusal::new(Reason::Malformed, "the method is not served at this path");
    refuse(&app, &refusal, StatusCode::METHOD_NOT_ALLOWED)
}

/// Refuses with the status that HTTP has for the case.
fn refuse(app: &App, refusal: &Refusal, status: StatusCode) -> Response {
    app.refused(refusal);
    let mut problem = Problem::from(refusal);
    problem.status = status.as_u16();
    answer::problem(&problem)
}
