//! Sizes of memory and of messages.

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

const KNOWN: &str = "B, KiB, MiB, GiB, TiB";
const UNITS: [(&str, u64); 5] = [
    ("TiB", 1 << 40),
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A size in bytes; its text form has a binary unit, as in `64GiB`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bytes(pub u64);

impl Bytes {
    /// Makes a size from a count of mebibytes.
    pub const fn from_mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// Makes a size from a count of gibibytes.
    pub const fn from_gib(count: u64) -> Self {
        Self(count << 30)
    }

    /// Returns the count of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 0 {
            return f.write_str("0B");
        }
        let exact = UNITS
            .iter()
            .find(|(_, factor)| self.0.is_multiple_of(*factor));
        let (unit, factor) = exact.copied().unwrap_or(("B", 1));
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl FromStr for Bytes {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, unit) = split(text)?;
        let known = UNITS.iter().find(|(name, _)| *name == unit);
        let Some((_, factor)) = known else {
            return Err(ParseError::Unit {
                unit: unit.to_owned(),
                known: KNOWN,
            });
        };
        let overflow = || ParseError::Overflow {
            found: text.to_owned(),
        };
        number.checked_mul(*factor).map(Self).ok_or_else(overflow)
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
