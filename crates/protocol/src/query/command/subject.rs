//! What can be listed.

use std::fmt;

/// What can be listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// Jobs that wait, run or ended a short while ago.
    Jobs,
    /// Their tasks.
    Tasks,
    /// Workers with what is free.
    Workers,
    /// Entry nodes with the version of the configuration that they have in force.
    Nodes,
    /// Shards with their owners.
    Shards,
    /// Services with their targets.
    Services,
    /// Teams with quota and use.
    Teams,
    /// Counts of refusals by reason.
    Refusals,
    /// The configuration.
    Config,
    /// Waiting work by class and team.
    Queue,
}

impl Subject {
    /// All subjects, in the order of [`Self::WORDS`].
    pub const ALL: [Self; 10] = [
        Self::Jobs,
        Self::Tasks,
        Self::Workers,
        Self::Nodes,
        Self::Shards,
        Self::Services,
        Self::Teams,
        Self::Refusals,
        Self::Config,
        Self::Queue,
    ];

    /// The words for the subjects.
    pub const WORDS: &'static [&'static str] = &[
        "jobs", "tasks", "workers", "nodes", "shards", "services", "teams", "refusals", "config",
        "queue",
    ];

    /// Returns the word for the subject.
    pub const fn word(self) -> &'static str {
        Self::WORDS[self as usize]
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}
