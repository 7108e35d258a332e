//! Reports to the home shard of a key how its request ended.

use std::{
    sync::Arc,
    time::Duration, //
};

use axum::http::header::CONTENT_TYPE;
use bytes::Bytes;
use fulmarpier_coordination::{
    request::{
        Answer as Kept,
        Key,
        Ticket, //
    },
    retry::Backoff,
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    finish, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::ShardId,
    refusal::Outcome, //
};
use fulmarpier_transport::platform::target::{
    HeaderMap,
    StatusCode, //
};
use rand::random;
use tokio::time::sleep;

use super::owner::{
    Miss,
    ask_owner, //
};
use crate::{
    app::App,
    metrics::Retry, //
};

/// Answers up to this many bytes are kept by the home shard, to be given again.
const KEEP: usize = 16 * 1024;
/// How long a report is tried; the home shard counts the request as unknown afterwards.
const LONGEST: Duration = Duration::from_secs(60);
/// The longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What names one granted request at its home shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Report {
    /// The key.
    pub(super) key: Key,
    /// Its home shard.
    pub(super) shard: ShardId,
    /// The ticket of the grant.
    pub(super) ticket: Ticket,
}

/// A report that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ended(finish::Request);

impl Report {
    /// Makes the report of an end without a kept answer.
    pub(super) fn end(&self, outcome: Outcome) -> Ended {
        Ended(finish::Request {
            key: self.key.clone(),
            shard: self.shard,
            ticket: self.ticket,
            outcome,
            answer: None,
        })
    }

    /// Makes the report of a whole answer, which is kept where it is small.
    pub(super) fn kept(&self, status: StatusCode, headers: &HeaderMap, body: &Bytes) -> Ended {
        let mut ended = self.end(Outcome::Ran);
        if body.len() <= KEEP {
            let content_type = headers.get(CONTENT_TYPE);
            let content_type = content_type.and_then(|value| value.to_str().ok());
            ended.0.answer = Some(Kept {
                status: status.as_u16(),
                content_type: content_type.unwrap_or_default().to_owned(),
                body: body.clone(),
            });
        }
        ended
    }
}

/// Reports an end behind the answer; a drain waits for it.
pub(super) fn report_later(app: &Arc<App>, ended: Ended) {
    let deadline = app.now() + LONGEST;
    let shared = app.clone();
    app.tasks.spawn(async move {
        report(&shared, ended, deadline).await;
    });
}

/// Reports an end, again and again until the home shard has it or the deadline has passed.
///
/// The ticket makes the report idempotent, so one whose answer was lost is sent again.
pub(super) async fn report(app: &App, ended: Ended, deadline: Timestamp) {
    let shard = ended.0.shard;
    let call = Call::Finish(ended.0);
    let mut backoff = Backoff::new(random()).most(LONGEST_PAUSE);
    loop {
        match ask_owner(app, shard, &call, deadline).await {
            Ok(Answer::Finish(reply)) => {
                if !reply.known {
                    slog::warn!(app.log, "finish unknown"; "shard" => %shard);
                }
                return;
            }
            Ok(_) | Err(Miss::NoOwner { .. }) => break,
            Err(Miss::Lost { .. }) => app.metrics.retried(Retry::AnswerLost),
        }
        let none = Duration::ZERO;
        match backoff.next(app.now(), deadline, none, none) {
            Some(pause) => sleep(pause).await,
            None => break,
        }
    }
    slog::warn!(app.log, "finish not reported"; "shard" => %shard);
}
