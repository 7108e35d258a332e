//! The control address: log, VM list, faults and record.

use std::{
    io,
    sync::Arc, //
};

use axum::{
    Json, Router,
    extract::{
        DefaultBodyLimit,
        Query,
        State, //
    },
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::{
        get,
        post, //
    },
};
use fulmarpier_coordination::platform::vm;
use serde::Deserialize;

use crate::{
    fault::Change,
    log,
    platform::Shared,
    record::{
        Request,
        Run,
        Summary, //
    },
};

/// The largest body taken here; the log's own cap is lower.
const MAX_BODY: usize = 4 << 20;
/// The most entries of the record in one answer.
const MAX_ENTRIES: usize = 100_000;

/// Which part of the record is asked for.
#[derive(Debug, Deserialize)]
struct Part {
    #[serde(default)]
    from: usize,
    max: Option<usize>,
}

impl Part {
    fn max(&self) -> usize {
        self.max.unwrap_or(MAX_ENTRIES).min(MAX_ENTRIES)
    }
}

/// Routes everything that is served at the control address.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let log = Router::new()
        .route("/log/{stream}", post(log::append).get(log::read))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .with_state(shared.log.clone());
    Router::new()
        .route("/vms", get(vms))
        .route("/fault", post(fault))
        .route("/record", get(summary))
        .route("/record/runs", get(runs))
        .route("/record/requests", get(requests))
        .with_state(shared)
        .merge(log)
}

async fn vms(State(shared): State<Arc<Shared>>) -> Json<vm::List> {
    Json(shared.seen())
}

async fn fault(State(shared): State<Arc<Shared>>, Json(change): Json<Change>) -> Response {
    match shared.fault(&change).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            (StatusCode::NOT_FOUND, error.to_string()).into_response()
        }
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn summary(State(shared): State<Arc<Shared>>) -> Json<Summary> {
    Json(shared.summary())
}

async fn runs(State(shared): State<Arc<Shared>>, Query(part): Query<Part>) -> Json<Vec<Run>> {
    Json(shared.record.runs(part.from, part.max()))
}

async fn requests(
    State(shared): State<Arc<Shared>>,
    Query(part): Query<Part>,
) -> Json<Vec<Request>> {
    Json(shared.record.requests(part.from, part.max()))
}
