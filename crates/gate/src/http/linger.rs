//! Reading on behind a refusal, so that the caller gets to see it.
//!
//! A server that answers and closes while the caller still sends makes the caller's system reset the
//! connection, and the answer is lost with it (RFC 9112, section 9.6). So what is left of a body when
//! nobody wants it any more is read and thrown away, up to a bound, while the answer leaves.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use axum::{
    body::{
        Body,
        BodyDataStream,
        Bytes,
        HttpBody, //
    },
    extract::Request,
    middleware::Next,
    response::Response,
};
use futures::{
    Stream,
    StreamExt, //
};
use tokio::{
    runtime::Handle,
    time::timeout, //
};

/// The most bytes that are thrown away.
const MOST: usize = 16 << 20;
/// How long they may take to arrive.
const LONGEST: Duration = Duration::from_secs(5);

/// A body whose rest is thrown away when it is dropped.
struct Lingering(Option<BodyDataStream>);

impl Stream for Lingering {
    type Item = Result<Bytes, axum::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(body) = &mut self.0 else {
            return Poll::Ready(None);
        };
        let piece = body.poll_next_unpin(cx);
        if let Poll::Ready(None | Some(Err(_))) = piece {
            self.0 = None;
        }
        piece
    }
}

impl Drop for Lingering {
    fn drop(&mut self) {
        if let (Some(body), Ok(runtime)) = (self.0.take(), Handle::try_current()) {
            runtime.spawn(timeout(LONGEST, discard(body)));
        }
    }
}

/// Gives every request that has a body one whose rest is thrown away.
pub(super) async fn layer(request: Request, next: Next) -> Response {
    if request.body().is_end_stream() {
        return next.run(request).await;
    }
    let request = request.map(|body| {
        let lingering = Lingering(Some(body.into_data_stream()));
        Body::from_stream(lingering)
    });
    next.run(request).await
}

async fn discard(mut body: BodyDataStream) {
    let mut left = MOST;
    while let Some(Ok(piece)) = body.next().await {
        match left.checked_sub(piece.len()) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}
