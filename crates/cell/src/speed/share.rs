//! Weighted observations.

/// The share of a run from which it counts in full. The tasks of a step differ in their work, which longer spans of the
/// same run don't make up for; shorter spans suffer from rounded percentages.
const FULL_SHARE: f64 = 0.25;

/// An observed logarithm with a weight: the number of runs that it is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Share {
    pub(super) log: f32,
    pub(super) weight: f32,
}

impl Share {
    /// Creates an observation.
    pub(super) const fn new(log: f64, weight: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "estimates need no more than single precision"
        )]
        let (log, weight) = (log as f32, weight as f32);
        Self { log, weight }
    }

    /// Returns the logarithm.
    pub(super) fn log(self) -> f64 {
        self.log.into()
    }

    /// Returns the weight.
    pub(super) fn weight(self) -> f64 {
        self.weight.into()
    }
}

/// Returns the weight of a span that covers a share of a run.
pub(super) fn share_weight(share: f64) -> f64 {
    (share / FULL_SHARE).min(1.0)
}

/// Returns the weight of the difference of two values.
pub(super) fn difference_weight(one: f64, other: f64) -> f64 {
    one * other / (one + other)
}
