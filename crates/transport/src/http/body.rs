//! Bodies of requests as they arrive: within what is held for all clients, and in time.

use std::{
    error::Error as StdError,
    iter,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use axum::body::{
    Body,
    Bytes,
    HttpBody,
    to_bytes, //
};
use http_body_util::LengthLimitError;
use hyper::body::{
    Frame,
    SizeHint, //
};
use tokio::time::{
    Instant,
    Sleep,
    sleep_until, //
};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::crowd::{
    Limit,
    Member,
    Phase, //
};

/// What is held for a byte of a body: itself, and the copy that makes a whole of the pieces.
const COPIES: u64 = 2;
/// What is held for a piece of a body beside its bytes.
const PIECE: u64 = 128;
/// A piece that is shorter than this is copied, since it would keep the whole buffer that it was read into.
const OWN_BUFFER: usize = 4 << 10;

/// Why a body was not received whole. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// It is over the limit.
    #[error("the body is over the limit of {0} bytes")]
    TooLarge(usize),
    /// There is no memory for it at the moment.
    #[error("the memory for what callers send is used up")]
    NoMemory,
    /// It did not come in time.
    #[error("the body did not come in time")]
    Late,
    /// The caller stopped sending, or sent what is no body.
    #[error("the body ended before its time")]
    Broken,
}

/// A body that accounts for what it makes the process hold.
pub(super) struct Metered {
    body: Body,
    member: Arc<Member>,
    patience: Duration,
    /// When it must have come; it counts from the first look at the body.
    deadline: Option<Pin<Box<Sleep>>>,
    refused: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Metered {
    pub(super) fn new(body: Body, member: Arc<Member>, patience: Duration) -> Self {
        let refused = member.refusal().clone().cancelled_owned();
        member.set_partial(true);
        Self {
            body,
            member,
            patience,
            deadline: None,
            refused: Box::pin(refused),
        }
    }

    /// Fails once the request is refused or the body is late.
    fn check(&mut self, cx: &mut Context<'_>) -> Result<(), Refusal> {
        if self.refused.as_mut().poll(cx).is_ready() {
            return Err(Refusal::NoMemory);
        }
        let until = Instant::now() + self.patience;
        let deadline = self.deadline.get_or_insert_with(|| {
            self.member.enter(Phase::Receiving);
            Box::pin(sleep_until(until))
        });
        if deadline.as_mut().poll(cx).is_ready() {
            self.member.acted(Limit::Time);
            return Err(Refusal::Late);
        }
        Ok(())
    }

    fn keep(&self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, Refusal> {
        // Nobody reads trailers.
        let piece = frame.into_data().unwrap_or_default();
        self.member.progress();
        let held = piece.len() as u64 * COPIES + PIECE;
        match self.member.hold(held) {
            true if piece.len() < OWN_BUFFER => Ok(Frame::data(Bytes::copy_from_slice(&piece))),
            true => Ok(Frame::data(piece)),
            false => Err(Refusal::NoMemory),
        }
    }
}

impl Drop for Metered {
    fn drop(&mut self) {
        if self.deadline.is_some() {
            self.member.enter(Phase::Serving);
        }
    }
}

impl HttpBody for Metered {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        if let Err(refusal) = self.check(cx) {
            return Poll::Ready(Some(Err(axum::Error::new(refusal))));
        }
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        if self.body.is_end_stream() || frame.is_none() {
            self.member.set_partial(false);
            self.member.enter(Phase::Serving);
        }
        Poll::Ready(frame.map(|frame| self.keep(frame?).map_err(axum::Error::new)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The connection that a request came by; handlers extract it as `Extension<Caller>`.
#[derive(Clone, Debug)]
pub struct Caller(Arc<Member>);

impl Caller {
    pub(super) const fn new(member: Arc<Member>) -> Self {
        Self(member)
    }

    /// Says that what came of the request's body so far is no longer held.
    pub fn release(&self) {
        self.0.release(0);
    }
}

/// Receives a body of up to `most` bytes whole. One whose declared length is over that is refused without reading it.
///
/// # Errors
///
/// Fails where the body is over the limit, is not whole in time, or no memory is left for it.
pub async fn receive(body: Body, most: usize) -> Result<Bytes, Refusal> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > most {
        return Err(Refusal::TooLarge(most));
    }
    to_bytes(body, most).await.map_err(|error| {
        let is_over = causes(&error).any(|cause| cause.is::<LengthLimitError>());
        match is_over {
            true => Refusal::TooLarge(most),
            false => Refusal::of(&error),
        }
    })
}

impl Refusal {
    /// Returns why reading a body failed.
    pub fn of(error: &axum::Error) -> Self {
        let refusal = causes(error).find_map(|cause| cause.downcast_ref::<Self>());
        refusal.copied().unwrap_or(Self::Broken)
    }
}

/// Returns an error and what caused it.
fn causes(error: &axum::Error) -> impl Iterator<Item = &(dyn StdError + 'static)> {
    let first: &(dyn StdError + 'static) = error;
    iter::successors(Some(first), |error| StdError::source(*error))
}
