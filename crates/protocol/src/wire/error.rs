//! What can be wrong with a message.

use fulmarpier_coordination::request::KeyError;
use fulmarpier_state::name;

/// The ways in which a message can be malformed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// The message is not a valid Cap'n Proto message.
    #[error("malformed message: {0}")]
    Capnp(#[from] capnp::Error),
    /// The message holds an enum value or union member that this version does not know.
    #[error("unknown member {} of an enum or union", .0.0)]
    Schema(#[from] capnp::NotInSchema),
    /// A text field is not UTF-8.
    #[error("{field} is not UTF-8")]
    Text {
        /// The field.
        field: &'static str,
    },
    /// A name is not acceptable.
    #[error("{field}: {source}")]
    Name {
        /// The field.
        field: &'static str,
        /// What is wrong with it.
        source: name::Error,
    },
    /// An idempotency key is not acceptable.
    #[error("key: {0}")]
    Key(#[from] KeyError),
    /// A number stands for nothing that this version knows.
    #[error("{field} has the unknown value {value}")]
    Value {
        /// The field.
        field: &'static str,
        /// The value as sent.
        value: u64,
    },
    /// A word stands for nothing that this version knows.
    #[error("{field} has the unknown value `{value}`")]
    Word {
        /// The field.
        field: &'static str,
        /// The word as sent.
        value: String,
    },
    /// A list has too many entries.
    #[error("{field} has {len} entries, at most {most} are accepted")]
    List {
        /// The field.
        field: &'static str,
        /// The count of entries.
        len: u32,
        /// The most that are accepted.
        most: u32,
    },
    /// A field is too long.
    #[error("{field} has {len} bytes, at most {most} are accepted")]
    Bytes {
        /// The field.
        field: &'static str,
        /// The count of bytes.
        len: usize,
        /// The most that are accepted.
        most: usize,
    },
    /// A digest has the wrong length.
    #[error("a digest has 32 bytes, this one has {len}")]
    Digest {
        /// The length as sent.
        len: usize,
    },
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        match error {
            Error::Capnp(error) => error,
            other => Self::failed(other.to_string()),
        }
    }
}
