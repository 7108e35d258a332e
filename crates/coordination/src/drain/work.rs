//! What a node has in flight.

use std::fmt;

/// A kind of work that a node finishes before it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// A request that waits for a slot or for its answer.
    Request,
    /// A command or a change under way.
    Command,
    /// An append to the log that isn't settled.
    Append,
    /// A shard that isn't handed over yet.
    Shard,
}

impl Work {
    /// All kinds.
    pub const ALL: &'static [Self] = &[
        Self::Request,
        Self::Command,
        Self::Append,
        Self::Shard, //
    ];

    /// Returns the stable word.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Request => "requests",
            Self::Command => "commands",
            Self::Append => "appends",
            Self::Shard => "shards",
        }
    }
}

/// How much of each kind is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    counts: [u64; Work::ALL.len()],
}

impl Load {
    /// Returns how much of one kind is in flight.
    pub const fn of(&self, work: Work) -> u64 {
        self.counts[work as usize]
    }

    /// Returns whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }

    /// Adds one.
    pub const fn enter(&mut self, work: Work) {
        let count = &mut self.counts[work as usize];
        *count = count.saturating_add(1);
    }

    /// Takes one away.
    pub const fn leave(&mut self, work: Work) {
        let count = &mut self.counts[work as usize];
        *count = count.saturating_sub(1);
    }
}

impl fmt::Display for Load {
    /// Writes the kinds that are in flight, as in `requests=3 shards=1`, or `nothing`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("nothing");
        }
        let mut gap = "";
        for work in Work::ALL.iter().filter(|work| self.of(**work) > 0) {
            write!(f, "{gap}{}={}", work.word(), self.of(*work))?;
            gap = " ";
        }
        Ok(())
    }
}
