//! The confirmation of a wide change.

use std::{
    fmt,
    str::FromStr, //
};

use super::Impact;
use crate::config::{
    Change,
    Version, //
};

/// The parameters of 64-bit FNV-1a, which is fully specified, so that all programs agree.
const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The confirmation of a wide change: a digest over the version it is based on, the changes and their
/// effect. It is void as soon as one of these is another. It guards against slips, not against an
/// operator who wants to do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Token(u64);

/// The text is not a token.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected a token of 16 hexadecimal digits, found `{found}`")]
pub struct ParseError {
    /// The text as given.
    pub found: String,
}

impl Token {
    /// Computes the token of changes with their effect on a version.
    pub(super) fn of(base: Version, changes: &[Change], impact: &Impact) -> Self {
        let mut hash = digest(BASIS, base.to_string().as_bytes());
        for change in changes {
            hash = digest(hash, format!("\n{change:?}").as_bytes());
        }
        for finding in &impact.findings {
            hash = digest(hash, format!("\n{}", finding.stable()).as_bytes());
        }
        Self(hash)
    }
}

fn digest(hash: u64, data: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    data.iter().fold(hash, step)
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Token {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = || ParseError {
            found: text.to_owned(),
        };
        if text.len() != 16 {
            return Err(found());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| found())
    }
}
