//! Spans of time as people write them.

use std::{
    fmt,
    str::FromStr,
    time::Duration, //
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

const KNOWN: &str = "us, ms, s, m, h, d";
const UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// A span of time with a resolution of one microsecond; its text form is as in `250ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Span {
    /// Makes a span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Makes a span from milliseconds, saturating.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Makes a span from seconds, saturating.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the span as a [`Duration`].
    pub const fn get(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Returns the microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl From<Duration> for Span {
    /// Rounds down to whole microseconds, saturating.
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_micros()).unwrap_or(u64::MAX))
    }
}

impl From<Span> for Duration {
    fn from(span: Span) -> Self {
        span.get()
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 0 {
            return f.write_str("0s");
        }
        let exact = UNITS
            .iter()
            .find(|(_, factor)| self.0.is_multiple_of(*factor));
        let (unit, factor) = exact.copied().unwrap_or(("us", 1));
        write!(f, "{}{unit}", self.0 / factor)
    }
}

impl FromStr for Span {
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

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(serde::de::Error::custom)
        } else {
            u64::deserialize(deserializer).map(Self)
        }
    }
}
