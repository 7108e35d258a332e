//! Ids that are a number behind a prefix.

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

use super::ParseError;

/// Defines a numeric id with `Display`, `FromStr` and both forms of serde.
macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl $name {
            /// The letters in front of the number in the text form.
            pub const PREFIX: &'static str = $prefix;

            /// Returns the bare number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let Some(digits) = text.strip_prefix($prefix) else {
                    return Err(ParseError::Prefix { prefix: $prefix, found: text.to_owned() });
                };
                digits.parse().map(Self).map_err(|_| ParseError::Number {
                    prefix: $prefix,
                    found: text.to_owned(),
                })
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    serializer.collect_str(self)
                } else {
                    self.0.serialize(serializer)
                }
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    text.parse().map_err(serde::de::Error::custom)
                } else {
                    <$inner>::deserialize(deserializer).map(Self)
                }
            }
        }
    };
}

numeric_id!(
    /// A VM that runs tasks.
    WorkerId, u32, "w"
);
numeric_id!(
    /// An entry VM of the system itself, which runs one gate and one sched.
    NodeId, u32, "n"
);
numeric_id!(
    /// A rack of workers: one power feed and one switch.
    RackId, u32, "r"
);
numeric_id!(
    /// A data centre.
    DataCentreId, u16, "dc"
);
numeric_id!(
    /// A region: data centres that usually reach each other.
    RegionId, u16, "reg"
);
numeric_id!(
    /// A shard: workers of one data centre with exactly one owner at a time.
    ShardId, u16, "s"
);
numeric_id!(
    /// The fencing token of an ownership: the log offset of the winning claim.
    Epoch, u64, "e"
);
numeric_id!(
    /// The position of a record in a stream of the platform's log.
    Offset, u64, "o"
);
numeric_id!(
    /// One life of a node's process; a later life has a higher number.
    Incarnation, u64, "i"
);

impl Offset {
    /// Returns the offset behind this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
