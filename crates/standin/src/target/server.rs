//! Answering requests: an echo, with work and faults as the headers ask.

use std::{
    hash::{
        DefaultHasher,
        Hasher, //
    },
    io,
    sync::Arc,
    time::Duration,
};

use axum::{
    body::{
        Body,
        Bytes,
        to_bytes, //
    },
    extract::{
        ConnectInfo,
        Request,
        State, //
    },
    http::{
        HeaderMap,
        HeaderName,
        HeaderValue,
        StatusCode,
        header, //
    },
    response::{
        IntoResponse,
        Response, //
    },
};
use fulmarpier_state::unit::Span;
use fulmarpier_transport::http::Cut;
use futures::{
    StreamExt,
    stream, //
};
use tokio::time::sleep;

use super::host::Shared;
use crate::{
    pause::pause,
    record, //
};

/// The largest body that a target takes.
const MAX_BODY: usize = 64 << 20;
/// How long the first half of a truncated answer has to leave; after it, the rest never comes.
const LEAVE: Duration = Duration::from_millis(20);
/// The header by which a target says that it took nothing on.
const BUSY: HeaderName = HeaderName::from_static("target-busy");
/// The id of the request, returned with the answer.
const REQUEST: HeaderName = HeaderName::from_static("fulmarpier-request");
/// The key of the request.
const KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Whether the request may run more than once.
const IDEMPOTENT: HeaderName = HeaderName::from_static("fulmarpier-idempotent");
/// How long the work takes, as asked.
const WORK: HeaderName = HeaderName::from_static("standin-work");
/// The status to answer with, as asked.
const STATUS: HeaderName = HeaderName::from_static("standin-status");
/// What goes wrong with the answer, as asked: `cut`, `truncate` or `other-request`.
const FAULT: HeaderName = HeaderName::from_static("standin-fault");
/// The digest of the body, in the answer.
const DIGEST: HeaderName = HeaderName::from_static("standin-digest");

/// Runs one request in a slot.
pub(super) async fn answer(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(cut): ConnectInfo<Cut>,
    request: Request,
) -> Response {
    shared.awake().await;
    let Some(_slot) = shared.take() else {
        shared.host.record.turned_away();
        return busy();
    };
    let (parts, body) = request.into_parts();
    let Ok(body) = to_bytes(body, MAX_BODY).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let record = &shared.host.record;
    let place = record.began(entry(&shared, &parts.headers));
    let work = work(&parts.headers).unwrap_or(shared.host.work);
    pause(work + shared.host.faults.target_delay()).await;
    shared.awake().await;
    record.finished(place, shared.host.clock.now());
    respond(&parts.headers, body, &cut)
}

fn entry(shared: &Shared, headers: &HeaderMap) -> record::Request {
    let key = text(headers, &KEY);
    let idempotent = match text(headers, &IDEMPOTENT).as_deref() {
        Some("true") => true,
        Some(_) => false,
        None => key.is_none(),
    };
    record::Request {
        request: text(headers, &REQUEST),
        key,
        idempotent,
        target: shared.id,
        worker: shared.host.worker,
        start: shared.host.clock.now(),
        end: None,
    }
}

fn respond(headers: &HeaderMap, body: Bytes, cut: &Cut) -> Response {
    let mut hasher = DefaultHasher::new();
    hasher.write(&body);
    let digest = format!("{:016x}", hasher.finish());
    let fault = text(headers, &FAULT);
    let body = match fault.as_deref() {
        Some("cut") => {
            cut.cut();
            Body::empty()
        }
        Some("truncate") => truncated(&body),
        _ => Body::from(body),
    };
    let mut response = Response::new(body);
    *response.status_mut() = text(headers, &STATUS)
        .and_then(|status| status.parse().ok())
        .unwrap_or(StatusCode::OK);
    let answer = response.headers_mut();
    if let Ok(digest) = HeaderValue::from_str(&digest) {
        answer.insert(DIGEST, digest);
    }
    for name in [REQUEST, header::CONTENT_TYPE] {
        if let Some(value) = headers.get(&name) {
            answer.insert(name, value.clone());
        }
    }
    if fault.as_deref() == Some("other-request") {
        answer.insert(REQUEST, HeaderValue::from_static("other"));
    }
    response
}

/// Sends half of the body, lets it leave and then breaks off.
fn truncated(body: &Bytes) -> Body {
    let half = body.slice(..body.len() / 2);
    let broken = stream::once(async {
        sleep(LEAVE).await;
        Err(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    Body::from_stream(stream::iter([Ok(half)]).chain(broken))
}

fn busy() -> Response {
    let busy = [(BUSY, HeaderValue::from_static("true"))];
    (StatusCode::SERVICE_UNAVAILABLE, busy).into_response()
}

fn work(headers: &HeaderMap) -> Option<Duration> {
    let span: Span = text(headers, &WORK)?.parse().ok()?;
    Some(span.get())
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}
