//! Requests to services.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use axum::{
    extract::{
        Path,
        Request,
        State,
        rejection::PathRejection, //
    },
    http::Uri,
    response::Response,
};
use fulmarpier_protocol::http::request::Head;
use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use fulmarpier_transport::http::Caller;
use tokio::time::timeout;
use uuid::Uuid;

use super::{
    answer,
    head, //
};
use crate::{
    app::App,
    forward::{
        Admission,
        Envelope,
        Order,
        Upload,
        admit,
        keyed,
        ordinary, //
    },
};

/// Into how many parts the path falls: nothing, `v1`, `services`, the service, `requests`, the rest.
const PARTS: usize = 6;

/// Serves a request to the root of a service.
pub(super) async fn root(
    State(app): State<Arc<App>>,
    service: Result<Path<String>, PathRejection>,
    request: Request,
) -> Response {
    serve(app, service.map(|Path(service)| service), request).await
}

/// Serves a request to a path inside a service.
pub(super) async fn rest(
    State(app): State<Arc<App>>,
    path: Result<Path<(String, String)>, PathRejection>,
    request: Request,
) -> Response {
    serve(app, path.map(|Path((service, _))| service), request).await
}

async fn serve(
    app: Arc<App>,
    service: Result<String, PathRejection>,
    request: Request,
) -> Response {
    let began = Instant::now();
    let _in_flight = app.metrics.enter();
    let id = head::id(request.headers());
    let answered = match service {
        Ok(service) => forward(&app, &service, request, id, began).await,
        Err(error) => Err(answer::unreadable(&error)),
    };
    let mut response = answered.unwrap_or_else(|refusal| {
        app.refused(&refusal);
        answer::refusal(&refusal)
    });
    answer::identify(&mut response, id);
    let outcome = answer::stated(&response);
    app.metrics.answered(outcome, began.elapsed());
    response
}

async fn forward(
    app: &Arc<App>,
    service: &str,
    request: Request,
    id: Uuid,
    began: Instant,
) -> Result<Response, Refusal> {
    let came = app.now();
    let (parts, body) = request.into_parts();
    let head = head::read(service, &parts.headers)?;
    let _share = app
        .load
        .enter()
        .map_err(|refusal| about_key(&head, refusal))?;
    let admission = admit(app, &head, came).map_err(|refusal| about_key(&head, refusal))?;
    let length = head::length(&parts.headers);
    let caller = parts.extensions.get::<Caller>().cloned();
    let envelope = Envelope {
        id,
        method: parts.method,
        path: target_path(&parts.uri),
        headers: parts.headers,
    };
    let decided = began.elapsed();
    match head.key.clone().filter(|_| !head.idempotent) {
        Some(key) => {
            let read = Upload::whole(body, length, admission.limits, &app.load.bytes);
            let body = in_time(app, came, &admission, read).await;
            let body = body.map_err(|refusal| about_key(&head, refusal))?;
            let order = Order {
                key,
                admission,
                envelope,
                body,
            };
            once(app, order).await
        }
        None => {
            let read = Upload::read(body, length, admission.limits, &app.load.bytes, caller);
            let upload = in_time(app, came, &admission, read).await?;
            ordinary(app, &admission, envelope, upload, decided).await
        }
    }
}

/// Serves a non-idempotent request to its end, also where the caller leaves.
async fn once(app: &Arc<App>, order: Order) -> Result<Response, Refusal> {
    let shared = app.clone();
    let served = app.tasks.spawn(async move { keyed(&shared, &order).await });
    served.await.unwrap_or_else(|_| {
        let refusal = Refusal::new(Reason::Internal, "the request was dropped");
        Err(refusal.outcome(Outcome::Unknown))
    })
}

/// Reads a body within the time of its request.
async fn in_time<T>(
    app: &App,
    came: Timestamp,
    admission: &Admission,
    read: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let left: Duration = app.now().until(admission.ask.deadline);
    timeout(left, read).await.unwrap_or_else(|_| {
        let span = came.until(admission.ask.deadline).as_millis();
        let detail = format!("the body did not arrive within {span} ms");
        Err(Refusal::new(Reason::Deadline, detail))
    })
}

/// Widens the outcome of a refusal for which the key's home shard was not asked.
///
/// An earlier call with the key may have run, whatever this gate thinks of the service, the deadline
/// or itself by now. Only a request that could never have run is certain.
fn about_key(head: &Head, refusal: Refusal) -> Refusal {
    let is_certain = matches!(refusal.reason, Reason::Malformed | Reason::BodyTooLarge);
    if head.idempotent || is_certain {
        return refusal;
    }
    refusal.outcome(Outcome::Unknown)
}

/// Returns the path and query at the target, as the caller wrote them.
fn target_path(uri: &Uri) -> String {
    let path = uri.path().splitn(PARTS, '/').nth(PARTS - 1);
    let path = path.unwrap_or_default();
    match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}
