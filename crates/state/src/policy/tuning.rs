//! What the weights of waiting time, packing and control cost turn into.

use std::time::Duration;

use crate::placement::Weights;

const LONGEST_WINDOW: u64 = 2_000;
const LONGEST_PATIENCE: u64 = 30;
const SHORTEST_PATIENCE: u64 = 2;

/// What the weights set in the order and the timing of decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// Starts that are not urgent are gathered for this long, so that one message carries many.
    pub window: Duration,
    /// A job that can't be placed gets a reservation after it has waited this long.
    pub reserve_after: Duration,
}

impl Tuning {
    /// Returns what the weights set in the decisions.
    ///
    /// The window grows with the share of control against waiting, up to two seconds. The patience
    /// before a reservation grows with the share of packing against waiting, since a reservation
    /// leaves capacity idle.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_state::placement::Weights;
    /// use fulmarpier_state::policy::Tuning;
    ///
    /// let tuning = Tuning::new(&Weights::new(10, 0, 0));
    /// assert!(tuning.window.is_zero());
    /// ```
    ///
    /// See also [`Weights`], which placement uses as they are.
    pub fn new(weights: &Weights) -> Self {
        let waiting = u64::from(weights.waiting);
        let packing = u64::from(weights.packing);
        let control = u64::from(weights.control);
        let window = LONGEST_WINDOW * control / (control + waiting).max(1);
        let range = LONGEST_PATIENCE - SHORTEST_PATIENCE;
        let patience = SHORTEST_PATIENCE + range * packing / (packing + waiting).max(1);
        Self {
            window: Duration::from_millis(window),
            reserve_after: Duration::from_secs(patience),
        }
    }
}
