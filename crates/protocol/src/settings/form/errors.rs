//! All mistakes of one file.

use std::fmt;

use super::Mistake;

/// One mistake and its place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {mistake}")]
pub struct Error {
    /// The path of the field, as in `peers[1].rpc_address`; `.` for the whole document.
    pub path: String,
    /// What is wrong with it.
    pub mistake: Mistake,
}

/// All mistakes of one file, at least one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}
