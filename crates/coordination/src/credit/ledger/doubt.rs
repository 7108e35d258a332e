//! Slots that may be in use and that no live gate accounts for.

use fulmarpier_state::{
    clock::Timestamp,
    id::NodeId, //
};

/// The most batches kept apart; beyond it the two oldest are joined.
const MAX_BATCHES: usize = 16;

/// Who can account for slots that are in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The gate that held them when its lease lapsed, in the same life.
    Gate(NodeId),
    /// Any gate that held them from the former owner.
    Former,
    /// Nobody; only an inventory settles them.
    Nobody,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    slots: u16,
    /// An inventory asked for before this proves nothing about the batch.
    ready: Timestamp,
    origin: Origin,
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
    pub(super) fn add(&mut self, slots: u16, ready: Timestamp, origin: Origin) {
        if slots == 0 {
            return;
        }
        self.batches.push(Batch {
            slots,
            ready,
            origin,
        });
        if self.batches.len() > MAX_BATCHES {
            let oldest = self.batches.remove(0);
            let next = &mut self.batches[0];
            next.slots += oldest.slots;
            next.ready = next.ready.max(oldest.ready);
            next.origin = Origin::Nobody;
        }
    }

    /// Takes out up to `slots` that the gate accounts for; returns how many.
    pub(super) fn claim(&mut self, gate: NodeId, slots: u16) -> u16 {
        let own = self.take(Origin::Gate(gate), slots);
        own + self.take(Origin::Former, slots - own)
    }

    /// Takes in that an inventory asked for at `asked_at` found `busy` slots taken.
    ///
    /// The slots that it speaks of get no new requests, so the bound holds from then on. Whose
    /// requests keep slots busy it doesn't say, so nobody can account for what is left.
    pub(super) fn evidence(&mut self, busy: u16, asked_at: Timestamp) {
        let is_told = |batch: &Batch| batch.ready <= asked_at;
        let told = self.batches.iter().filter(|batch| is_told(batch));
        let Some(since) = told.clone().map(|batch| batch.ready).min() else {
            return;
        };
        let left = busy.min(told.map(|batch| batch.slots).sum());
        self.batches.retain(|batch| !is_told(batch));
        if left > 0 {
            let settled = Batch {
                slots: left,
                ready: since,
                origin: Origin::Nobody,
            };
            self.batches.insert(0, settled);
        }
    }

    /// Returns whether some slots have been in doubt since before `time`.
    pub(super) fn since_before(&self, time: Timestamp) -> bool {
        self.batches.iter().any(|batch| batch.ready < time)
    }

    fn take(&mut self, origin: Origin, slots: u16) -> u16 {
        let mut left = slots;
        for batch in self
            .batches
            .iter_mut()
            .filter(|batch| batch.origin == origin)
        {
            let part = batch.slots.min(left);
            batch.slots -= part;
            left -= part;
        }
        self.batches.retain(|batch| batch.slots > 0);
        slots - left
    }
}
