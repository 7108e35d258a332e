//! Answers that this process reads, bounded one by one and in sum.

use bytes::{
    Bytes,
    BytesMut, //
};
use reqwest::Response;

use crate::bound::Bound;

/// Why a call got no answer that can be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] reqwest::Error),
    /// The answer is over the limit of one, or there is no memory left for it. What was asked may have been done.
    #[error("the answer is too large")]
    TooLarge,
}

impl Error {
    /// Returns whether no connection was made, so that nothing was sent.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Call(error) if error.is_connect())
    }

    /// Returns whether the time for the call was over first.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::Call(error) if error.is_timeout())
    }
}

/// Reads a whole answer of up to `most` bytes, within what is held of all answers that are being read.
///
/// # Errors
///
/// Fails where the call fails, or the answer is too large.
pub async fn read(mut response: Response, most: usize, held: &Bound) -> Result<Bytes, Error> {
    let mut share = held.nothing();
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(piece) = response.chunk().await? {
        let is_held = share.grow(piece.len() as u64);
        if !is_held || first.len() + whole.len() + piece.len() > most {
            return Err(Error::TooLarge);
        }
        // Most answers come in one piece, which is not copied.
        match (first.is_empty(), whole.is_empty()) {
            (true, true) => first = piece,
            _ => {
                whole.extend_from_slice(&std::mem::take(&mut first));
                whole.extend_from_slice(&piece);
            }
        }
    }
    Ok(if whole.is_empty() {
        first
    } else {
        whole.freeze()
    })
}
