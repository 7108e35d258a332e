//! Headers that pass, and those that belong to one connection only.

use reqwest::header::{
    self,
    HeaderMap,
    HeaderName, //
};

/// The header that carries the time left.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("fulmarpier-deadline");
/// The header that carries the id of the request.
pub(super) const REQUEST: HeaderName = HeaderName::from_static("fulmarpier-request");
/// The header by which a target says that it took nothing on.
pub(super) const BUSY: HeaderName = HeaderName::from_static("target-busy");

/// Headers that belong to one connection and are never passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes what belongs to one connection, and what the `Connection` header names as such.
pub(super) fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
