//! Asking for a job, and cancelling one.

use std::{
    collections::BTreeSet,
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
    id::{
        JobId,
        ShardId, //
    },
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
use tokio::time::sleep;

use super::home::home;
use crate::{
    app::App,
    metrics::Retry, //
};

/// How much longer than the asked for wait an answer may take.
const MARGIN: Duration = Duration::from_secs(2);
/// How long to wait before asking again for a job whose shard is between two owners.
const PAUSE: Duration = Duration::from_millis(100);

/// What a sched says of a job.
enum Said<T> {
    /// It has the job.
    Found(T),
    /// It does not, and can tell so for these shards.
    Unknown(Vec<ShardId>),
    /// The answer belongs to another call.
    Stray,
}

/// Asks for a job and waits for its end up to `wait`.
///
/// # Errors
///
/// Refuses a job that no shard has, and says so where not all shards could be asked.
pub async fn query(app: &App, id: JobId, wait: Duration) -> Result<Bytes, Refusal> {
    let until = app.now() + wait;
    let call = |wait| Call::Job(job::Request { id, wait });
    let said = |answer| match answer {
        Answer::Job(job::Reply::Found(json)) => Said::Found(json),
        Answer::Job(job::Reply::Unknown { settled }) => Said::Unknown(settled),
        _ => Said::Stray,
    };
    let mut left = wait;
    loop {
        match search(app, id, &call(left), left + MARGIN, said).await {
            Some(found) => return found,
            None if app.now() >= until + MARGIN => return Err(untold(app)),
            None => pause(app).await,
        }
        left = app.now().until(until);
    }
}

/// Cancels a job.
///
/// # Errors
///
/// As [`query`], and where the owner refuses.
pub async fn cancel(app: &App, id: JobId) -> Result<(), Refusal> {
    let until = app.now() + MARGIN;
    let call = Call::Cancel(cancel::Request { id });
    let said = |answer| match answer {
        Answer::Cancel(cancel::Reply::Found(reply)) => Said::Found(reply),
        Answer::Cancel(cancel::Reply::Unknown { settled }) => Said::Unknown(settled),
        _ => Said::Stray,
    };
    loop {
        let found = match search(app, id, &call, MARGIN, said).await {
            Some(found) => found?,
            None if app.now() >= until => return Err(untold(app)),
            None => {
                pause(app).await;
                continue;
            }
        };
        return match found {
            submit::Reply::Refused(refusal) => Err(refusal),
            submit::Reply::Accepted | submit::Reply::Known => Ok(()),
            submit::Reply::Elsewhere(_) => Err(untold(app)),
        };
    }
}

async fn pause(app: &App) {
    app.metrics.retried(Retry::NoOwner);
    app.control.refresh();
    sleep(PAUSE).await;
}

/// Asks the sched where the job should be, then all others.
///
/// `None` where a shard that might have the job could not be asked.
async fn search<T>(
    app: &App,
    id: JobId,
    call: &Call,
    timeout: Duration,
    said: impl Fn(Answer) -> Said<T>,
) -> Option<Result<T, Refusal>> {
    let view = app.view.borrow().clone();
    let mut untold: BTreeSet<ShardId> = view.shards.iter().copied().collect();
    let shard = home(id, &view.shards);
    let first = shard.and_then(|shard| view.owner(shard));
    if let Some((_, address)) = first {
        let answer = app.rpc.call(address, call.clone(), timeout).await;
        if let Some(found) = hear(answer.ok().map(&said), &mut untold) {
            return Some(Ok(found));
        }
    }
    let is_other = |address: &SocketAddr| first.is_none_or(|(_, first)| first != *address);
    let others = view.scheds.values().map(|sched| sched.address);
    let mut answers: FuturesUnordered<_> = others
        .filter(is_other)
        .map(|address| app.rpc.call(address, call.clone(), timeout))
        .collect();
    while let Some(answer) = answers.next().await {
        if let Some(found) = hear(answer.ok().map(&said), &mut untold) {
            return Some(Ok(found));
        }
    }
    untold.is_empty().then(|| Err(unknown(id)))
}

/// Takes what a sched says; the shards that it speaks for are told.
fn hear<T>(said: Option<Said<T>>, untold: &mut BTreeSet<ShardId>) -> Option<T> {
    match said {
        Some(Said::Found(found)) => Some(found),
        Some(Said::Unknown(settled)) => {
            untold.retain(|shard| !settled.contains(shard));
            None
        }
        Some(Said::Stray) | None => None,
    }
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
