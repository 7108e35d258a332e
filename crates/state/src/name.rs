//! Names that people choose: teams and services.

use std::{
    fmt,
    str::FromStr,
    sync::Arc, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// The longest name that is accepted, in bytes.
pub const MAX_LEN: usize = 63;

/// The ways in which a name can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The name is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_LEN`].
    #[error("a name has at most {MAX_LEN} bytes, this one has {len}")]
    Long {
        /// The length as given.
        len: usize,
    },
    /// The name holds a character outside `a-z`, `0-9`, `-`, `_` and `.`.
    #[error("a name holds only a-z, 0-9, `-`, `_` and `.`, found `{found}` in `{name}`")]
    Character {
        /// The first character that is not accepted.
        found: char,
        /// The name as given.
        name: String,
    },
}

/// A checked name, cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// The name of a team, which owns jobs and has a quota.
pub type Team = Name;

/// The name of a service, which callers address requests to.
pub type Service = Name;

impl Name {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(Error::Empty);
        }
        if text.len() > MAX_LEN {
            return Err(Error::Long { len: text.len() });
        }
        if let Some(found) = text.chars().find(|c| !is_accepted(*c)) {
            let name = text.to_owned();
            return Err(Error::Character { found, name });
        }
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for Name {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0.as_ref().to_owned()
    }
}

fn is_accepted(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.')
}
