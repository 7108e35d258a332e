//! Bandwidths of links.

use std::{
    fmt,
    str::FromStr, //
};

use super::{
    ParseError,
    split, //
};

const KNOWN: &str = "bit/s, Mbit/s, Gbit/s";
const MEGABIT: u64 = 1_000_000;
const GIGABIT: u64 = 1_000 * MEGABIT;

/// The bandwidth of a link in bits a second; its text form is `10Mbit/s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bandwidth(pub u64);

impl Bandwidth {
    /// Makes a bandwidth from whole megabits a second, saturating.
    pub const fn from_megabits(megabits: u64) -> Self {
        Self(megabits.saturating_mul(MEGABIT))
    }

    /// Returns the bits a second.
    pub const fn bits(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            bits if bits != 0 && bits.is_multiple_of(GIGABIT) => {
                write!(f, "{}Gbit/s", bits / GIGABIT)
            }
            bits if bits.is_multiple_of(MEGABIT) => write!(f, "{}Mbit/s", bits / MEGABIT),
            bits => write!(f, "{bits}bit/s"),
        }
    }
}

impl FromStr for Bandwidth {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split(text)?;
        let factor = match unit {
            "bit/s" => 1,
            "Mbit/s" => MEGABIT,
            "Gbit/s" => GIGABIT,
            _ => {
                let unit = unit.to_owned();
                return Err(ParseError::Unit { unit, known: KNOWN });
            }
        };
        let overflow = || ParseError::Overflow {
            found: text.to_owned(),
        };
        number.checked_mul(factor).map(Self).ok_or_else(overflow)
    }
}
