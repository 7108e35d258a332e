//! The progress that workers report for their runs.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};

/// The number of units in one per cent.
const UNITS_PER_PERCENT: f64 = 100.0;

/// The share of a run's work that is done, in hundredths of a per cent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Progress(u16);

/// Why a number is not a progress.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("a progress must be between 0 and 100 per cent, not {0}")]
pub struct OutOfRange(f64);

impl Progress {
    /// Returns the progress in per cent.
    pub fn percent(self) -> f64 {
        f64::from(self.0) / UNITS_PER_PERCENT
    }

    /// Returns whether all of the work is reported as done.
    pub fn is_complete(self) -> bool {
        self.percent() >= 100.0
    }
}

impl TryFrom<f64> for Progress {
    type Error = OutOfRange;

    fn try_from(percent: f64) -> Result<Self, OutOfRange> {
        if !(0.0..=100.0).contains(&percent) {
            return Err(OutOfRange(percent));
        }
        #[expect(clippy::cast_possible_truncation, reason = "the range is checked")]
        #[expect(clippy::cast_sign_loss, reason = "the range is checked")]
        let units = (percent * UNITS_PER_PERCENT).round() as u16;
        Ok(Self(units))
    }
}

impl fmt::Display for Progress {
    /// Writes the percentage with up to two decimals.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.percent())
    }
}
