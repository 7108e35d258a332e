//! The cost of a search, counted rather than timed.

/// How many tree nodes a search looked at; the same on every machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Visits(u64);

impl Visits {
    /// Returns the count.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Counts one node.
    pub(super) const fn count(&mut self) {
        self.0 += 1;
    }
}
