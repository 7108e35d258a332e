//! The idempotency key of a non-idempotent request.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use uuid::Uuid;

/// The longest key that is accepted, in characters.
pub const MAX_LEN: usize = 128;

/// The ways in which a key can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The key is empty.
    #[error("an idempotency key must not be empty")]
    Empty,
    /// The key is longer than [`MAX_LEN`].
    #[error("an idempotency key has at most {MAX_LEN} characters, this one has {len}")]
    Long {
        /// The length as given, in bytes.
        len: usize,
    },
    /// The key holds something other than visible ASCII characters.
    #[error("an idempotency key holds only visible ASCII characters, found {found:?}")]
    Character {
        /// The first character that is not accepted.
        found: char,
    },
}

/// A checked idempotency key: 1 to 128 visible ASCII characters, cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(Arc<str>);

impl Key {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the time inside the key, in milliseconds since the Unix epoch, if it is a UUIDv7.
    ///
    /// A successor can tell by it whether a key is older than what it remembers.
    pub fn created_millis(&self) -> Option<u64> {
        let uuid: Uuid = self.0.parse().ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        let millis = u64::from(nanos / 1_000_000);
        seconds.checked_mul(1_000)?.checked_add(millis)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if let Some(found) = text.chars().find(|c| !c.is_ascii_graphic()) {
            return Err(Error::Character { found });
        }
        if text.len() > MAX_LEN {
            return Err(Error::Long { len: text.len() });
        }
        Ok(Self(text.into()))
    }
}
