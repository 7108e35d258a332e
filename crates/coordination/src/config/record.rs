//! The records of the configuration's stream.

use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Proposal,
    Snapshot, //
};

/// The format that this code writes; a higher one is from a newer program.
const FORMAT: u32 = 1;

/// One record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An operator's changes.
    Proposal(Proposal),
    /// The outcome of everything before it, so that older records may be dropped by the log.
    Snapshot(Box<Snapshot>),
}

/// The ways in which a record can fail to be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The record has a newer format, so its verdict can't be told by this program.
    #[error("the record has format {format}, this program knows up to {FORMAT}")]
    Newer {
        /// The format of the record.
        format: u32,
    },
    /// The record is not one of this stream; every program skips it.
    #[error("the record is malformed: {reason}")]
    Malformed {
        /// What was wrong with it.
        reason: String,
    },
}

#[derive(Deserialize)]
struct Header {
    format: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope<T> {
    format: u32,
    record: T,
}

impl Record {
    /// Returns the record as JSON.
    ///
    /// # Panics
    ///
    /// Never: all parts of a record have a JSON form.
    pub fn encode(&self) -> Bytes {
        let envelope = Envelope {
            format: FORMAT,
            record: self,
        };
        let data = serde_json::to_vec(&envelope).expect("all parts of a record have a JSON form");
        data.into()
    }

    /// Reads a record.
    ///
    /// # Errors
    ///
    /// [`DecodeError::Newer`] where a newer program wrote it, [`DecodeError::Malformed`] where no
    /// program did.
    pub fn decode(data: &[u8]) -> Result<Self, DecodeError> {
        let malformed = |error: serde_json::Error| DecodeError::Malformed {
            reason: error.to_string(),
        };
        let Header { format } = serde_json::from_slice(data).map_err(malformed)?;
        if format > FORMAT {
            return Err(DecodeError::Newer { format });
        }
        let envelope: Envelope<Self> = serde_json::from_slice(data).map_err(malformed)?;
        Ok(envelope.record)
    }
}
