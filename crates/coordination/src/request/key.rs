//! Idempotency keys.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use fulmarpier_state::clock::Timestamp;
use serde::{
    Deserialize,
    Serialize, //
};
use uuid::Uuid;

/// The longest key that is accepted, in bytes.
const MAX_LEN: usize = 128;

/// The ways in which a key can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is empty.
    #[error("an idempotency key must not be empty")]
    Empty,
    /// The key is longer than 128 bytes.
    #[error("an idempotency key has at most {MAX_LEN} bytes, this one has {len}")]
    Long {
        /// The length as given.
        len: usize,
    },
    /// The key holds something else than visible ASCII characters.
    #[error("an idempotency key holds only visible ASCII characters, found {found:?}")]
    Character {
        /// The first character that is not accepted.
        found: char,
    },
}

/// A caller's idempotency key: 1 to 128 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(Arc<str>);

impl Key {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key's own time if it is a UUIDv7 in the usual form.
    pub fn time(&self) -> Option<Timestamp> {
        let uuid = Uuid::try_parse(&self.0).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let millis = uuid.as_u128() >> 80;
        u64::try_from(millis).ok().map(Timestamp::from_millis)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_LEN {
            return Err(KeyError::Long { len: text.len() });
        }
        if let Some(found) = text.chars().find(|c| !c.is_ascii_graphic()) {
            return Err(KeyError::Character { found });
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.0.as_ref().to_owned()
    }
}
