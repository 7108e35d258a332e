//! What can be wrong with a caller's input: every mistake with its place.

use std::fmt;

use fulmarpier_coordination::request::KeyError;
use fulmarpier_state::{
    id,
    name,
    refusal::{
        Reason,
        Refusal, //
    },
    unit, //
};

/// One way in which a field can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Cause {
    /// A name is not acceptable.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// An id is not acceptable.
    #[error(transparent)]
    Id(#[from] id::ParseError),
    /// A quantity is not acceptable.
    #[error(transparent)]
    Unit(#[from] unit::ParseError),
    /// An idempotency key is not acceptable.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The request is marked as non-idempotent and has no key.
    #[error("a non-idempotent request needs a key")]
    KeyMissing,
    /// A word is not one of those that are known.
    #[error("expected {known}, found `{found}`")]
    Word {
        /// The word as given.
        found: String,
        /// The words that are known.
        known: &'static str,
    },
    /// A number is outside its range.
    #[error("expected {least} to {most}, found {found}")]
    Range {
        /// The number as given.
        found: u64,
        /// The least that is accepted.
        least: u64,
        /// The most that is accepted.
        most: u64,
    },
    /// A field is missing.
    #[error("is missing")]
    Missing,
    /// A field does not go with another.
    #[error("stands only with kind `service`")]
    Misplaced,
    /// The document is not JSON, or a field has the wrong type or is not known.
    #[error("{message}")]
    Json {
        /// What the parser said, with line and column.
        message: String,
    },
}

/// One mistake and its place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct Field {
    /// The path of the field, as in `size.cpu`, or the name of the header.
    pub path: String,
    /// What is wrong with it.
    pub cause: Cause,
}

/// All mistakes of one input, in the order of its fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Invalid {
    /// The mistakes.
    pub fields: Vec<Field>,
}

impl Invalid {
    /// Notes a mistake and its place.
    pub(crate) fn push(&mut self, path: impl Into<String>, cause: impl Into<Cause>) {
        self.fields.push(Field {
            path: path.into(),
            cause: cause.into(),
        });
    }

    /// Returns the value, or notes the mistake at its place.
    pub(crate) fn take<T, E: Into<Cause>>(
        &mut self,
        path: &str,
        result: Result<T, E>,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(cause) => {
                self.push(path, cause);
                None
            }
        }
    }

    /// Returns the value where nothing was wrong.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Self> {
        match value {
            Some(value) if self.fields.is_empty() => Ok(value),
            _ => Err(self),
        }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, field) in self.fields.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            field.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Invalid {}

impl From<Invalid> for Refusal {
    /// Refuses the input; nothing of it was run.
    fn from(invalid: Invalid) -> Self {
        let only_key = |field: &Field| field.cause == Cause::KeyMissing;
        let reason = match invalid.fields.iter().all(only_key) {
            true => Reason::KeyMissing,
            false => Reason::Malformed,
        };
        Self::new(reason, invalid.to_string())
    }
}
