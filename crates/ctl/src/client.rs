//! The way to a gate and back.

use fulmarpier_protocol::{
    http::table::Table,
    problem::Problem,
    settings::value::Url, //
};
use reqwest::{
    StatusCode,
    header::CONTENT_TYPE, //
};

use crate::Request;

const PATH: &str = "/v1/command";
const LINE_TYPE: &str = "text/plain; charset=utf-8";

/// The ways in which a command can fail to be answered by its table.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The client could not be made.
    #[error("the HTTP client can't be made: {0}")]
    Client(reqwest::Error),
    /// No gate took a connection, so nothing was sent.
    #[error("no connection to {}; nothing was sent", list(.gates))]
    Unreachable {
        /// The gates that were tried.
        gates: Vec<Url>,
    },
    /// The command was sent and no whole answer came.
    #[error("no whole answer from {gate}: {source}")]
    NoAnswer {
        /// The gate.
        gate: Url,
        /// What the transport said.
        source: reqwest::Error,
    },
    /// The system refused the command.
    #[error("{}", .0.detail)]
    Refused(Box<Problem>),
    /// The answer is neither a table nor a problem, as from a server that is no gate.
    #[error("{gate} gave an answer with status {status} that is not one of a gate")]
    Foreign {
        /// The gate.
        gate: Url,
        /// The HTTP status.
        status: StatusCode,
    },
}

/// Sends commands to gates.
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP library can't be set up.
    pub fn new() -> Result<Self, Failure> {
        let builder = reqwest::Client::builder().no_proxy();
        let http = builder.build().map_err(Failure::Client)?;
        Ok(Self { http })
    }

    /// Sends a command and returns the table that answers it.
    ///
    /// The next gate is tried only where no connection was made, since a command that may have
    /// arrived must not be sent twice.
    ///
    /// # Errors
    ///
    /// [`Failure`] tells what is known of the command.
    pub async fn ask(&self, request: &Request) -> Result<Table, Failure> {
        for gate in &request.gates {
            match self.send(gate, request).await {
                Ok(response) => return read(gate, response).await,
                Err(error) if error.is_connect() => {}
                Err(source) => {
                    let gate = gate.clone();
                    return Err(Failure::NoAnswer { gate, source });
                }
            }
        }
        let gates = request.gates.clone();
        Err(Failure::Unreachable { gates })
    }

    async fn send(&self, gate: &Url, request: &Request) -> reqwest::Result<reqwest::Response> {
        let mut path = format!("{PATH}?dry_run={}", request.dry_run);
        if let Some(token) = &request.confirm {
            path.push_str("&confirm=");
            path.push_str(token);
        }
        self.http
            .post(gate.join(&path))
            .bearer_auth(request.token.reveal())
            .header(CONTENT_TYPE, LINE_TYPE)
            .timeout(request.timeout.get())
            .body(request.command.to_string())
            .send()
            .await
    }
}

async fn read(gate: &Url, response: reqwest::Response) -> Result<Table, Failure> {
    let status = response.status();
    let body = response.bytes().await;
    let body = body.map_err(|source| Failure::NoAnswer {
        gate: gate.clone(),
        source,
    })?;
    if status.is_success()
        && let Ok(table) = serde_json::from_slice(&body)
    {
        return Ok(table);
    }
    match Problem::parse(&body) {
        Ok(problem) => Err(Failure::Refused(Box::new(problem))),
        Err(_) => Err(Failure::Foreign {
            gate: gate.clone(),
            status,
        }),
    }
}

fn list(gates: &[Url]) -> String {
    let texts: Vec<_> = gates.iter().map(Url::as_str).collect();
    texts.join(", ")
}
