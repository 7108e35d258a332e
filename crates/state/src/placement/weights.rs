//! What placement weighs against each other.

use serde::{
    Deserialize,
    Serialize, //
};

/// The factor of the imbalance where waiting counts for nothing.
const LEAST_IMBALANCE: f64 = 2.0;
/// What waiting adds to it where nothing else counts.
const MORE_IMBALANCE: f64 = 6.0;
/// The factor of the extension where packing counts for nothing.
const LEAST_EXTENSION: f64 = 2.0;
/// What packing adds to it where nothing else counts.
const MORE_EXTENSION: f64 = 3.0;
/// The candidates in each order where control cost is all that counts.
const FEWEST_CANDIDATES: usize = 4;
/// The candidates added where control cost counts for nothing.
const MORE_CANDIDATES: f64 = 8.0;

/// How much waiting, packing and control cost count; only their ratio matters.
///
/// Waiting keeps what is left of a worker in proportion, so that large tasks and gangs find room.
/// Packing keeps tasks together that end together, so that whole workers become empty. Control cost
/// compares fewer candidates.
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

/// What the weights turn into for a search.
#[derive(Clone, Copy, Debug)]
pub(super) struct Factors {
    /// Counts what a task adds to the imbalance of what is left.
    pub(super) imbalance: f64,
    /// Counts how much longer a task keeps a worker in use.
    pub(super) extension: f64,
    /// How many workers are compared in each order.
    pub(super) candidates: usize,
}

impl From<&Weights> for Factors {
    fn from(weights: &Weights) -> Self {
        let [waiting, packing, control] = weights.shares();
        Self {
            imbalance: LEAST_IMBALANCE + MORE_IMBALANCE * waiting,
            extension: LEAST_EXTENSION + MORE_EXTENSION * packing,
            candidates: FEWEST_CANDIDATES + more_candidates(1.0 - control),
        }
    }
}

impl Weights {
    /// Returns the share of each weight in their sum; without any weight, a third each.
    fn shares(&self) -> [f64; 3] {
        let parts = [self.waiting, self.packing, self.control].map(f64::from);
        let sum: f64 = parts.iter().sum();
        match sum > 0.0 {
            true => parts.map(|part| part / sum),
            false => [1.0 / 3.0; 3],
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the share lies between zero and one"
)]
fn more_candidates(share: f64) -> usize {
    (share * MORE_CANDIDATES).round() as usize
}

impl Default for Weights {
    /// Weighs all three alike.
    fn default() -> Self {
        Self::new(1, 1, 1)
    }
}
