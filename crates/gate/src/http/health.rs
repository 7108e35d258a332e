//! Whether the gate lives and whether it is ready, and its metrics.

use std::sync::Arc;

use axum::{
    extract::State,
    http::{
        StatusCode,
        header::CONTENT_TYPE, //
    },
    response::{
        IntoResponse,
        Response, //
    },
};
use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};
use fulmarpier_transport::metrics::CONTENT_TYPE as METRICS;

use super::answer;
use crate::{
    app::App,
    phase::Phase, //
};

/// Answers as long as the process serves at all.
pub(super) async fn live() -> &'static str {
    "ok\n"
}

/// Answers whether balancers should send work here.
///
/// The gate is not ready while it is leaving, while no sched has answered yet, and while it has no
/// configuration.
pub(super) async fn ready(State(app): State<Arc<App>>) -> Response {
    if app.phase.get() != Phase::Open {
        return answer::refusal(&app.leaving());
    }
    if !app.view.borrow().is_connected() {
        let refusal = Refusal::new(Reason::NoOwner, "no sched answers");
        return answer::refusal(&refusal.retry_after(app.settings.sync_interval.get()));
    }
    if !app.view.borrow().is_informed() {
        return answer::refusal(&app.uninformed());
    }
    "ok\n".into_response()
}

/// Returns the metrics as Prometheus text.
pub(super) async fn metrics(State(app): State<Arc<App>>) -> Response {
    app.note_levels();
    match app.metrics.render() {
        Ok(text) => ([(CONTENT_TYPE, METRICS)], text).into_response(),
        Err(error) => {
            slog::error!(app.log, "metrics failed"; "error" => %error);
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
