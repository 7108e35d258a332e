//! The adapter to workers.

use std::net::SocketAddr;

use fulmarpier_coordination::platform::worker::{
    Error,
    Reply,
    Sync, //
};
use fulmarpier_state::id::Epoch;
use reqwest::{
    StatusCode,
    header::CONTENT_TYPE, //
};
use serde::Deserialize;

use super::connection::{
    SetupError,
    Timeouts,
    client,
    never_sent, //
};

/// A client of all workers; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    timeouts: Timeouts,
}

/// The body of an answer that says the caller's epoch is too low.
#[derive(Deserialize)]
struct Fence {
    epoch: Epoch,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP client can't be set up.
    pub fn new(timeouts: Timeouts) -> Result<Self, SetupError> {
        Ok(Self {
            http: client(timeouts.connect, 1)?,
            timeouts,
        })
    }

    /// Makes the one call to the worker at an address.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] and [`Error::Fenced`] prove that the call had no effect; the other errors
    /// leave it open.
    pub async fn sync(&self, address: SocketAddr, sync: &Sync) -> Result<Reply, Error> {
        let body = serde_json::to_vec(sync).map_err(malformed)?;
        let response = self
            .http
            .post(format!("http://{address}/sync"))
            .header(CONTENT_TYPE, "application/json")
            .timeout(self.timeouts.answer)
            .body(body)
            .send()
            .await
            .map_err(|error| classify(&error))?;
        let status = response.status();
        let body = response.bytes().await.map_err(|_| Error::Unknown)?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(malformed),
            StatusCode::CONFLICT => {
                let fence: Fence = serde_json::from_slice(&body).map_err(malformed)?;
                Err(Error::Fenced { epoch: fence.epoch })
            }
            status if status.is_server_error() => Err(Error::Unknown),
            status => Err(Error::Malformed {
                reason: format!("status {status}"),
            }),
        }
    }
}

fn classify(error: &reqwest::Error) -> Error {
    if never_sent(error) {
        Error::Refused
    } else {
        Error::Unknown
    }
}

fn malformed(error: serde_json::Error) -> Error {
    Error::Malformed {
        reason: error.to_string(),
    }
}
