//! The envelope of a call between scheds.

use bytes::Bytes;
use fulmarpier_state::id::{
    NodeId,
    Offset, //
};
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use super::{
    hold,
    ownership,
    part, //
};
use crate::claim::Holder;

/// The version in front of each encoded message and reply.
const VERSION: u8 = 1;

/// A question from one sched to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who asks.
    pub from: Holder,
    /// Whom the asker believes to ask; the answer tells who was really there.
    pub to: NodeId,
    /// What is asked.
    pub question: Question,
}

/// What a sched asks another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// About the ownership of shards.
    Ownership(ownership::Question),
    /// About capacity held for a gang.
    Hold(hold::Question),
    /// Asks for the configuration where it is newer than what the asker has.
    Config {
        /// The version that the asker has.
        have: Option<Offset>,
    },
    /// About parts of jobs.
    Part(part::Question),
}

/// The answer to a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Who answers.
    pub from: Holder,
    /// The answer.
    pub answer: Answer,
}

/// What a sched answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To [`Question::Ownership`].
    Ownership(ownership::Answer),
    /// To [`Question::Hold`].
    Hold(hold::Answer),
    /// To [`Question::Config`]: the newer document with its version, if there is one.
    Config {
        /// The version and the encoded document.
        newer: Option<(Offset, Bytes)>,
    },
    /// The one asked can't answer at the moment.
    Unavailable,
    /// To [`Question::Part`].
    Part(part::Answer),
}

/// The ways in which the bytes of a message or reply can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// There are no bytes.
    #[error("the message is empty")]
    Empty,
    /// The message has a version that this program can't read.
    #[error("the message has version {found}, and {VERSION} is known")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The bytes behind the version can't be read.
    #[error("the message is malformed: {0}")]
    Malformed(postcard::Error),
}

impl Message {
    /// Encodes the message, with its version in front.
    pub fn encode(&self) -> Bytes {
        encode(self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Refuses no bytes, an unknown version and malformed content.
    pub fn decode(data: &[u8]) -> Result<Self, DecodeError> {
        decode(data)
    }
}

impl Reply {
    /// Encodes the reply, with its version in front.
    pub fn encode(&self) -> Bytes {
        encode(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Refuses no bytes, an unknown version and malformed content.
    pub fn decode(data: &[u8]) -> Result<Self, DecodeError> {
        decode(data)
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    let bytes = postcard::to_extend(value, vec![VERSION]);
    // Both types hold only fields and vectors of known length, which always encode.
    Bytes::from(bytes.expect("a peer message encodes"))
}

fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, DecodeError> {
    let (version, content) = data.split_first().ok_or(DecodeError::Empty)?;
    if *version != VERSION {
        return Err(DecodeError::Version { found: *version });
    }
    postcard::from_bytes(content).map_err(DecodeError::Malformed)
}
