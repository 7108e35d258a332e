//! Sets of occurrences of a job that repeats.

use serde::{
    Deserialize,
    Serialize, //
};

/// A set of occurrences. It takes as much room as it has gaps, not as it has members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// The first member of each range, with the first non-member after it, in order.
    ranges: Vec<(u32, u32)>,
}

impl Set {
    /// Adds an occurrence.
    pub fn insert(&mut self, occurrence: u32) {
        let next = occurrence.saturating_add(1);
        // The first range that ends at the occurrence or after it.
        let at = self.ranges.partition_point(|(_, end)| *end < occurrence);
        match self.ranges.get_mut(at) {
            Some((_, end)) if *end == occurrence => *end = next,
            Some((start, _)) if *start <= occurrence => return,
            Some((start, _)) if *start == next => *start = occurrence,
            _ => self.ranges.insert(at, (occurrence, next)),
        }
        self.join_with_next(at);
    }

    fn join_with_next(&mut self, at: usize) {
        let following = self.ranges.get(at + 1).copied();
        if let Some((start, end)) = following
            && let Some(range) = self.ranges.get_mut(at)
            && range.1 == start
        {
            range.1 = end;
            self.ranges.remove(at + 1);
        }
    }

    /// Returns whether an occurrence is in the set.
    pub fn contains(&self, occurrence: u32) -> bool {
        self.next_missing(occurrence) != occurrence
    }

    /// Returns the first occurrence from `from` on that is not in the set.
    pub fn next_missing(&self, from: u32) -> u32 {
        let at = self.ranges.partition_point(|(_, end)| *end <= from);
        let range = self.ranges.get(at);
        range
            .filter(|(start, _)| *start <= from)
            .map_or(from, |(_, end)| *end)
    }

    /// Returns the number of occurrences in the set.
    pub fn len(&self) -> u32 {
        self.ranges.iter().map(|(start, end)| end - start).sum()
    }

    /// Returns whether the set is empty.
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }
}
