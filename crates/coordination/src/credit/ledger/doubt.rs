//! Slots that may be in use and that no live gate accounts for.

use fulmarpier_state::clock::Timestamp;

/// The most batches kept apart; beyond it the two oldest are joined at the later time.
const MAX_BATCHES: usize = 8;

#[derive(Clone, Copy, Debug)]
struct Batch {
    slots: u16,
    /// An inventory asked for before this proves nothing about the batch.
    ready: Timestamp,
}

/// Slots that may be in use and that no live gate accounts for, oldest first.
#[derive(Debug)]
pub(super) struct Doubt {
    batches: Vec<Batch>,
}

impl Doubt {
    /// Nothing in doubt.
    pub(super) const EMPTY: Self = Self {
        batches: Vec::new(),
    };

    /// Returns how many slots are in doubt.
    pub(super) fn total(&self) -> u16 {
        self.batches.iter().map(|batch| batch.slots).sum()
    }

    /// Adds slots about which only an inventory asked for at `ready` or later says anything.
    pub(super) fn add(&mut self, slots: u16, ready: Timestamp) {
        if slots == 0 {
            return;
        }
        self.batches.push(Batch { slots, ready });
        if self.batches.len() > MAX_BATCHES {
            let oldest = self.batches.remove(0);
            let next = &mut self.batches[0];
            next.slots += oldest.slots;
            next.ready = next.ready.max(oldest.ready);
        }
    }

    /// Takes out up to `slots` for a gate that accounts for them; returns how many.
    pub(super) fn take(&mut self, slots: u16) -> u16 {
        let mut left = slots;
        for batch in &mut self.batches {
            let part = batch.slots.min(left);
            batch.slots -= part;
            left -= part;
        }
        self.batches.retain(|batch| batch.slots > 0);
        slots - left
    }

    /// Keeps at most `busy` of the slots that the inventory asked for at `asked_at` speaks of.
    ///
    /// These slots get no new requests, so the bound holds from then on.
    pub(super) fn evidence(&mut self, busy: u16, asked_at: Timestamp) {
        let mut left = busy;
        for batch in self
            .batches
            .iter_mut()
            .filter(|batch| batch.ready <= asked_at)
        {
            batch.slots = batch.slots.min(left);
            left -= batch.slots;
        }
        self.batches.retain(|batch| batch.slots > 0);
    }

    /// Returns whether some slots have been in doubt since before `time`.
    pub(super) fn since_before(&self, time: Timestamp) -> bool {
        self.batches.iter().any(|batch| batch.ready < time)
    }
}
