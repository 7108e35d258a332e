//! Answers the requests of nodes to the owner.

use std::time::Duration;

use fulmarpier_cell::id::JobId;
use tokio::time::Instant;

use super::engine_actor::{
    Event,
    JobQuery,
    PendingQuery, //
};
use crate::{
    message::{
        Reply,
        Request,
        UnknownJob, //
    },
    platform::Platform,
    shared::EngineHandle, //
};

/// How long a request waits until the owner has read what the answer depends on; nodes give the
/// owner 0.6 s to answer.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(450);
/// How old a count may be. Callers of the platform are told that counts may be 2 s old, and each
/// partition is read at least every 2 s while the store answers.
const MAX_COUNT_AGE: Duration = Duration::from_millis(2_500);

/// Handles a notification or a query from a node; `None` if the owner can't answer.
pub(crate) async fn handle_request<P: Platform>(
    engine: &EngineHandle<P>,
    request: Request,
) -> Option<Reply> {
    match request {
        Request::Accepted(accepted) => {
            engine.read_progress.note_accepted(accepted.job);
            notify(engine, Event::Accepted(accepted)).await
        }
        Request::Announced(accepted) => notify(engine, Event::Announced(accepted)).await,
        Request::Withdrawn(job) => notify(engine, Event::Withdrawn(job)).await,
        Request::Cancelled(cancelled) => notify(engine, Event::Cancelled(cancelled)).await,
        Request::Reports(reports) => notify(engine, Event::Reports(reports)).await,
        Request::JobState {
            job,
            workspace,
            elapsed,
        } => query_job(engine, JobQuery { job, workspace }, elapsed).await,
        Request::Pending(queue, workspace) => {
            count_pending(engine, PendingQuery { queue, workspace }).await
        }
        Request::IsAccepted(job) => is_accepted(engine, job).await,
        _ => None,
    }
}

/// Tells whether a job was accepted; `None` if that isn't known in time.
///
/// The actor isn't asked: this is for callers that are refused because it has too much to do.
async fn is_accepted<P: Platform>(engine: &EngineHandle<P>, job: JobId) -> Option<Reply> {
    let progress = &engine.read_progress;
    let is_accepted = || progress.is_accepted(job) || progress.is_unreadable(job);
    if is_accepted() {
        return Some(Reply::Ack);
    }
    if !progress
        .wait_until_read(Instant::now(), CATCH_UP_TIMEOUT)
        .await
    {
        return None;
    }
    Some(match is_accepted() {
        true => Reply::Ack,
        false => Reply::NotAccepted,
    })
}

/// Sends the actor an event, behind all events sent before.
async fn notify<P: Platform>(engine: &EngineHandle<P>, event: Event) -> Option<Reply> {
    engine.actor.tell(event).await.ok()?;
    Some(Reply::Ack)
}

/// Looks up a job. Reports it as unknown only once everything that was stored when the caller asked
/// has been read.
async fn query_job<P: Platform>(
    engine: &EngineHandle<P>,
    query: JobQuery,
    elapsed: Duration,
) -> Option<Reply> {
    let required_time = Instant::now().checked_sub(elapsed)?;
    let job = query.job;
    let found = engine.actor.ask(query.clone()).await.ok()?;
    if let Some(state) = found.state {
        return Some(Reply::State(state));
    }
    if !engine
        .read_progress
        .wait_until_read(required_time, CATCH_UP_TIMEOUT)
        .await
    {
        return None;
    }
    let found = engine.actor.ask(query).await.ok()?;
    match found.state {
        Some(state) => Some(Reply::State(state)),
        None if engine.read_progress.is_unreadable(job) => None,
        None => Some(Reply::UnknownJob(UnknownJob {
            epoch: found.epoch,
            max_staleness: engine.read_progress.age(),
        })),
    }
}

/// Counts the pending jobs of a queue, as of a time at most [`MAX_COUNT_AGE`] ago.
async fn count_pending<P: Platform>(
    engine: &EngineHandle<P>,
    query: PendingQuery,
) -> Option<Reply> {
    let required_time = Instant::now().checked_sub(MAX_COUNT_AGE)?;
    if !engine
        .read_progress
        .wait_until_read(required_time, CATCH_UP_TIMEOUT)
        .await
    {
        return None;
    }
    let count = engine.actor.ask(query).await.ok()?;
    Some(Reply::Pending(count))
}
