//! An operator's secret.

use std::{
    fmt,
    hint,
    str::FromStr, //
};

use serde_json::Value;

use crate::settings::form::{
    Field,
    Mistake,
    field, //
};

/// The least count of characters of a token.
pub const MIN_LEN: usize = 16;

/// An operator's secret; it never shows in logs or messages.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// Compares with a token as it came, in a time that depends only on the lengths.
    pub fn matches(&self, given: &str) -> bool {
        let own = self.0.as_bytes();
        let given = given.as_bytes();
        let pairs = own.iter().zip(given);
        let difference = pairs.fold(0, |sum, (a, b)| sum | hint::black_box(a ^ b));
        own.len() == given.len() && difference == 0
    }

    /// Returns the secret itself, to be sent.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(…)")
    }
}

impl FromStr for Token {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let visible = text.chars().all(|c| c.is_ascii_graphic());
        if text.len() < MIN_LEN || !visible {
            return Err(Mistake::Token { least: MIN_LEN });
        }
        Ok(Self(text.to_owned()))
    }
}

impl Field for Token {
    fn read(value: &Value) -> Result<Self, Mistake> {
        field::text(value)?.parse()
    }
}
