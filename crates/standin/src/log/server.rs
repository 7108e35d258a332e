//! The log's HTTP interface, with its faults.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use axum::{
    Json,
    body::Bytes,
    extract::{
        ConnectInfo,
        Path,
        Query,
        State, //
    },
    http::{
        HeaderMap,
        StatusCode, //
    },
    response::{
        IntoResponse,
        Response, //
    },
};
use fulmarpier_coordination::platform::log::Page;
use fulmarpier_state::{
    id::Offset,
    unit::Span, //
};
use fulmarpier_transport::{
    clock::Clock,
    http::Cut, //
};
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::watch,
    time::{
        Instant,
        sleep_until,
        timeout_at, //
    },
};

use super::{
    frame::{
        decode,
        encode, //
    },
    store::{
        Count,
        Error,
        Store, //
    },
};
use crate::{
    fault::{
        Call,
        Faults, //
    },
    pause::pause,
    settings::Settings,
};

/// The most records in one page, whatever is asked.
const MAX_RECORDS: u32 = 10_000;
/// The longest long poll.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The log as its handlers share it.
#[derive(Clone, Debug)]
pub struct Log {
    store: Arc<Mutex<Store>>,
    appended: watch::Sender<()>,
    pace: Arc<Mutex<Instant>>,
    interval: Duration,
    delay: Duration,
    clock: Clock,
    faults: Faults,
}

/// What a reader asks.
#[derive(Debug, Deserialize)]
pub(crate) struct Asked {
    #[serde(default)]
    from: Offset,
    max: Option<u32>,
    wait: Option<Span>,
}

impl Log {
    /// Makes an empty log.
    pub fn new(settings: &Settings, clock: Clock, faults: Faults) -> Self {
        let interval = settings
            .appends_per_second
            .map_or(Duration::ZERO, |rate| Duration::from_secs(1) / rate.max(1));
        Self {
            store: Arc::new(Mutex::new(Store::new(settings.retention))),
            appended: watch::Sender::new(()),
            pace: Arc::new(Mutex::new(Instant::now())),
            interval,
            delay: settings.append_delay,
            clock,
            faults,
        }
    }

    /// Returns what each caller appended.
    pub fn counts(&self) -> BTreeMap<String, Count> {
        self.with(|store| store.counts().clone())
    }

    /// Drops the records of a stream before an offset.
    pub fn truncate(&self, stream: &str, before: Offset) {
        self.with(|store| store.truncate(stream, before));
    }

    fn with<T>(&self, act: impl FnOnce(&mut Store) -> T) -> T {
        act(&mut self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Waits for this append's turn where the rate is bounded.
    async fn pace(&self) {
        if self.interval.is_zero() {
            return;
        }
        let turn = {
            let mut next = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
            let turn = (*next).max(Instant::now());
            *next = turn + self.interval;
            turn
        };
        sleep_until(turn).await;
    }

    /// Reads once there is something, the wait is over or the log goes down.
    async fn poll(&self, stream: &str, asked: &Asked) -> Result<Page, Error> {
        let wait = asked.wait.map_or(Duration::ZERO, Span::get).min(MAX_WAIT);
        let max = asked.max.unwrap_or(MAX_RECORDS).min(MAX_RECORDS);
        let until = Instant::now() + wait;
        let mut appended = self.appended.subscribe();
        loop {
            appended.borrow_and_update();
            let now = self.clock.now();
            let page = self.with(|store| store.read(now, stream, asked.from, max))?;
            if !page.records.is_empty() || Instant::now() >= until {
                return Ok(page);
            }
            // After the wait one last read gives the page.
            let _ = timeout_at(until, appended.changed()).await;
        }
    }
}

/// Appends the records of the body.
pub(crate) async fn append(
    State(log): State<Log>,
    ConnectInfo(cut): ConnectInfo<Cut>,
    Path(stream): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let caller = caller(&headers);
    if let Some(refusal) = disturb(&log, &cut, &caller).await {
        return refusal;
    }
    log.pace().await;
    pause(log.delay).await;
    let appended = decode(body).and_then(|records| {
        let now = log.clock.now();
        log.with(|store| store.append(now, &caller, &stream, records))
    });
    log.appended.send_replace(());
    if log.faults.loses_answer() {
        cut.cut();
    }
    match appended {
        Ok(first) => Json(json!({ "first": first })).into_response(),
        Err(error) => refuse(error),
    }
}

/// Answers with a page of records.
pub(crate) async fn read(
    State(log): State<Log>,
    ConnectInfo(cut): ConnectInfo<Cut>,
    Path(stream): Path<String>,
    Query(asked): Query<Asked>,
    headers: HeaderMap,
) -> Response {
    let caller = caller(&headers);
    if let Some(refusal) = disturb(&log, &cut, &caller).await {
        return refusal;
    }
    let page = log.poll(&stream, &asked).await;
    if let Call::Down = log.faults.log(&caller) {
        return down();
    }
    match page {
        Ok(page) => {
            let place = [
                ("log-next", page.next.to_string()),
                ("log-end", page.end.to_string()),
            ];
            (place, encode(&page.records)).into_response()
        }
        Err(error) => refuse(error),
    }
}

/// Applies the faults that come before the effect; returns an answer where the call ends there.
async fn disturb(log: &Log, cut: &Cut, caller: &str) -> Option<Response> {
    match log.faults.log(caller) {
        Call::Down => return Some(down()),
        Call::Denied => {
            cut.cut();
            return Some(down());
        }
        Call::Passes { delay } => pause(delay).await,
    }
    if log.faults.loses_request() {
        cut.cut();
        return Some(down());
    }
    None
}

fn caller(headers: &HeaderMap) -> String {
    headers
        .get("fulmarpier-node")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("unnamed")
        .to_owned()
}

fn down() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "the log is down").into_response()
}

fn refuse(error: Error) -> Response {
    match error {
        Error::Truncated { earliest } => {
            (StatusCode::GONE, Json(json!({ "earliest": earliest }))).into_response()
        }
        Error::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, error.to_string()).into_response(),
        Error::Malformed => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}
