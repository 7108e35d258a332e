//! One worker in the index.

use crate::{
    clock::Timestamp,
    resource::Resources,
    worker, //
};

use super::Error;

/// A worker, what it has left, and whether it takes new tasks.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) spec: worker::Spec,
    pub(super) free: Resources,
    pub(super) open: bool,
    /// When the last of its tasks should have ended.
    pub(super) busy_until: Timestamp,
}

impl Entry {
    /// Makes an empty, open worker.
    pub(super) const fn new(spec: worker::Spec) -> Self {
        Self {
            spec,
            free: spec.capacity,
            open: true,
            busy_until: Timestamp::ZERO,
        }
    }

    /// Returns what would be left after reserving `size`.
    pub(super) fn free_after_reserve(&self, size: Resources) -> Result<Resources, Error> {
        self.free.checked_sub(size).ok_or(Error::Overfull {
            worker: self.spec.id,
            free: self.free,
            wanted: size,
        })
    }

    /// Returns what would be left after releasing `size`.
    pub(super) fn free_after_release(&self, size: Resources) -> Result<Resources, Error> {
        let after = self.free.checked_add(size);
        let fitting = after.filter(|free| free.fits(&self.spec.capacity));
        fitting.ok_or_else(|| Error::Overreleased {
            worker: self.spec.id,
            reserved: self.reserved(),
            released: size,
        })
    }

    /// Returns whether nothing is reserved.
    pub(super) fn is_empty(&self) -> bool {
        self.free == self.spec.capacity
    }

    /// Returns what is reserved.
    pub(super) fn reserved(&self) -> Resources {
        let reserved = self.spec.capacity.checked_sub(self.free);
        reserved.unwrap_or(Resources::ZERO)
    }
}
