//! What a sched shows over HTTP: its counters and its health.

use std::sync::{
    Arc,
    atomic::Ordering, //
};

use axum::{
    Router,
    extract::State,
    http::{
        StatusCode,
        header, //
    },
    response::{
        IntoResponse,
        Response, //
    },
    routing::get,
};
use fulmarpier_transport::metrics::{
    self,
    Registry, //
};

use super::control::Status;

/// What the handlers share.
#[derive(Clone, Debug)]
struct Shared {
    registry: Arc<Registry>,
    status: Arc<Status>,
}

/// Returns the routes of a sched.
pub(super) fn router(registry: Arc<Registry>, status: Arc<Status>) -> Router {
    Router::new()
        .route("/metrics", get(show_metrics))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(show_ready))
        .with_state(Shared { registry, status })
}

async fn show_metrics(State(shared): State<Shared>) -> Response {
    match shared.registry.render() {
        Ok(text) => ([(header::CONTENT_TYPE, metrics::CONTENT_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn show_ready(State(shared): State<Shared>) -> Response {
    if shared.status.ready.load(Ordering::Relaxed) {
        "ok\n".into_response()
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n").into_response()
    }
}
