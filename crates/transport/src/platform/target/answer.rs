//! The answer of a target, whole or an error.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use fulmarpier_coordination::platform::target::Error;
use futures::{
    Stream,
    StreamExt,
    stream::BoxStream, //
};
use reqwest::{
    StatusCode,
    header::HeaderMap, //
};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{
        Instant,
        Sleep,
        sleep_until, //
    },
};

/// The head of an answer, with its body still to come.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those that belong to one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}

impl Answer {
    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] where it does not arrive whole and in time.
    pub async fn collect(mut self) -> Result<Bytes, Error> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.body.next().await {
            whole.extend_from_slice(&piece?);
        }
        Ok(whole.freeze())
    }
}

/// The body of an answer as a stream of pieces.
///
/// It ends without an error only where the target's whole answer was read; one that is cut short or
/// late yields [`Error::Unknown`] as its last item.
pub struct Body {
    pieces: BoxStream<'static, reqwest::Result<Bytes>>,
    deadline: Pin<Box<Sleep>>,
    ended: bool,
    _permit: OwnedSemaphorePermit,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Body")
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl Body {
    pub(super) fn new(
        response: reqwest::Response,
        deadline: Instant,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        Self {
            pieces: response.bytes_stream().boxed(),
            deadline: Box::pin(sleep_until(deadline)),
            ended: false,
            _permit: permit,
        }
    }

    fn fail(&mut self) -> Poll<Option<Result<Bytes, Error>>> {
        self.ended = true;
        Poll::Ready(Some(Err(Error::Unknown)))
    }
}

impl Stream for Body {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if let Poll::Ready(piece) = self.pieces.poll_next_unpin(cx) {
            return match piece {
                Some(Ok(bytes)) => Poll::Ready(Some(Ok(bytes))),
                Some(Err(_)) => self.fail(),
                None => {
                    self.ended = true;
                    Poll::Ready(None)
                }
            };
        }
        ready!(self.deadline.as_mut().poll(cx));
        self.fail()
    }
}
