//! Calls to the owner of a shard, wherever it is.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::retry::Backoff;
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    begin,
    cancel,
    submit, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use fulmarpier_transport::rpc;
use rand::random;
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    app::App,
    control::View,
    metrics::Retry, //
};

/// How long to look for an owner at most; a takeover takes less.
const PATIENCE: Duration = Duration::from_secs(6);
/// The longest pause between two tries to reach an owner.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Why the owner of a shard gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Miss {
    /// No owner could be reached in time; nothing was done.
    #[error("{shard} has no owner that can be reached")]
    NoOwner {
        /// The shard.
        shard: ShardId,
    },
    /// A call may have taken effect and its answer was lost.
    #[error("the answer of the owner of {shard} was lost: {error}")]
    Lost {
        /// The shard.
        shard: ShardId,
        /// How the call failed.
        error: rpc::Error,
    },
}

impl Miss {
    /// Makes the refusal of work that was not sent anywhere; its outcome is `not_run`.
    pub fn refusal(&self) -> Refusal {
        let reason = match self {
            Self::NoOwner { .. } => Reason::NoOwner,
            Self::Lost { .. } => Reason::Internal,
        };
        Refusal::new(reason, self.to_string()).retry_after(LONGEST_PAUSE)
    }
}

/// Calls the owner of a shard, and waits for one as long as a takeover may take and the deadline
/// allows.
///
/// A call that certainly had no effect is made again; one whose answer was lost is not.
///
/// # Errors
///
/// [`Miss::NoOwner`] where nothing was done, [`Miss::Lost`] where that can't be told.
pub async fn ask_owner(
    app: &App,
    shard: ShardId,
    call: &Call,
    deadline: Timestamp,
) -> Result<Answer, Miss> {
    let mut backoff = Backoff::new(random()).most(LONGEST_PAUSE);
    let deadline = deadline.min(app.now() + PATIENCE);
    let mut hint = None;
    loop {
        let view = app.view.borrow().clone();
        let owner = hint.take().or_else(|| view.owner(shard));
        let left = app.now().until(deadline);
        let Some((_, address)) = owner else {
            app.metrics.retried(Retry::NoOwner);
            wait_for_change(app, &view, left).await;
            if app.now() >= deadline {
                return Err(Miss::NoOwner { shard });
            }
            continue;
        };
        match app.rpc.call(address, call.clone(), left).await {
            Ok(answer) => match turned_away(&answer) {
                Some(Away::To(node)) => hint = moved(app, &view, node),
                Some(Away::Nowhere) => app.metrics.retried(Retry::NoOwner),
                None => return Ok(answer),
            },
            Err(error) if error.not_run() => app.metrics.retried(Retry::SchedUnreachable),
            Err(error) => return Err(Miss::Lost { shard, error }),
        }
        app.control.refresh();
        let pause = backoff.next(app.now(), deadline, Duration::ZERO, Duration::ZERO);
        match pause {
            Some(pause) => sleep(pause).await,
            None => return Err(Miss::NoOwner { shard }),
        }
    }
}

/// Returns the owner that a sched pointed to.
fn moved(app: &App, view: &View, node: NodeId) -> Option<(NodeId, std::net::SocketAddr)> {
    app.metrics.retried(Retry::Moved);
    view.address(node).map(|address| (node, address))
}

/// Waits until something else is known of the scheds.
async fn wait_for_change(app: &App, known: &Arc<View>, longest: Duration) {
    app.control.refresh();
    let mut views = app.view.clone();
    let changed = views.wait_for(|view| !Arc::ptr_eq(view, known));
    // Without a change the caller finds that the time is over.
    let _ = timeout(longest.min(LONGEST_PAUSE), changed).await;
}

/// How a sched that isn't the owner answers; it did nothing.
enum Away {
    /// It points to the owner.
    To(NodeId),
    /// It knows of none at the moment.
    Nowhere,
}

fn turned_away(answer: &Answer) -> Option<Away> {
    match answer {
        Answer::Submit(submit::Reply::Elsewhere(node))
        | Answer::Begin(begin::Reply::Elsewhere(node))
        | Answer::Cancel(cancel::Reply::Found(submit::Reply::Elsewhere(node))) => {
            Some(Away::To(*node))
        }
        Answer::Submit(submit::Reply::Refused(refusal))
        | Answer::Begin(begin::Reply::Refused(refusal))
            if is_between_owners(refusal) =>
        {
            Some(Away::Nowhere)
        }
        _ => None,
    }
}

/// Tells whether a shard is on its way from one owner to another, so that asking again is of use.
fn is_between_owners(refusal: &Refusal) -> bool {
    let is_moving = matches!(refusal.reason, Reason::NoOwner | Reason::Draining);
    is_moving && refusal.outcome == Outcome::NotRun
}
