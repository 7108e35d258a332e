//! What is learned about.

use std::sync::Arc;

use crate::name::Team;

/// A program of a team, cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub(super) team: Team,
    pub(super) program: Arc<str>,
}

impl Key {
    /// Makes a key from a team and the name of its program.
    pub fn new(team: Team, program: &str) -> Self {
        Self {
            team,
            program: program.into(),
        }
    }
}
