//! The version of a configuration.

use std::{
    fmt,
    str::FromStr, //
};

use fulmarpier_state::id::{
    Offset,
    ParseError, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The version of a configuration: the offset of the last accepted proposal.
///
/// The default is the empty configuration before the first proposal. It prints as `v17`, where the
/// proposal at offset 16 was the last to be accepted, so that zero is left for the empty one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// The version of the empty configuration.
    pub const NONE: Self = Self(0);

    /// Makes the version that the proposal at `offset` brings.
    pub const fn at(offset: Offset) -> Self {
        Self(offset.0.saturating_add(1))
    }

    /// Returns the bare number, as it travels between processes.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Makes a version from the number that [`Self::get`] gave.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns whether the proposal at `offset` is part of this version's history.
    pub const fn covers(self, offset: Offset) -> bool {
        offset.0 < self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "v{}", self.0)
    }
}

impl FromStr for Version {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = || text.to_owned();
        let Some(digits) = text.strip_prefix('v') else {
            return Err(ParseError::Prefix {
                prefix: "v",
                found: found(),
            });
        };
        digits.parse().map(Self).map_err(|_| ParseError::Number {
            prefix: "v",
            found: found(),
        })
    }
}
