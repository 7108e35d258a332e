//! The frame around each record: version, writer, epoch, sequence and base.

use bytes::Bytes;
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId,
        Offset, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::Record;

/// The version of the encoding that this code writes.
const VERSION: u8 = 1;

/// Who wrote a record, and where it stands among the writer's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The node that wrote it.
    pub node: NodeId,
    /// The epoch at which the node owned the shard.
    pub epoch: Epoch,
    /// Rises by one with each record of the epoch; zero only for [`Record::Opened`].
    pub sequence: u64,
    /// Where a replay may start; `None` stands for the beginning of the stream.
    ///
    /// Every record carries it, so that the last record alone tells a successor where to read from.
    pub base: Option<Offset>,
    /// When it was put into its append, by the writer's clock, or since when the log had been down
    /// for the writer then; retries keep it.
    pub at: Timestamp,
}

/// A record with its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Who wrote it.
    pub header: Header,
    /// What it says.
    pub record: Record,
}

/// The ways in which the bytes of a record can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The record is empty.
    #[error("an empty record")]
    Empty,
    /// A later version of this software wrote the record.
    #[error("a record of version {found}, this software reads up to {VERSION}")]
    Version {
        /// The version found.
        found: u8,
    },
    /// The bytes do not decode.
    #[error("a malformed record: {reason}")]
    Malformed {
        /// What the decoder said.
        reason: postcard::Error,
    },
}

impl From<postcard::Error> for CodecError {
    fn from(reason: postcard::Error) -> Self {
        Self::Malformed { reason }
    }
}

impl Header {
    /// Reads only the header of an encoded record.
    ///
    /// # Errors
    ///
    /// Fails if the version is not known or the header does not decode.
    pub fn decode(data: &[u8]) -> Result<Self, CodecError> {
        split(data).map(|(header, _)| header)
    }

    /// Puts the header in front of an encoded record.
    pub(super) fn frame(&self, body: &[u8]) -> Result<Bytes, CodecError> {
        let mut frame = Vec::with_capacity(HEADER_MAX + body.len());
        frame.push(VERSION);
        let mut frame = postcard::to_extend(self, frame)?;
        frame.extend_from_slice(body);
        Ok(frame.into())
    }
}

/// An upper bound of the bytes that a header takes.
pub(super) const HEADER_MAX: usize = 48;

impl Envelope {
    /// Encodes the record with its header.
    ///
    /// # Errors
    ///
    /// Fails if the encoder refuses the record, which no valid record causes.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        self.header.frame(&encode_record(&self.record)?)
    }

    /// Decodes a record with its header.
    ///
    /// # Errors
    ///
    /// Fails if the version is not known or the bytes are malformed.
    pub fn decode(data: &[u8]) -> Result<Self, CodecError> {
        let (header, body) = split(data)?;
        let record = postcard::from_bytes(body)?;
        Ok(Self { header, record })
    }
}

/// Encodes a record without its header.
pub(super) fn encode_record(record: &Record) -> Result<Bytes, CodecError> {
    Ok(postcard::to_stdvec(record)?.into())
}

fn split(data: &[u8]) -> Result<(Header, &[u8]), CodecError> {
    let (version, rest) = data.split_first().ok_or(CodecError::Empty)?;
    if *version != VERSION {
        return Err(CodecError::Version { found: *version });
    }
    Ok(postcard::take_from_bytes(rest)?)
}
