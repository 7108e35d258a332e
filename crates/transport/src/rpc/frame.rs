//! The memory that messages take while they arrive.
//!
//! The RPC library makes room for a whole message as soon as its head says how long it is, before the rest has come. So
//! the head is read here first, and the room accounted for.
//!
//! A message is a head and its segments. The head is a number of segments less one and the length of each in words, all
//! in four bytes, little-endian, filled up to a whole word (Cap'n Proto's encoding, "Serialization Over a Stream").

use std::{
    io,
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use tokio::io::{
    AsyncRead,
    ReadBuf, //
};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::crowd::Membership;

/// The bytes of a word.
const WORD: u64 = 8;
/// The bytes of a number in a head.
const NUMBER: usize = 4;
/// The most segments that the RPC library takes.
const MAX_SEGMENTS: usize = 512;

/// Where in a message a stream is.
#[derive(Debug)]
enum Place {
    /// In a head, of which this much has come.
    Head(Vec<u8>),
    /// In the segments, of which so many bytes are to come.
    Segments(u64),
}

/// Finds the heads in a stream of messages.
#[derive(Debug)]
struct Frames(Place);

/// What became known of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The segments of a message that begins have this many bytes.
    Begin(u64),
    /// A message is whole.
    End,
}

impl Frames {
    const fn new() -> Self {
        Self(Place::Head(Vec::new()))
    }

    /// Goes on over some of the bytes; returns the rest, and what became known.
    fn advance<'a>(&mut self, bytes: &'a [u8]) -> io::Result<(&'a [u8], Option<Event>)> {
        match &mut self.0 {
            Place::Head(head) => {
                let missing = head_length(head)? - head.len();
                let (first, rest) = bytes.split_at(missing.min(bytes.len()));
                head.extend_from_slice(first);
                if head.len() < head_length(head)? {
                    return Ok((rest, None));
                }
                let length = segments_length(head);
                self.0 = Place::Segments(length);
                Ok((rest, Some(Event::Begin(length))))
            }
            Place::Segments(left) => {
                let count = usize::try_from(*left)
                    .unwrap_or(usize::MAX)
                    .min(bytes.len());
                *left -= count as u64;
                if *left > 0 {
                    return Ok((&bytes[count..], None));
                }
                self.0 = Place::Head(Vec::new());
                Ok((&bytes[count..], Some(Event::End)))
            }
        }
    }
}

/// Returns the number at a place of a head.
fn number(head: &[u8], index: usize) -> Option<u32> {
    let bytes = head.get(index * NUMBER..(index + 1) * NUMBER)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}

/// Returns how long a head is as far as is known.
fn head_length(head: &[u8]) -> io::Result<usize> {
    let Some(last) = number(head, 0) else {
        return Ok(NUMBER);
    };
    let segments = usize::try_from(last)
        .unwrap_or(usize::MAX)
        .saturating_add(1);
    if segments >= MAX_SEGMENTS {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(((segments + 1) * NUMBER).next_multiple_of(2 * NUMBER))
}

/// Returns how many bytes follow a whole head.
fn segments_length(head: &[u8]) -> u64 {
    let segments = number(head, 0).map_or(0, |last| last as usize + 1);
    let words = (1..=segments).filter_map(|index| number(head, index));
    words.map(u64::from).sum::<u64>() * WORD
}

/// A reader that accounts for the messages that arrive, and fails where there is no room for one or its connection has
/// to go. The calls on the connection may have been run.
pub(super) struct Accounted<T> {
    inner: T,
    frames: Frames,
    membership: Membership,
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl<T> Accounted<T> {
    pub(super) fn new(inner: T, membership: Membership) -> Self {
        let ended = membership.member().end().clone().cancelled_owned();
        Self {
            inner,
            frames: Frames::new(),
            membership,
            ended: Box::pin(ended),
        }
    }

    fn account(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let member = self.membership.member();
        while !bytes.is_empty() {
            let (rest, event) = self.frames.advance(bytes)?;
            bytes = rest;
            match event {
                Some(Event::Begin(length)) if !member.hold(length) => return Err(lost()),
                Some(Event::End) => member.release(0),
                Some(Event::Begin(_)) | None => {}
            }
        }
        member.progress();
        Ok(())
    }
}

fn lost() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

impl<T: AsyncRead + Unpin> AsyncRead for Accounted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ended.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(lost()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.account(&buf.filled()[before..])?;
        Poll::Ready(Ok(()))
    }
}
