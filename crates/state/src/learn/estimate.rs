//! What is expected of a run.

use std::{
    fmt,
    time::Duration, //
};

/// What an estimate rests on, from the best down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Basis {
    /// Earlier runs of the same program.
    Program,
    /// Earlier runs of other programs of the team: how far its declarations are off.
    Team,
    /// The declaration alone.
    Declared,
    /// Nothing at all.
    Default,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Program => "program",
            Self::Team => "team",
            Self::Declared => "declared",
            Self::Default => "default",
        })
    }
}

/// The run time to expect, as quantiles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Half of the runs end within this time.
    pub p50: Duration,
    /// Nine of ten runs end within this time; wider while there are few samples.
    pub p90: Duration,
    /// How many runs the estimate rests on.
    pub samples: u32,
    /// What kind of runs these are.
    pub basis: Basis,
}
