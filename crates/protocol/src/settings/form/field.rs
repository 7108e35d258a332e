//! Values that a field of a JSON document can hold.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use fulmarpier_state::{
    id::{
        DataCentreId,
        NodeId,
        RegionId, //
    },
    name::Name,
    unit::{
        Bytes,
        Millicores,
        Span, //
    },
};
use serde_json::Value;

use super::Mistake;

/// A value that can be read from one JSON value.
pub trait Field: Sized {
    /// Reads the value.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the value; the caller knows its path.
    fn read(value: &Value) -> Result<Self, Mistake>;
}

/// Implements [`Field`] for types that are written as text and parse from it.
macro_rules! text_fields {
    ($($name:ty),* $(,)?) => {
        $(
            impl Field for $name {
                fn read(value: &Value) -> Result<Self, Mistake> {
                    Ok(text(value)?.parse::<Self>()?)
                }
            }
        )*
    };
}

text_fields!(
    Bytes,
    DataCentreId,
    Millicores,
    Name,
    NodeId,
    RegionId,
    Span
);

impl Field for SocketAddr {
    fn read(value: &Value) -> Result<Self, Mistake> {
        let text = text(value)?;
        text.parse().map_err(|_| Mistake::Address {
            found: text.to_owned(),
        })
    }
}

impl Field for String {
    fn read(value: &Value) -> Result<Self, Mistake> {
        text(value).map(str::to_owned)
    }
}

impl Field for PathBuf {
    fn read(value: &Value) -> Result<Self, Mistake> {
        text(value).map(Self::from)
    }
}

impl Field for bool {
    fn read(value: &Value) -> Result<Self, Mistake> {
        value.as_bool().ok_or_else(|| wrong("true or false", value))
    }
}

impl Field for f64 {
    fn read(value: &Value) -> Result<Self, Mistake> {
        value.as_f64().ok_or_else(|| wrong("a number", value))
    }
}

impl Field for u64 {
    fn read(value: &Value) -> Result<Self, Mistake> {
        value
            .as_u64()
            .ok_or_else(|| wrong("a whole number of at least 0", value))
    }
}

/// Implements [`Field`] for smaller whole numbers.
macro_rules! narrow_fields {
    ($($name:ty),*) => {
        $(
            impl Field for $name {
                fn read(value: &Value) -> Result<Self, Mistake> {
                    let number = u64::read(value)?;
                    Self::try_from(number).map_err(|_| Mistake::Range {
                        found: number.to_string(),
                        least: Self::MIN.to_string(),
                        most: Self::MAX.to_string(),
                    })
                }
            }
        )*
    };
}

narrow_fields!(u16, u32);

/// Returns the text of a JSON string.
///
/// # Errors
///
/// Fails where the value is not a string.
pub(crate) fn text(value: &Value) -> Result<&str, Mistake> {
    value.as_str().ok_or_else(|| wrong("a string", value))
}

pub(super) const fn wrong(expected: &'static str, value: &Value) -> Mistake {
    let found = match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    };
    Mistake::Type { expected, found }
}
