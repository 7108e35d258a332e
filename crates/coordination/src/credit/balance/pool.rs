//! What a gate holds of one service.

use std::cmp::Reverse;

use fulmarpier_state::{
    clock::Timestamp,
    id::NodeId, //
};
use rand::{
    Rng,
    RngExt,
    rngs::SmallRng, //
};

use super::{
    entry::Entry,
    need::Need, //
};
use crate::platform::target;

/// What a gate holds of one service, by target in order of id.
#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) entries: Vec<Entry>,
    pub(super) need: Need,
}

impl Pool {
    /// Picks a target with an empty slot: the emptier of two at random, and where neither will do,
    /// the best of all. Some targets have refused the request before.
    pub(super) fn pick(
        &mut self,
        refused: &[target::Id],
        rng: &mut SmallRng,
        now: Timestamp,
    ) -> Option<&mut Entry> {
        if self.entries.is_empty() {
            return None;
        }
        let len = self.entries.len();
        let (a, b) = (rng.random_range(0..len), rng.random_range(0..len));
        let good = |index: &usize| {
            let entry = &self.entries[*index];
            entry.is_usable(now) && is_good(entry, refused, now)
        };
        let of_two = [a, b]
            .into_iter()
            .filter(good)
            .min_by_key(|index| self.entries[*index].in_use);
        let index = of_two.or_else(|| self.best(refused, rng, now))?;
        Some(&mut self.entries[index])
    }

    /// Returns the usable target with the fewest requests.
    ///
    /// One with a penalty, or that has refused the request, is taken only where there is no other live target. It
    /// fails fast, so it would otherwise be the one with an empty slot whenever the others are full, and draw in
    /// everything that should wait for them.
    fn best(&self, refused: &[target::Id], rng: &mut impl Rng, now: Timestamp) -> Option<usize> {
        let len = self.entries.len();
        let start = rng.random_range(0..len);
        let is_good = |entry: &Entry| entry.is_live(now) && is_good(entry, refused, now);
        let any_good = self.entries.iter().any(is_good);
        let around = (0..len).map(|step| (start + step) % len);
        let usable = around.filter(|index| {
            let entry = &self.entries[*index];
            entry.is_usable(now) && (!any_good || is_good(entry))
        });
        usable.min_by_key(|index| self.entries[*index].in_use)
    }

    /// Returns whether no target is held or in use.
    pub(super) fn is_empty(&self) -> bool {
        self.entries.iter().all(Entry::is_over)
    }

    pub(super) fn find(&self, target: target::Id) -> Option<&Entry> {
        let index = self.position(target).ok()?;
        Some(&self.entries[index])
    }

    pub(super) fn find_mut(&mut self, target: target::Id) -> Option<&mut Entry> {
        let index = self.position(target).ok()?;
        Some(&mut self.entries[index])
    }

    /// Returns the entry of a target, made by `fresh` where there is none.
    pub(super) fn entry(
        &mut self,
        target: target::Id,
        fresh: impl FnOnce() -> Entry,
    ) -> &mut Entry {
        let index = match self.position(target) {
            Ok(index) => index,
            Err(index) => {
                self.entries.insert(index, fresh());
                index
            }
        };
        &mut self.entries[index]
    }

    /// Returns how many slots are held, of one owner or of all, that can still be used.
    pub(super) fn held(&self, owner: Option<NodeId>, now: Timestamp) -> u32 {
        let counts =
            |entry: &&Entry| owner.is_none_or(|id| id == entry.owner) && now < entry.expiry;
        self.entries
            .iter()
            .filter(counts)
            .map(|entry| u32::from(entry.slots))
            .sum()
    }

    /// Gives up to `count` empty slots of an owner back, from where the most are empty.
    pub(super) fn give_back(&mut self, owner: NodeId, count: u32) {
        for _ in 0..count {
            let of_owner = self.entries.iter_mut().filter(|entry| entry.owner == owner);
            let most = of_owner.max_by_key(|entry| (entry.spare(), Reverse(entry.target.id)));
            match most {
                Some(entry) if entry.spare() > 0 => entry.slots -= 1,
                _ => return,
            }
        }
    }

    fn position(&self, target: target::Id) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&target, |entry| entry.target.id)
    }
}

/// Returns whether a target should be taken before others for a request that some have refused.
fn is_good(entry: &Entry, refused: &[target::Id], now: Timestamp) -> bool {
    !entry.penalty.is_active(now) && !refused.contains(&entry.target.id)
}
