//! One run: arrivals sent on time, progress each second, a report at the end.

use std::{
    io,
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

use fulmarpier_protocol::settings::load::Load as Settings;
use reqwest::Client;
use tokio::{
    sync::{
        Semaphore,
        mpsc, //
    },
    time::{
        MissedTickBehavior,
        interval,
        sleep_until, //
    },
};

use crate::{
    arrival::Arrivals,
    balancer::Balancer,
    call::Call,
    caller::Caller,
    control, prepare,
    progress::Progress,
    record::{
        self,
        Record, //
    },
    report::Report,
};

/// The most calls that are open at once; further ones count as unsent.
const MOST_OPEN: usize = 20_000;
/// How long idle connections to gates are kept.
const IDLE: Duration = Duration::from_secs(60);
/// How long to wait for a connection to a gate.
const CONNECT: Duration = Duration::from_secs(2);

/// The ways in which a run can fail, apart from what it finds.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The HTTP client can't be set up.
    #[error("the HTTP client can't be set up")]
    Client(#[from] reqwest::Error),
    /// The cluster could not be prepared.
    #[error(transparent)]
    Prepare(#[from] prepare::Error),
    /// The record can't be read.
    #[error(transparent)]
    Record(#[from] record::Error),
    /// The report can't be written.
    #[error("the report can't be written")]
    Write(#[from] io::Error),
}

/// Prepares the cluster, offers the load, and reports.
///
/// `progress` is called with a line each second.
///
/// # Errors
///
/// Fails where the cluster can't be prepared or the record can't be read. Violations are no failure
/// of the run; see [`Report::holds`].
pub async fn run(settings: Settings, progress: impl Fn(&str)) -> Result<Report, Error> {
    let settings = Arc::new(settings);
    let http = Client::builder()
        .connect_timeout(CONNECT)
        .pool_idle_timeout(IDLE)
        .no_proxy()
        .tcp_nodelay(true)
        .build()?;
    let job = prepare::prepare(&http, &settings).await?;
    let before = control::bytes(&http, &settings.gates).await;
    let calls = offer(&http, &settings, progress).await;
    let after = control::bytes(&http, &settings.gates).await;
    let record = Record::fetch(&http, &settings.standin).await?;
    prepare::clear(&http, &settings, job).await?;
    let control_bytes = after.saturating_sub(before);
    Ok(Report::new(&settings, &calls, &record, control_bytes))
}

/// Sends every call at its time, whatever became of the earlier ones.
async fn offer(http: &Client, settings: &Arc<Settings>, progress: impl Fn(&str)) -> Vec<Call> {
    let origin = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let balancer = Balancer::new(&settings.gates);
    let watching = tokio::spawn(balancer.clone().watch(http.clone()));
    let caller = Caller::new(http.clone(), balancer, settings.clone(), origin);
    let (done, mut calls) = mpsc::unbounded_channel();
    let sending = tokio::spawn(send(
        caller,
        Arrivals::new(settings, origin),
        settings.duration.get(),
        done,
    ));
    let mut seen = Progress::new(settings.rate);
    let mut all = Vec::new();
    let mut seconds = interval(Duration::from_secs(1));
    seconds.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            call = calls.recv() => {
                let Some(call) = call else { break };
                seen.note(&call);
                all.push(call);
            }
            _ = seconds.tick() => progress(&seen.line()),
        }
    }
    // The sender ends before the last call does.
    let _ = sending.await;
    watching.abort();
    all
}

async fn send(
    caller: Caller,
    arrivals: Arrivals,
    duration: Duration,
    done: mpsc::UnboundedSender<Call>,
) {
    let open = Arc::new(Semaphore::new(MOST_OPEN));
    for arrival in arrivals.take_while(|arrival| arrival.at < duration) {
        sleep_until(caller.due(&arrival)).await;
        let Ok(permit) = open.clone().try_acquire_owned() else {
            // The receiver lives until all senders are gone.
            let _ = done.send(caller.unsent(&arrival));
            continue;
        };
        let caller = caller.clone();
        let done = done.clone();
        tokio::spawn(async move {
            let call = caller.call(arrival).await;
            drop(permit);
            let _ = done.send(call);
        });
    }
}
