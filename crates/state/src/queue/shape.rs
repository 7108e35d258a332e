//! Classes of nearly equal sizes.

use crate::resource::Resources;

/// A class of task sizes: two steps for each doubling of processors and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape {
    cpu: u8,
    memory: u8,
    accelerators: u16,
    gang: bool,
}

impl Shape {
    /// Returns the class of a size; gangs are kept apart from single tasks.
    pub fn new(size: &Resources, gang: bool) -> Self {
        Self {
            cpu: step(u64::from(size.cpu.0)),
            memory: step(size.memory.0),
            accelerators: size.accelerators,
            gang,
        }
    }

    /// Returns whether the class holds gangs.
    pub const fn is_gang(&self) -> bool {
        self.gang
    }
}

/// Returns twice the binary logarithm, rounded down.
fn step(amount: u64) -> u8 {
    let Some(log) = amount.checked_ilog2() else {
        return 0;
    };
    // The second half of an octave begins at its power of two and a half.
    let half = log > 0 && amount >> (log - 1) & 1 == 1;
    let step = 1 + 2 * log + u32::from(half);
    u8::try_from(step).unwrap_or(u8::MAX)
}
