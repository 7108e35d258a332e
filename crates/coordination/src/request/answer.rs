//! What was asked and what was answered.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

/// A digest over the method, path and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 32]);

/// A kept answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, empty where there was none.
    pub content_type: String,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the bytes that the answer takes in memory and on the log, roughly.
    pub fn size(&self) -> usize {
        self.content_type.len() + self.body.len() + size_of::<u16>()
    }
}
