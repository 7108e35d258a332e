//! The way of a target's answer back to the caller: whole, or visibly cut.

use std::sync::Arc;

use axum::{
    body::Body,
    http::header::CONTENT_LENGTH,
    response::Response, //
};
use bytes::Bytes;
use fulmarpier_coordination::{
    credit::End,
    platform::target::{
        self,
        Error, //
    },
};
use fulmarpier_protocol::http::header;
use fulmarpier_state::refusal::Outcome;
use fulmarpier_transport::platform::target::{
    Answer,
    AnswerBody,
    HeaderMap,
    StatusCode, //
};
use futures::{
    StreamExt,
    stream, //
};
use tokio::sync::mpsc;

use crate::{
    app::App,
    http::answer::{
        self,
        Timing, //
    },
    slot::Held,
};

/// Answers up to this many bytes are read whole before anything of them is passed on, so that a cut
/// can still be answered by a problem.
pub(super) const KEEP: u64 = 64 * 1024;

/// How many pieces of a long answer may wait for a slow caller.
const PIECES: usize = 8;

/// The body of an answer on its way to the caller.
#[derive(Debug)]
pub(super) enum Content {
    /// The whole body.
    Whole(Bytes),
    /// A long body, or one of unknown length, as it arrives.
    Streamed(AnswerBody),
}

/// An answer that can be passed on.
#[derive(Debug)]
pub(super) struct Delivery {
    /// The status.
    pub(super) status: StatusCode,
    /// The headers.
    pub(super) headers: HeaderMap,
    /// The body.
    pub(super) content: Content,
}

impl Delivery {
    /// Reads an answer as far as it is to be read before it is passed on.
    ///
    /// # Errors
    ///
    /// Fails where a short answer doesn't arrive whole.
    pub(super) async fn receive(answer: Answer) -> Result<Self, Error> {
        let status = answer.status;
        let headers = answer.headers.clone();
        let is_short = length(&headers).is_some_and(|length| length <= KEEP);
        let content = if is_short || is_bodiless(status) {
            Content::Whole(answer.collect().await?)
        } else {
            Content::Streamed(answer.body)
        };
        Ok(Self {
            status,
            headers,
            content,
        })
    }
}

/// Makes the caller's response of an ordinary answer; the slot is put back at the target's end.
pub(super) fn respond(
    app: &Arc<App>,
    delivery: Delivery,
    mut held: Held,
    timing: Timing,
) -> Response {
    let target = held.target();
    let content = match delivery.content {
        Content::Whole(bytes) => {
            held.ended(End::Answered);
            bytes.into()
        }
        Content::Streamed(body) => stream(app, body, move |whole| {
            if whole {
                held.ended(End::Answered);
            }
        }),
    };
    let mut response = assemble(delivery.status, delivery.headers, content, target);
    answer::time(&mut response, timing);
    response
}

/// Puts a response together from what a target sent.
pub(super) fn assemble(
    status: StatusCode,
    headers: HeaderMap,
    body: Body,
    target: Option<target::Id>,
) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    answer::state(&mut response, Outcome::Ran);
    if let Some(target) = target {
        let value = answer::visible(&target.to_string());
        response.headers_mut().insert(header::TARGET, value);
    }
    response
}

/// Passes a long answer on while it arrives.
///
/// A cut answer ends the returned body with an error, which makes the server abort the caller's
/// connection. The rest is read even where the caller has left, so that it is known when the target
/// is done; `done` then learns whether the answer was whole.
pub(super) fn stream(
    app: &Arc<App>,
    mut body: AnswerBody,
    done: impl FnOnce(bool) + Send + 'static,
) -> Body {
    let (pieces, received) = mpsc::channel(PIECES);
    app.tasks.spawn(async move {
        let mut whole = true;
        while let Some(piece) = body.next().await {
            whole = piece.is_ok();
            // The caller may have left.
            let _ = pieces.send(piece).await;
        }
        done(whole);
    });
    let pieces = stream::unfold(received, |mut received| async move {
        let piece = received.recv().await?;
        Some((piece, received))
    });
    Body::from_stream(pieces)
}

fn length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn is_bodiless(status: StatusCode) -> bool {
    status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED
}
