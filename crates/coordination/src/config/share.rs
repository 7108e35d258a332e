//! Weights as decimal fractions without floating point.

use std::{
    fmt,
    str::FromStr, //
};

use serde_with::{
    DeserializeFromStr,
    SerializeDisplay, //
};

const DIGITS: usize = 3;

/// A non-negative fraction in thousandths; its text form is decimal, as in `0.6`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Share(u16);

/// The ways in which the text of a [`Share`] can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "expected a decimal from 0 to 65 with at most {DIGITS} digits behind the point, found `{found}`"
)]
pub struct ParseError {
    /// The text as given.
    pub found: String,
}

impl Share {
    /// One whole.
    pub const ONE: Self = Self(1_000);

    /// Makes a share from thousandths.
    pub const fn from_thousandths(thousandths: u16) -> Self {
        Self(thousandths)
    }

    /// Returns the thousandths.
    pub const fn thousandths(self) -> u16 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / Self::ONE.0;
        let rest = self.0 % Self::ONE.0;
        if rest == 0 {
            return write!(f, "{whole}");
        }
        let digits = format!("{rest:03}");
        write!(f, "{whole}.{}", digits.trim_end_matches('0'))
    }
}

impl FromStr for Share {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).map(Self).ok_or_else(|| ParseError {
            found: text.to_owned(),
        })
    }
}

fn parse(text: &str) -> Option<u16> {
    let (whole, rest) = text.split_once('.').unwrap_or((text, ""));
    let all_digits = |part: &str| part.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || rest.len() > DIGITS || !all_digits(whole) || !all_digits(rest) {
        return None;
    }
    let whole: u16 = whole.parse().ok()?;
    let rest: u16 = format!("{rest:0<DIGITS$}").parse().ok()?;
    whole.checked_mul(Share::ONE.0)?.checked_add(rest)
}
