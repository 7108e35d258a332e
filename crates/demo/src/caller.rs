//! A caller and an operator, over HTTP.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_protocol::{
    http::table::Table,
    problem::Problem, //
};
use fulmarpier_state::refusal::Reason;
use reqwest::{
    Client,
    Response,
    StatusCode, //
};
use serde_json::{
    Value,
    json, //
};
use tokio::time::sleep;

use crate::TOKEN;

/// How long a caller waits for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);
/// How often a caller asks for the answer to a request that is in progress before it gives up.
const MAX_REPEATS: u32 = 30;
/// How long a caller waits before it asks again, if the gate names no time.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Why a call came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The gate could not be reached, or its answer was cut off.
    #[error("the gate gave no whole answer")]
    Http(#[from] reqwest::Error),
    /// The gate refused.
    #[error("refused with {status}: {problem}")]
    Refused {
        /// The HTTP status.
        status: StatusCode,
        /// The problem, as it was sent.
        problem: String,
    },
    /// The answer is not the caller's own.
    #[error("asked with `{asked}`, answered with `{answered}`")]
    Stray {
        /// What was sent.
        asked: String,
        /// What came back.
        answered: String,
    },
}

impl Error {
    /// Returns how long to wait before asking again with the same key; `None` unless the first request with it is
    /// still in progress.
    fn busy(&self) -> Option<Duration> {
        let Self::Refused { problem, .. } = self else {
            return None;
        };
        let problem = Problem::parse(problem.as_bytes()).ok()?;
        let wait = problem.retry_after.map_or(REPEAT_PAUSE, |span| span.get());
        (problem.reason == Reason::KeyBusy).then_some(wait)
    }
}

/// A caller and an operator at one gate.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
    gate: SocketAddr,
}

/// What a request came to.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Where it ran.
    pub target: String,
    /// Whether a kept answer was given again.
    pub replayed: bool,
}

impl Caller {
    /// Makes a caller at a gate.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be set up.
    pub fn new(gate: SocketAddr) -> Result<Self, Error> {
        let http = Client::builder().no_proxy().timeout(TIMEOUT).build()?;
        Ok(Self { http, gate })
    }

    /// Returns whether the gate takes work.
    pub async fn is_ready(&self) -> bool {
        let answer = self
            .http
            .get(format!("http://{}/readyz", self.gate))
            .send()
            .await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Sends an ordinary request, or with a key a non-idempotent one, and checks that the answer is
    /// the caller's own.
    ///
    /// # Errors
    ///
    /// Fails if the gate refuses, or the answer is not whole or another's.
    pub async fn request(
        &self,
        service: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<Answered, Error> {
        let url = format!("http://{}/v1/services/{service}/requests", self.gate);
        let mut request = self.http.post(url).body(body.to_owned());
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let response = accepted(request.send().await?).await?;
        let text = |name: &str| {
            let value = response.headers().get(name);
            value
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let answered = Answered {
            target: text("fulmarpier-target"),
            replayed: text("fulmarpier-replayed") == "true",
        };
        let answer = response.text().await?;
        if !answer.contains(body) {
            return Err(Error::Stray {
                asked: body.to_owned(),
                answered: answer,
            });
        }
        Ok(answered)
    }

    /// Sends a request again under its key, and asks again for as long as the first one is in progress.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::request`] does, and if the first request remains in progress.
    pub async fn repeat(&self, service: &str, body: &str, key: &str) -> Result<Answered, Error> {
        let mut repeats = 0;
        loop {
            let answered = self.request(service, body, Some(key)).await;
            let busy = answered.as_ref().err().and_then(Error::busy);
            let Some(wait) = busy.filter(|_| repeats < MAX_REPEATS) else {
                return answered;
            };
            repeats += 1;
            sleep(wait).await;
        }
    }

    /// Submits a job and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if the gate refuses.
    pub async fn submit(&self, job: &Value) -> Result<String, Error> {
        let url = format!("http://{}/v1/jobs", self.gate);
        let response = accepted(self.http.post(url).json(job).send().await?).await?;
        let answer: Value = response.json().await?;
        Ok(answer["job"].as_str().unwrap_or_default().to_owned())
    }

    /// Waits for a job to end and returns what is known of it.
    ///
    /// # Errors
    ///
    /// Fails if the gate refuses.
    pub async fn wait(&self, job: &str, span: &str) -> Result<Value, Error> {
        let url = format!("http://{}/v1/jobs/{job}?wait={span}", self.gate);
        let response = accepted(self.http.get(url).send().await?).await?;
        Ok(response.json().await?)
    }

    /// Runs one line of the operators' language.
    ///
    /// # Errors
    ///
    /// Fails if the gate refuses.
    pub async fn command(&self, line: &str) -> Result<Table, Error> {
        let url = format!("http://{}/v1/command", self.gate);
        let request = self.http.post(url).bearer_auth(TOKEN).body(line.to_owned());
        let response = accepted(request.send().await?).await?;
        Ok(response.json().await?)
    }
}

/// Returns the declaration of a job.
pub fn job(kind: &str, tasks: u32, runtime: &str) -> Value {
    json!({
        "team": "demo",
        "kind": kind,
        "tasks": tasks,
        "size": {"cpu": "1", "memory": "1GiB"},
        "runtime": runtime,
        "program": "demo",
    })
}

/// Returns the declaration of a service with targets of eight slots.
pub fn service(name: &str, targets: u32) -> Value {
    json!({
        "team": "demo",
        "kind": "service",
        "tasks": targets,
        "size": {"cpu": "2", "memory": "2GiB"},
        "spread": "data-centres",
        "program": "echo",
        "service": {"name": name, "slots": 8, "port": 0},
    })
}

async fn accepted(response: Response) -> Result<Response, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let problem = response.text().await?;
    Err(Error::Refused { status, problem })
}
