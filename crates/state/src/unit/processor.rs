//! Shares of processors.

use std::{
    fmt,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer, //
};

use super::{
    ParseError,
    split, //
};

const KNOWN: &str = "m (thousandths of a core) or none (whole cores)";
const PER_CORE: u32 = 1_000;

/// Processor time in thousandths of a core; its text form is `1500m` or, for whole cores, `2`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Millicores(pub u32);

impl Millicores {
    /// Makes a share from whole cores, saturating.
    pub const fn from_cores(cores: u32) -> Self {
        Self(cores.saturating_mul(PER_CORE))
    }

    /// Returns the thousandths of a core.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Millicores {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(PER_CORE) {
            write!(f, "{}", self.0 / PER_CORE)
        } else {
            write!(f, "{}m", self.0)
        }
    }
}

impl FromStr for Millicores {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split(text)?;
        let factor = match unit {
            "m" => 1,
            "" => PER_CORE,
            _ => {
                let unit = unit.to_owned();
                return Err(ParseError::Unit { unit, known: KNOWN });
            }
        };
        let overflow = || ParseError::Overflow {
            found: text.to_owned(),
        };
        let number = u32::try_from(number).map_err(|_| overflow())?;
        number.checked_mul(factor).map(Self).ok_or_else(overflow)
    }
}

impl Serialize for Millicores {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Millicores {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            u32::deserialize(deserializer).map(Self)
        }
    }
}
