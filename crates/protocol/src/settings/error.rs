//! What can be wrong with a settings file.

use std::{
    io,
    path::PathBuf, //
};

use super::form::Errors;

/// The ways in which settings can fail to load.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file ends before the JSON document does.
    #[error("line {line}, column {column}: the file ends too early; is it truncated?")]
    Truncated {
        /// The line at which it ends, from one.
        line: usize,
        /// The column at which it ends.
        column: usize,
    },
    /// The file is not JSON, or a key stands twice in it.
    #[error("line {line}, column {column}: {message}")]
    Json {
        /// The line of the mistake, from one.
        line: usize,
        /// The column of the mistake.
        column: usize,
        /// What the parser said.
        message: String,
    },
    /// The document has mistakes.
    #[error("{0}")]
    Invalid(#[from] Errors),
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        let line = error.line();
        let column = error.column();
        if error.is_eof() {
            return Self::Truncated { line, column };
        }
        let text = error.to_string();
        let place = format!(" at line {line} column {column}");
        let message = text.strip_suffix(&place).unwrap_or(&text).to_owned();
        Self::Json {
            line,
            column,
            message,
        }
    }
}
