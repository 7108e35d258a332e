//! Sizes, shares and spans with units, as people write them.

mod bandwidth;
mod processor;
mod size;
mod span;

pub use self::{
    bandwidth::Bandwidth,
    processor::Millicores,
    size::Bytes,
    span::Span, //
};

/// The ways in which the text of a quantity can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text does not begin with a number.
    #[error("expected a number with a unit, found `{found}`")]
    Number {
        /// The text as given.
        found: String,
    },
    /// The unit is not known.
    #[error("unknown unit `{unit}`; known are {known}")]
    Unit {
        /// The unit as given.
        unit: String,
        /// The units that are known, for the reader.
        known: &'static str,
    },
    /// The quantity is too large to be represented.
    #[error("`{found}` is too large")]
    Overflow {
        /// The text as given.
        found: String,
    },
}

/// Splits a quantity into its whole number and its unit.
fn split(text: &str) -> Result<(u64, &str), ParseError> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    if digits.is_empty() {
        return Err(ParseError::Number {
            found: text.to_owned(),
        });
    }
    let number = digits.parse().map_err(|_| ParseError::Overflow {
        found: text.to_owned(),
    })?;
    Ok((number, unit.trim()))
}
