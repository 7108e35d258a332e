//! Whether a worker takes new tasks.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// Whether a worker takes new tasks, and if not, why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// It takes new tasks.
    #[default]
    Open,
    /// It is being drained: tasks that run may end, new ones go elsewhere.
    Leaving,
    /// It failed too many tasks and gets only probes.
    Quarantined,
    /// It doesn't answer, or the platform no longer lists it.
    Lost,
}

impl Condition {
    /// Returns whether ordinary tasks may be placed on the worker.
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }

    /// Returns the bare word for the condition, for reports and counters.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Leaving => "leaving",
            Self::Quarantined => "quarantined",
            Self::Lost => "lost",
        }
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}
