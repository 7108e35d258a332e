//! What placement weighs against each other.

use serde::{
    Deserialize,
    Serialize, //
};

/// How much waiting, packing and control cost count; only their ratio matters.
///
/// Waiting keeps room in one piece, so that large tasks and gangs needn't wait. Packing fills
/// workers that are in use before an empty one is opened. Control cost looks at fewer candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Weights {
    /// The weight of waiting time.
    pub waiting: u16,
    /// The weight of packing.
    pub packing: u16,
    /// The weight of control cost.
    pub control: u16,
}

impl Weights {
    /// Makes weights from their parts.
    pub const fn new(waiting: u16, packing: u16, control: u16) -> Self {
        Self {
            waiting,
            packing,
            control,
        }
    }
}

impl Default for Weights {
    /// Weighs all three alike.
    fn default() -> Self {
        Self::new(1, 1, 1)
    }
}
