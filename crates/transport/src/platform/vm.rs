//! The adapter to the platform's list of VMs.

use std::net::SocketAddr;

use fulmarpier_coordination::platform::vm::{
    Error,
    List, //
};

use super::connection::{
    SetupError,
    Timeouts,
    cause,
    client, //
};

/// A client of the platform's list of VMs; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    url: String,
    timeouts: Timeouts,
}

impl Client {
    /// Makes a client for the list served at an address.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP client can't be set up.
    pub fn new(address: SocketAddr, timeouts: Timeouts) -> Result<Self, SetupError> {
        Ok(Self {
            http: client(timeouts.connect, 1)?,
            url: format!("http://{address}/vms"),
            timeouts,
        })
    }

    /// Returns the list as the platform sees it, which lags.
    ///
    /// # Errors
    ///
    /// Fails where no whole list came.
    pub async fn list(&self) -> Result<List, Error> {
        let unavailable = |error: reqwest::Error| Error::Unavailable {
            reason: cause(&error),
        };
        let response = self
            .http
            .get(&self.url)
            .timeout(self.timeouts.answer)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(unavailable)?;
        let body = response.bytes().await.map_err(unavailable)?;
        serde_json::from_slice(&body).map_err(|error| Error::Malformed {
            reason: error.to_string(),
        })
    }
}
