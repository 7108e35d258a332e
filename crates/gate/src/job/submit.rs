//! Submitting a job to the owner of its shard.

use std::time::Duration;

use fulmarpier_coordination::retry::Backoff;
use fulmarpier_protocol::{
    http::job::Submission,
    wire::{
        Answer, Call,
        submit::{
            Reply,
            Request, //
        },
    },
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        JobId,
        ShardId, //
    },
    job::Spec,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use rand::{
    random,
    rng, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    home::{
        fresh,
        home, //
    },
    place::place,
};
use crate::{
    app::App,
    forward::{
        Miss,
        ask_owner, //
    },
    metrics::Retry,
};

/// Whether a submitted job is new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// Its record is in the log.
    Accepted(JobId),
    /// The same job was accepted before.
    Known(JobId),
}

/// Submits a job, again with the same id where an answer is lost.
///
/// # Errors
///
/// The outcome of the refusal is `not_run` only where the shard's owner refused the job, or where its
/// id is new and no call can have taken effect.
pub async fn submit(
    app: &App,
    submission: Submission,
    deadline: Timestamp,
) -> Result<Submitted, Refusal> {
    let Submission { id, spec } = submission;
    let (id, shard, untold) = match id {
        // An earlier submission of this id may have been accepted.
        Some(id) => (id, home_of(app, id)?, Outcome::Unknown),
        None => {
            let shard = choose(app, &spec, deadline).await?;
            let now = Duration::from_micros(app.now().as_micros());
            (fresh(shard, now, random()), shard, Outcome::NotRun)
        }
    };
    let call = Call::Submit(Request { shard, id, spec });
    match send(app, shard, &call, deadline, untold).await? {
        Reply::Accepted => Ok(Submitted::Accepted(id)),
        Reply::Known => Ok(Submitted::Known(id)),
        Reply::Refused(refusal) => Err(refusal),
        Reply::Elsewhere(_) => Err(unexpected()),
    }
}

/// Sends a submission until it is settled; `untold` is the outcome while no call was lost.
///
/// The id makes it idempotent, so it is sent again also where the owner can't tell what became of it.
async fn send(
    app: &App,
    shard: ShardId,
    call: &Call,
    deadline: Timestamp,
    untold: Outcome,
) -> Result<Reply, Refusal> {
    let mut backoff = Backoff::new(random());
    let mut outcome = untold;
    // An attempt that was lost may still be kept, whatever a later one is told.
    let mut is_unsettled = false;
    loop {
        let unsettled = match ask_owner(app, shard, call, deadline).await {
            Ok(Answer::Submit(Reply::Refused(refusal))) if refusal.outcome == Outcome::Unknown => {
                refusal
            }
            Ok(Answer::Submit(Reply::Refused(refusal))) if is_unsettled => {
                return Ok(Reply::Refused(refusal.outcome(Outcome::Unknown)));
            }
            Ok(Answer::Submit(reply)) => return Ok(reply),
            Ok(_) => return Err(unexpected()),
            Err(miss @ Miss::NoOwner { .. }) => return Err(miss.refusal().outcome(outcome)),
            Err(miss @ Miss::Lost { .. }) => miss.refusal(),
        };
        outcome = Outcome::Unknown;
        is_unsettled = true;
        app.metrics.retried(Retry::AnswerLost);
        let none = Duration::ZERO;
        match backoff.next(app.now(), deadline, none, none) {
            Some(pause) => sleep(pause).await,
            None => return Err(unsettled.outcome(outcome)),
        }
    }
}

fn home_of(app: &App, id: JobId) -> Result<ShardId, Refusal> {
    let shards = app.view.borrow().shards.clone();
    home(id, &shards).ok_or_else(|| Refusal::new(Reason::Internal, "the region has no shards"))
}

/// Chooses a shard, and waits for one with an owner as long as the deadline allows.
async fn choose(app: &App, spec: &Spec, deadline: Timestamp) -> Result<ShardId, Refusal> {
    let mut views = app.view.clone();
    let left = app.now().until(deadline);
    let owned = views.wait_for(|view| !view.owners.is_empty());
    let view = match timeout(left, owned).await {
        Ok(Ok(view)) => view.clone(),
        _ => return Err(nobody(app)),
    };
    let shard = place(spec, view.owners.values(), &mut rng());
    shard.ok_or_else(|| nobody(app))
}

fn nobody(app: &App) -> Refusal {
    let refusal = Refusal::new(Reason::NoOwner, "no shard has an owner that can be reached");
    refusal.retry_after(app.settings.sync_interval.get())
}

fn unexpected() -> Refusal {
    let refusal = Refusal::new(Reason::Internal, "the sched answered another call");
    refusal.outcome(Outcome::Unknown)
}
