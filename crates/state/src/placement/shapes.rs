//! The shapes of workers, to tell what could ever fit.

use crate::{
    alias::HashMap,
    resource::Resources, //
};

/// The distinct shapes of all workers and, of these, the ones that no other exceeds.
#[derive(Clone, Debug, Default)]
pub(super) struct Shapes {
    counts: HashMap<Resources, u32>,
    largest: Vec<Resources>,
}

impl Shapes {
    /// Counts a worker of a shape; O(largest shapes) where the shape is new, else O(1).
    pub(super) fn add(&mut self, shape: Resources) {
        let count = self.counts.entry(shape).or_default();
        *count += 1;
        if *count == 1 {
            self.admit(shape);
        }
    }

    /// Takes a worker of a shape away; O(shapes²) where it was the last of a largest shape.
    pub(super) fn remove(&mut self, shape: Resources) {
        let Some(count) = self.counts.get_mut(&shape) else {
            return;
        };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.counts.remove(&shape);
        if self.largest.contains(&shape) {
            self.rebuild();
        }
    }

    /// Returns whether an empty worker could hold the size; O(largest shapes).
    pub(super) fn can_hold(&self, size: &Resources) -> bool {
        self.largest.iter().any(|shape| size.fits(shape))
    }

    fn admit(&mut self, shape: Resources) {
        if self.can_hold(&shape) {
            return;
        }
        self.largest.retain(|other| !other.fits(&shape));
        self.largest.push(shape);
    }

    fn rebuild(&mut self) {
        self.largest.clear();
        let shapes: Vec<Resources> = self.counts.keys().copied().collect();
        for shape in shapes {
            self.admit(shape);
        }
    }
}
