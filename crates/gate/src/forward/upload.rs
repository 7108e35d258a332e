//! The body of a caller's request: kept where it is small, streamed where it is not.

use std::sync::{
    Arc,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};

use axum::body::{
    Body,
    BodyDataStream, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use fulmarpier_state::{
    refusal::{
        Reason,
        Refusal, //
    },
    unit,
};
use fulmarpier_transport::{
    bound::{
        Bound,
        Share, //
    },
    http::{
        self,
        Caller, //
    },
    platform::target,
};
use futures::{
    StreamExt,
    future,
    stream, //
};

use crate::load::no_memory;

/// How much of a body is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bodies up to this many bytes are kept, so that they can be sent again.
    pub keep: usize,
    /// The largest body that is taken at all.
    pub most: unit::Bytes,
}

/// The body of a request, as it can be sent to a target.
#[derive(Debug)]
pub enum Upload {
    /// A small body; it can be sent again.
    Whole(Kept),
    /// A large body; it can be sent once.
    Streamed(Streamed),
}

/// A body in memory, with its share of what the gate holds of bodies.
#[derive(Debug)]
pub struct Kept {
    /// The whole body.
    pub bytes: Bytes,
    _share: Share,
}

/// A body that arrives while it is sent.
#[derive(Debug)]
pub struct Streamed {
    first: Bytes,
    rest: BodyDataStream,
    caller: Option<Caller>,
    most: u64,
    over: Arc<AtomicBool>,
}

/// Tells why a streamed body was cut off.
#[derive(Clone, Debug, Default)]
pub struct Cut(Arc<AtomicBool>);

/// The ways in which a streamed body can end too early.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    /// It is over the limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// The caller stopped sending.
    #[error("the caller's body was cut")]
    Caller(#[source] axum::Error),
}

impl Cut {
    /// Tells whether the body was cut off because it is over the limit.
    pub fn is_too_large(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Upload {
    /// Reads a body up to the size that is kept, within what the gate may hold of bodies. What is streamed is given back
    /// to its `caller`, where there is one.
    ///
    /// # Errors
    ///
    /// Refuses a body that its length or its bytes show to be over the limit, one that was cut, and
    /// one for which there is no memory at the moment.
    pub async fn read(
        body: Body,
        length: Option<u64>,
        limits: Limits,
        memory: &Bound,
        caller: Option<Caller>,
    ) -> Result<Self, Refusal> {
        let most = limits.most.get();
        if length.is_some_and(|length| length > most) {
            return Err(too_large(limits.most));
        }
        let mut share = memory.take(0).ok_or_else(no_memory)?;
        let mut rest = body.into_data_stream();
        let mut first = BytesMut::new();
        while first.len() <= limits.keep {
            let Some(piece) = rest.next().await else {
                return Ok(Self::Whole(Kept {
                    bytes: first.freeze(),
                    _share: share,
                }));
            };
            let piece = piece.map_err(|error| refused(&error))?;
            if !share.grow(len(&piece)) {
                return Err(no_memory());
            }
            first.extend_from_slice(&piece);
            if len(&first) > most {
                return Err(too_large(limits.most));
            }
        }
        Ok(Self::Streamed(Streamed {
            first: first.freeze(),
            rest,
            caller,
            most,
            over: Arc::default(),
        }))
    }

    /// Reads the whole body, as for a digest.
    ///
    /// # Errors
    ///
    /// As [`Self::read`].
    pub async fn whole(
        body: Body,
        length: Option<u64>,
        limits: Limits,
        memory: &Bound,
    ) -> Result<Kept, Refusal> {
        let keep = usize::try_from(limits.most.get()).unwrap_or(usize::MAX);
        let all = Limits { keep, ..limits };
        match Self::read(body, length, all, memory, None).await? {
            Self::Whole(kept) => Ok(kept),
            // The body passes the size that is kept only where it passes the limit.
            Self::Streamed(_) => Err(too_large(limits.most)),
        }
    }

    /// Returns the body for one send, and what can be sent after it.
    pub fn take(self) -> (target::Body, Option<Self>, Cut) {
        match self {
            Self::Whole(kept) => (
                kept.bytes.clone().into(),
                Some(Self::Whole(kept)),
                Cut::default(),
            ),
            Self::Streamed(streamed) => {
                let cut = Cut(streamed.over.clone());
                (streamed.into_body(), None, cut)
            }
        }
    }
}

impl Streamed {
    fn into_body(self) -> target::Body {
        let mut seen = len(&self.first);
        let Self {
            most, over, caller, ..
        } = self;
        let rest = self.rest.map(move |piece| {
            let piece = piece.map_err(StreamError::Caller)?;
            // What came before it has been passed on.
            if let Some(caller) = &caller {
                caller.release();
            }
            seen = seen.saturating_add(len(&piece));
            if seen > most {
                over.store(true, Ordering::Relaxed);
                return Err(StreamError::TooLarge);
            }
            Ok(piece)
        });
        let first = stream::once(future::ready(Ok(self.first)));
        target::Body::wrap_stream(first.chain(rest))
    }
}

/// Makes the refusal of a body over the limit.
pub(super) fn too_large(most: unit::Bytes) -> Refusal {
    Refusal::new(Reason::BodyTooLarge, format!("the limit is {most}"))
}

/// Makes the refusal of a body that was not received whole.
fn refused(error: &axum::Error) -> Refusal {
    match http::Refusal::of(error) {
        http::Refusal::NoMemory => no_memory(),
        http::Refusal::Late => Refusal::new(Reason::Deadline, "the body did not arrive in time"),
        http::Refusal::TooLarge(_) | http::Refusal::Broken => {
            Refusal::new(Reason::Malformed, "the body ended before its time")
        }
    }
}

fn len(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
