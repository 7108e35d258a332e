//! The stand-in's own record of what ran, as far as the checks need it.

use std::time::Duration;

use fulmarpier_protocol::settings::value::Url;
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    id::TaskId, //
};
use reqwest::Client;
use serde::{
    Deserialize,
    de::DeserializeOwned, //
};
use uuid::Uuid;

/// The most entries that are asked for at once.
const PAGE: usize = 50_000;
/// How a run ends that did its work.
const SUCCEEDED: &str = "succeeded";

/// One run of a task on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskRun {
    /// The job.
    pub job: Uuid,
    /// The index of the task in its job.
    pub index: u32,
    /// When it started, from the Unix epoch.
    pub from: Duration,
    /// When it ended, or the end of time.
    pub until: Duration,
    /// Whether it ran to its end.
    pub succeeded: bool,
}

/// What the stand-ins recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// How often each request was run, by its id.
    pub requests: HashMap<Uuid, u32>,
    /// All runs of tasks.
    pub tasks: Vec<TaskRun>,
    /// Starts that overfilled a worker.
    pub overfilled: u64,
    /// Runs of a task that overlapped in time, whoever submitted it.
    pub doubled_tasks: u64,
    /// Requests that ran although one with the same key had run, whoever sent them.
    pub doubled_keys: u64,
    /// What was not recorded for want of room.
    pub dropped: u64,
}

/// The ways in which the record can be out of reach.
#[derive(Debug, thiserror::Error)]
#[error("the stand-in's record can't be read")]
pub struct Error(#[from] reqwest::Error);

#[derive(Debug, Deserialize)]
struct Summary {
    violations: Violations,
    dropped: u64,
}

#[derive(Debug, Deserialize)]
struct Violations {
    doubled_tasks: u64,
    overfilled: u64,
    doubled_keys: u64,
}

#[derive(Debug, Deserialize)]
struct Request {
    request: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Run {
    task: TaskId,
    start: Timestamp,
    end: Option<Timestamp>,
    ending: Option<String>,
}

impl Record {
    /// Fetches the record from the stand-in's control address.
    ///
    /// # Errors
    ///
    /// Fails where the stand-in can't be reached or answers something else.
    pub async fn fetch(client: &Client, standin: &Url) -> Result<Self, Error> {
        let summary: Summary = get(client, standin.join("/record")).await?;
        let requests: Vec<Request> = pages(client, standin, "requests").await?;
        let runs: Vec<Run> = pages(client, standin, "runs").await?;
        let mut record = Self {
            overfilled: summary.violations.overfilled,
            doubled_tasks: summary.violations.doubled_tasks,
            doubled_keys: summary.violations.doubled_keys,
            dropped: summary.dropped,
            ..Self::default()
        };
        let ids = requests.iter().filter_map(|entry| entry.request.as_ref());
        for id in ids.filter_map(|id| id.parse().ok()) {
            *record.requests.entry(id).or_default() += 1;
        }
        record.tasks = runs.iter().map(TaskRun::from).collect();
        Ok(record)
    }

    /// Groups the runs of tasks by job.
    pub(crate) fn by_job(&self) -> HashMap<Uuid, Vec<TaskRun>> {
        let mut jobs: HashMap<Uuid, Vec<TaskRun>> = HashMap::default();
        for run in &self.tasks {
            jobs.entry(run.job).or_default().push(*run);
        }
        jobs
    }
}

impl From<&Run> for TaskRun {
    fn from(run: &Run) -> Self {
        let span = |time: Timestamp| Duration::from_micros(time.as_micros());
        Self {
            job: run.task.job.0,
            index: run.task.index,
            from: span(run.start),
            until: run.end.map_or(Duration::MAX, span),
            succeeded: run.ending.as_deref() == Some(SUCCEEDED),
        }
    }
}

async fn pages<T: DeserializeOwned>(
    client: &Client,
    standin: &Url,
    part: &str,
) -> Result<Vec<T>, Error> {
    let mut all = Vec::new();
    loop {
        let from = all.len();
        let path = format!("/record/{part}?from={from}&max={PAGE}");
        let page: Vec<T> = get(client, standin.join(&path)).await?;
        if page.is_empty() {
            return Ok(all);
        }
        all.extend(page);
    }
}

async fn get<T: DeserializeOwned>(client: &Client, url: String) -> Result<T, Error> {
    let response = client.get(url).send().await?.error_for_status()?;
    Ok(response.json().await?)
}
