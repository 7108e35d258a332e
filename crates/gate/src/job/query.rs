//! Asking for a job, and cancelling one.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    cancel,
    job,
    submit, //
};
use fulmarpier_state::{
    id::JobId,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};

use super::home::home;
use crate::app::App;

/// How much longer than the asked for wait an answer may take.
const MARGIN: Duration = Duration::from_secs(2);

/// Asks for a job and waits for its end up to `wait`.
///
/// # Errors
///
/// Refuses a job that no sched knows, and says so where not all scheds could be asked.
pub async fn query(app: &App, id: JobId, wait: Duration) -> Result<Bytes, Refusal> {
    let call = Call::Job(job::Request { id, wait });
    let found = |answer| match answer {
        Answer::Job(job::Reply::Found(json)) => Some(json),
        _ => None,
    };
    search(app, id, call, wait + MARGIN, found).await
}

/// Cancels a job.
///
/// # Errors
///
/// As [`query`], and where the owner refuses.
pub async fn cancel(app: &App, id: JobId) -> Result<(), Refusal> {
    let call = Call::Cancel(cancel::Request { id });
    let found = |answer| match answer {
        Answer::Cancel(cancel::Reply::Found(reply)) => Some(reply),
        _ => None,
    };
    match search(app, id, call, MARGIN, found).await? {
        submit::Reply::Refused(refusal) => Err(refusal),
        submit::Reply::Accepted | submit::Reply::Known => Ok(()),
        submit::Reply::Elsewhere(_) => Err(untold(app)),
    }
}

/// Asks the sched where the job should be, then all others.
async fn search<T>(
    app: &App,
    id: JobId,
    call: Call,
    timeout: Duration,
    found: impl Fn(Answer) -> Option<T>,
) -> Result<T, Refusal> {
    let view = app.view.borrow().clone();
    let shard = home(id, &view.shards);
    let first = shard.and_then(|shard| view.owner(shard));
    let mut told = true;
    if let Some((_, address)) = first {
        match app.rpc.call(address, call.clone(), timeout).await {
            Ok(answer) => {
                if let Some(value) = found(answer) {
                    return Ok(value);
                }
            }
            Err(_) => told = false,
        }
    }
    let is_other = |address: &SocketAddr| first.is_none_or(|(_, first)| first != *address);
    let others = view.scheds.values().map(|sched| sched.address);
    let mut answers: FuturesUnordered<_> = others
        .filter(is_other)
        .map(|address| app.rpc.call(address, call.clone(), timeout))
        .collect();
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(answer) => {
                if let Some(value) = found(answer) {
                    return Ok(value);
                }
            }
            Err(_) => told = false,
        }
    }
    Err(if told { unknown(id) } else { untold(app) })
}

/// Makes the refusal of a job that no sched knows; it may have run long ago.
fn unknown(id: JobId) -> Refusal {
    let refusal = Refusal::new(Reason::UnknownJob, format!("no sched knows the job {id}"));
    refusal.outcome(Outcome::Unknown)
}

/// Makes the refusal where some sched that might know the job gave no answer.
fn untold(app: &App) -> Refusal {
    let detail = "the sched that may know the job can't be asked at the moment";
    Refusal::new(Reason::NoOwner, detail)
        .outcome(Outcome::Unknown)
        .retry_after(app.settings.sync_interval.get())
}
