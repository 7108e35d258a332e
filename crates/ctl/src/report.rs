//! What the program prints and how it ends.

use crate::Exit;

/// What the program prints and how it ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
    /// How the program ends.
    pub exit: Exit,
}

impl Report {
    pub(crate) fn success(stdout: impl Into<String>) -> Self {
        Self {
            stdout: stdout.into(),
            ..Self::default()
        }
    }

    pub(crate) fn failure(exit: Exit, stderr: impl Into<String>) -> Self {
        Self {
            stderr: stderr.into(),
            exit,
            ..Self::default()
        }
    }
}
