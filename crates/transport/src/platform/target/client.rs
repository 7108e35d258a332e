//! Sending requests to targets.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::platform::target::Error;
use fulmarpier_state::unit::Span;
use reqwest::{
    Body, Method, Response, StatusCode,
    header::{
        self,
        HeaderMap,
        HeaderValue, //
    },
};
use tokio::time::{
    Instant,
    timeout_at, //
};
use uuid::Uuid;

use super::{
    answer::{
        self,
        Answer, //
    },
    headers::{
        BUSY,
        DEADLINE,
        REQUEST,
        strip, //
    },
    pool::Pool,
};
use crate::platform::connection::{
    SetupError,
    client,
    never_sent, //
};

/// The longest time that one request may take.
const LONGEST: Duration = Duration::from_secs(86_400);

/// The bounds of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long to wait for a connection to be made.
    pub connect: Duration,
    /// The most connections to one target.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            connections: 60,
        }
    }
}

/// A request to pass on.
#[derive(Debug)]
pub struct Request {
    /// The id of the request, which the target is told.
    pub id: Uuid,
    /// The method.
    pub method: Method,
    /// The path and query, with the leading slash.
    pub path: String,
    /// The caller's headers; those that belong to one connection are left out.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
    /// The time left for the whole answer to arrive.
    pub deadline: Duration,
}

/// A client of all targets; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    pool: Arc<Pool>,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP client can't be set up.
    pub fn new(limits: Limits) -> Result<Self, SetupError> {
        Ok(Self {
            http: client(limits.connect, limits.connections)?,
            pool: Arc::new(Pool::new(limits.connections)),
        })
    }

    /// Sends a request to the target at an address, once, and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] and [`Error::Busy`] prove that the request was not run;
    /// [`Error::Unknown`] leaves it open.
    pub async fn send(&self, address: SocketAddr, request: Request) -> Result<Answer, Error> {
        let deadline = Instant::now() + request.deadline.min(LONGEST);
        let permit = timeout_at(deadline, self.pool.of(address).acquire_owned())
            .await
            .map_err(|_| Error::Busy)?
            .map_err(|_| Error::Busy)?;
        let id = request.id;
        let bodiless = request.method == Method::HEAD;
        let request = self.build(address, request, deadline)?;
        let mut response = timeout_at(deadline, self.http.execute(request))
            .await
            .map_err(|_| Error::Unknown)?
            .map_err(|error| classify(&error))?;
        check(&response, id, bodiless)?;
        strip(response.headers_mut());
        Ok(Answer {
            status: response.status(),
            headers: std::mem::take(response.headers_mut()),
            body: answer::Body::new(response, deadline, permit),
        })
    }

    fn build(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<reqwest::Request, Error> {
        let mut headers = request.headers;
        strip(&mut headers);
        headers.remove(header::HOST);
        headers.insert(DEADLINE, left(deadline));
        headers.insert(REQUEST, text(&request.id.to_string()));
        self.http
            .request(request.method, format!("http://{address}{}", request.path))
            .headers(headers)
            .body(request.body)
            .build()
            .map_err(|_| Error::Refused)
    }
}

/// Checks that the answer is one, is to this request, and that its end can be told from a cut.
fn check(response: &Response, id: Uuid, bodiless: bool) -> Result<(), Error> {
    let headers = response.headers();
    if response.status() == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(BUSY) {
        return Err(Error::Busy);
    }
    let answered = headers.get(REQUEST);
    if answered.is_some_and(|value| value.as_bytes() != id.to_string().as_bytes()) {
        return Err(Error::Unknown);
    }
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    let empty = bodiless
        || response.status() == StatusCode::NO_CONTENT
        || response.status() == StatusCode::NOT_MODIFIED;
    if framed || empty {
        Ok(())
    } else {
        Err(Error::Unknown)
    }
}

fn classify(error: &reqwest::Error) -> Error {
    if never_sent(error) {
        Error::Refused
    } else {
        Error::Unknown
    }
}

fn left(deadline: Instant) -> HeaderValue {
    let left = deadline.saturating_duration_since(Instant::now());
    let micros = u64::try_from(left.as_micros()).unwrap_or(u64::MAX);
    text(&Span::from_micros(micros).to_string())
}

fn text(visible: &str) -> HeaderValue {
    // Spans and UUIDs are visible ASCII.
    HeaderValue::from_str(visible).unwrap_or_else(|_| HeaderValue::from_static(""))
}
