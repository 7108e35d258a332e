//! Reading the head of a caller's request.

use axum::http::{
    HeaderMap,
    header::CONTENT_LENGTH, //
};
use fulmarpier_protocol::http::{
    header,
    request::{
        Head,
        Raw, //
    },
};
use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};
use uuid::Uuid;

/// Checks the headers of a request to a service.
///
/// # Errors
///
/// Refuses headers that are malformed, and a non-idempotent request without a key.
pub(super) fn read(service: &str, headers: &HeaderMap) -> Result<Head, Refusal> {
    let raw = Raw {
        service,
        key: text(headers, header::IDEMPOTENCY_KEY)?,
        idempotent: text(headers, header::IDEMPOTENT)?,
        deadline: text(headers, header::DEADLINE)?,
        team: text(headers, header::TEAM)?,
    };
    Ok(Head::try_from(raw)?)
}

/// Returns the caller's own id of the request, or a new one.
pub(super) fn id(headers: &HeaderMap) -> Uuid {
    let given = headers.get(header::REQUEST);
    let given = given.and_then(|value| value.to_str().ok());
    given
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(Uuid::now_v7)
}

/// Returns the declared length of the body.
pub(super) fn length(headers: &HeaderMap) -> Option<u64> {
    text(headers, CONTENT_LENGTH.as_str()).ok()??.parse().ok()
}

/// Returns a header that may stand once.
///
/// # Errors
///
/// Refuses a header that stands twice or holds other than visible ASCII characters.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed(name, "stands more than once"));
    }
    let text = value.to_str();
    text.map(Some)
        .map_err(|_| malformed(name, "holds other than visible ASCII characters"))
}

fn malformed(name: &str, what: &str) -> Refusal {
    Refusal::new(Reason::Malformed, format!("{name}: {what}"))
}
