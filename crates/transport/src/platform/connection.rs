//! What all adapters share: the HTTP client, its bounds and what its failures prove.

use std::{
    error::Error as _,
    time::Duration, //
};

use reqwest::{
    Client,
    redirect,
    retry, //
};

/// How long idle connections are kept.
const IDLE: Duration = Duration::from_secs(20);

/// How long an adapter waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For a connection to be made.
    pub connect: Duration,
    /// For a whole answer, from the start of the call.
    pub answer: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            answer: Duration::from_secs(5),
        }
    }
}

/// The HTTP client could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("the HTTP client can't be set up")]
pub struct SetupError(#[from] reqwest::Error);

/// Makes an HTTP client that never asks twice, never follows a redirect and uses no proxy.
///
/// A call must leave at most once, so that "not run" stays provable.
pub(super) fn client(connect: Duration, idle_per_host: usize) -> Result<Client, SetupError> {
    let client = Client::builder()
        .connect_timeout(connect)
        .pool_idle_timeout(IDLE)
        .pool_max_idle_per_host(idle_per_host)
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .no_proxy()
        .tcp_nodelay(true)
        .build()?;
    Ok(client)
}

/// Returns whether the failure proves that nothing of the call was sent.
pub(super) fn never_sent(error: &reqwest::Error) -> bool {
    error.is_connect() || error.is_builder()
}

/// Returns the innermost cause as text.
pub(super) fn cause(error: &reqwest::Error) -> String {
    let mut inner: &dyn std::error::Error = error;
    while let Some(source) = inner.source() {
        inner = source;
    }
    match error.source() {
        Some(_) => inner.to_string(),
        None => error.to_string(),
    }
}
