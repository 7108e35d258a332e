//! The adapter to the platform's log.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use fulmarpier_coordination::platform::log::{
    Append,
    Error,
    Page,
    Read,
    Record,
    Stream, //
};
use fulmarpier_state::id::{
    NodeId,
    Offset, //
};
use reqwest::{
    Response,
    StatusCode,
    header::HeaderMap, //
};
use serde::Deserialize;

use super::connection::{
    SetupError,
    Timeouts,
    cause,
    client,
    never_sent, //
};

/// The header in which a caller names itself.
const NODE: &str = "fulmarpier-node";
/// The header that holds the offset to read from next.
const NEXT: &str = "log-next";
/// The header that holds the offset behind the last record.
const END: &str = "log-end";
/// The bytes in front of a record in an append: its length.
const APPEND_HEAD: usize = 4;
/// The bytes in front of a record in a page: its offset and its length.
const PAGE_HEAD: usize = 12;
/// How many idle connections are kept: one for appends and a few for long polls.
const IDLE_CONNECTIONS: usize = 8;

/// A client of the platform's log for one node; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    address: SocketAddr,
    node: NodeId,
    timeouts: Timeouts,
}

/// The body of the answer to an append.
#[derive(Deserialize)]
struct Appended {
    first: Offset,
}

/// The body of an answer that says the offset is no longer kept.
#[derive(Deserialize)]
struct Gone {
    earliest: Offset,
}

impl Client {
    /// Makes a client that names itself as `node`.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP client can't be set up.
    pub fn new(address: SocketAddr, node: NodeId, timeouts: Timeouts) -> Result<Self, SetupError> {
        Ok(Self {
            http: client(timeouts.connect, IDLE_CONNECTIONS)?,
            address,
            node,
            timeouts,
        })
    }

    /// Appends records and returns the offset of the first.
    ///
    /// See also [`Self::read`], by which a lost answer is settled.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] and [`Error::Refused`] prove that nothing was appended;
    /// [`Error::Unknown`] leaves it open.
    pub async fn append(&self, append: &Append) -> Result<Offset, Error> {
        let body = encode(&append.records)?;
        let response = self
            .http
            .post(self.url(&append.stream))
            .header(NODE, self.node.to_string())
            .timeout(self.timeouts.answer)
            .body(body)
            .send()
            .await
            .map_err(|error| classify(&error))?;
        match response.status() {
            StatusCode::OK => {
                let body = response.bytes().await.map_err(|_| Error::Unknown)?;
                let appended: Appended =
                    serde_json::from_slice(&body).map_err(|_| Error::Unknown)?;
                Ok(appended.first)
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Unavailable {
                reason: "the log is down".to_owned(),
            }),
            status if status.is_client_error() => Err(refused(response).await),
            _ => Err(Error::Unknown),
        }
    }

    /// Reads records, waiting for a first one as long as asked.
    ///
    /// A read has no effect, so every failure but a truncated stream is [`Error::Unavailable`] or
    /// [`Error::Refused`]. See also [`Self::append`].
    ///
    /// # Errors
    ///
    /// [`Error::Truncated`] where the offset is no longer kept.
    pub async fn read(&self, read: &Read) -> Result<Page, Error> {
        let response = self
            .http
            .get(format!(
                "{}?from={}&max={}&wait={}ms",
                self.url(&read.stream),
                read.from,
                read.max,
                read.wait.as_millis(),
            ))
            .header(NODE, self.node.to_string())
            .timeout(self.read_timeout(read.wait))
            .send()
            .await
            .map_err(|error| unavailable(&error))?;
        match response.status() {
            StatusCode::OK => page(response).await,
            StatusCode::GONE => {
                let body = response.bytes().await.map_err(|e| unavailable(&e))?;
                let gone: Gone = serde_json::from_slice(&body).map_err(malformed)?;
                Err(Error::Truncated {
                    earliest: gone.earliest,
                })
            }
            status if status.is_client_error() => Err(refused(response).await),
            status => Err(Error::Unavailable {
                reason: format!("status {status}"),
            }),
        }
    }

    fn url(&self, stream: &Stream) -> String {
        format!("http://{}/log/{stream}", self.address)
    }

    fn read_timeout(&self, wait: Duration) -> Duration {
        self.timeouts.answer.saturating_add(wait)
    }
}

fn encode(records: &[Bytes]) -> Result<Bytes, Error> {
    let size = records
        .iter()
        .map(|record| APPEND_HEAD + record.len())
        .sum();
    let mut body = BytesMut::with_capacity(size);
    for record in records {
        let len = u32::try_from(record.len()).map_err(|_| Error::Refused {
            reason: "a record is too large".to_owned(),
        })?;
        body.put_u32(len);
        body.put_slice(record);
    }
    Ok(body.freeze())
}

async fn page(response: Response) -> Result<Page, Error> {
    let next = offset_header(response.headers(), NEXT)?;
    let end = offset_header(response.headers(), END)?;
    let mut body = response.bytes().await.map_err(|e| unavailable(&e))?;
    let mut records = Vec::new();
    while !body.is_empty() {
        records.push(record(&mut body)?);
    }
    Ok(Page { records, next, end })
}

fn record(body: &mut Bytes) -> Result<Record, Error> {
    if body.len() < PAGE_HEAD {
        return Err(malformed("a record is cut short"));
    }
    let offset = Offset(body.get_u64());
    let len = body.get_u32() as usize;
    if body.len() < len {
        return Err(malformed("a record is cut short"));
    }
    let data = body.split_to(len);
    Ok(Record { offset, data })
}

fn offset_header(headers: &HeaderMap, name: &'static str) -> Result<Offset, Error> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| malformed(format_args!("no offset in the header {name}")))
}

async fn refused(response: Response) -> Error {
    let status = response.status();
    let detail = response.text().await.unwrap_or_default();
    Error::Refused {
        reason: format!("status {status}: {detail}"),
    }
}

fn classify(error: &reqwest::Error) -> Error {
    if never_sent(error) {
        unavailable(error)
    } else {
        Error::Unknown
    }
}

fn unavailable(error: &reqwest::Error) -> Error {
    Error::Unavailable {
        reason: cause(error),
    }
}

fn malformed(reason: impl std::fmt::Display) -> Error {
    Error::Unavailable {
        reason: format!("the log's answer is malformed: {reason}"),
    }
}
