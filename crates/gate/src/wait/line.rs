//! The waiting items of one team, by deadline.

use std::collections::BTreeMap;

use fulmarpier_state::clock::Timestamp;

/// The place of one item: its deadline, then its order of arrival.
pub(super) type Place = (Timestamp, u64);

/// One team's items and its share of the service.
#[derive(Debug)]
pub(super) struct Line<T> {
    /// The items, earliest deadline first.
    pub(super) items: BTreeMap<Place, T>,
    /// The team's virtual time; the team with the lowest is served next.
    pub(super) pass: u64,
    /// The team's weight, at least one.
    pub(super) weight: u32,
}

impl<T> Line<T> {
    /// The virtual time that one item costs a team of weight one.
    const COST: u64 = 1 << 20;

    /// Makes an empty line that starts at the virtual time `pass`.
    pub(super) const fn new(pass: u64, weight: u32) -> Self {
        Self {
            items: BTreeMap::new(),
            pass,
            weight,
        }
    }

    /// Takes the item with the earliest deadline and charges the team for it.
    pub(super) fn pop(&mut self) -> Option<(Place, T)> {
        let first = self.items.pop_first()?;
        self.pass = self.pass.saturating_add(self.step());
        Some(first)
    }

    /// Takes the item with the latest deadline; the team isn't charged.
    pub(super) fn pop_last(&mut self) -> Option<T> {
        self.items.pop_last().map(|(_, item)| item)
    }

    /// Counts the items that a new one with `deadline` would wait behind.
    pub(super) fn ahead(&self, deadline: Timestamp) -> usize {
        self.items.range(..=(deadline, u64::MAX)).count()
    }

    fn step(&self) -> u64 {
        Self::COST / u64::from(self.weight.max(1))
    }
}
