//! Setting the teams and services of a run up.

use std::time::Duration;

use fulmarpier_protocol::{
    http::{
        job::{
            Accepted,
            Raw,
            Service,
            Size,
            View, //
        },
        table::Table,
    },
    settings::load::Load as Settings,
};
use fulmarpier_state::{
    id::JobId,
    unit::{
        Bytes,
        Millicores, //
    },
};
use reqwest::{
    Client,
    Response,
    StatusCode, //
};
use tokio::time::{
    Instant,
    sleep, //
};

/// The service whose jobs the run submits and cancels.
pub(crate) const EXTRA: &str = "load-extra";
/// The team that owns the services of a run.
const TEAM: &str = "load";
/// The size of one target.
const TARGET_CPU: Millicores = Millicores::from_cores(2);
/// The memory of one target.
const TARGET_MEMORY: Bytes = Bytes::from_gib(2);
/// How long to wait for the cluster to take a step before the preparation fails.
const LONGEST: Duration = Duration::from_secs(60);
/// How long to wait between two looks.
const PAUSE: Duration = Duration::from_millis(100);

/// The ways in which the preparation can fail.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A gate can't be reached.
    #[error("a gate can't be reached")]
    Call(#[from] reqwest::Error),
    /// A command was refused.
    #[error("`{line}` was refused with {status}: {detail}")]
    Refused {
        /// The line.
        line: String,
        /// The status.
        status: StatusCode,
        /// The answer.
        detail: String,
    },
    /// A step took too long.
    #[error("{step} took over {} s", LONGEST.as_secs())]
    Late {
        /// What was waited for.
        step: &'static str,
    },
}

/// Sets the teams and services up, and starts the targets that requests go to.
///
/// # Errors
///
/// Fails where a command is refused or the targets don't come up.
pub(crate) async fn prepare(http: &Client, settings: &Settings) -> Result<JobId, Error> {
    let service = &settings.request.service;
    let slots = settings.request.slots;
    wait_ready(http, settings).await?;
    command(http, settings, &format!("set team {TEAM} weight=1")).await?;
    for team in &settings.job.teams {
        command(http, settings, &format!("set team {team} weight=1")).await?;
    }
    let line = format!("set service {service} slots={slots} team={TEAM}");
    command(http, settings, &line).await?;
    if settings.mix.service > 0.0 {
        let line = format!("set service {EXTRA} slots=1 team={TEAM}");
        command(http, settings, &line).await?;
    }
    let job = submit(http, settings).await?;
    wait_running(http, settings, job).await?;
    wait_served(http, settings).await?;
    Ok(job)
}

/// Cancels the targets of a run.
///
/// # Errors
///
/// Fails where the gate can't be reached.
pub(crate) async fn clear(http: &Client, settings: &Settings, job: JobId) -> Result<(), Error> {
    let url = settings.gates[0].join(&format!("/v1/jobs/{job}"));
    http.delete(url).send().await?;
    Ok(())
}

/// Waits until every gate is ready.
async fn wait_ready(http: &Client, settings: &Settings) -> Result<(), Error> {
    let end = Instant::now() + LONGEST;
    for gate in &settings.gates {
        loop {
            let ready = http.get(gate.join("/readyz")).send().await;
            if ready.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            pause(end, "a gate's start").await?;
        }
    }
    Ok(())
}

/// Runs a command, with the confirmation of its dry run where it needs one.
async fn command(http: &Client, settings: &Settings, line: &str) -> Result<(), Error> {
    let first = send(http, settings, line, "").await?;
    if first.status() != StatusCode::PRECONDITION_REQUIRED {
        return check(line, first).await;
    }
    let dry = send(http, settings, line, "?dry_run=true").await?;
    let table: Table = dry.json().await?;
    let token = table.confirm.unwrap_or_default();
    let again = send(http, settings, line, &format!("?confirm={token}")).await?;
    check(line, again).await
}

async fn send(
    http: &Client,
    settings: &Settings,
    line: &str,
    query: &str,
) -> Result<Response, Error> {
    let url = settings.gates[0].join(&format!("/v1/command{query}"));
    let call = http.post(url).bearer_auth(settings.token.reveal());
    Ok(call.body(line.to_owned()).send().await?)
}

async fn check(line: &str, response: Response) -> Result<(), Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    Err(Error::Refused {
        line: line.to_owned(),
        status,
        detail: response.text().await?,
    })
}

async fn submit(http: &Client, settings: &Settings) -> Result<JobId, Error> {
    let shape = &settings.request;
    let raw = Raw {
        team: TEAM.to_owned(),
        kind: "service".to_owned(),
        tasks: Some(shape.targets.into()),
        size: Size {
            cpu: TARGET_CPU.to_string(),
            memory: TARGET_MEMORY.to_string(),
            accelerators: 0,
        },
        spread: Some("racks".to_owned()),
        program: "load-target".to_owned(),
        service: Some(Service {
            name: shape.service.to_string(),
            slots: Some(shape.slots.into()),
            port: 0,
        }),
        ..Raw::default()
    };
    let url = settings.gates[0].join("/v1/jobs");
    let response = http.post(url).json(&raw).send().await?;
    if !response.status().is_success() {
        let line = "the job of the service";
        check(line, response).await?;
        return Err(Error::Late { step: line });
    }
    let accepted: Accepted = response.json().await?;
    Ok(accepted.job)
}

/// Waits until all targets run.
async fn wait_running(http: &Client, settings: &Settings, job: JobId) -> Result<(), Error> {
    let end = Instant::now() + LONGEST;
    let url = settings.gates[0].join(&format!("/v1/jobs/{job}"));
    loop {
        let response = http.get(&url).send().await?;
        if response.status().is_success() {
            let view: View = response.json().await?;
            if view.tasks.running >= settings.request.targets {
                return Ok(());
            }
        }
        pause(end, "the start of the targets").await?;
    }
}

/// Waits until every gate gets a request answered.
async fn wait_served(http: &Client, settings: &Settings) -> Result<(), Error> {
    let end = Instant::now() + LONGEST;
    let path = format!("/v1/services/{}/requests", settings.request.service);
    for gate in &settings.gates {
        loop {
            let response = http.post(gate.join(&path)).send().await?;
            if response.status().is_success() {
                break;
            }
            pause(end, "the first answer of a target").await?;
        }
    }
    Ok(())
}

async fn pause(end: Instant, step: &'static str) -> Result<(), Error> {
    if Instant::now() >= end {
        return Err(Error::Late { step });
    }
    sleep(PAUSE).await;
    Ok(())
}
