//! How long a request would wait, from the slots held and the time that requests take.

use std::time::Duration;

/// A running mean of the time that one request holds a slot.
///
/// The mean is exponentially weighted; it starts without an opinion and then refuses nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    mean: Option<Duration>,
}

impl Estimate {
    /// One over the weight of a new sample.
    const INERTIA: u32 = 16;

    /// Takes in the time that one request held its slot.
    pub fn record(&mut self, held: Duration) {
        self.mean = Some(match self.mean {
            None => held,
            Some(mean) => (mean * (Self::INERTIA - 1) + held) / Self::INERTIA,
        });
    }

    /// Returns the mean time that a request holds a slot.
    pub const fn mean(&self) -> Option<Duration> {
        self.mean
    }

    /// Returns how long a request would wait behind `ahead` others for one of `slots`.
    ///
    /// `None` where nothing is known yet or no slot is held.
    pub fn wait(&self, ahead: usize, slots: usize) -> Option<Duration> {
        if slots == 0 {
            return None;
        }
        let mean = self.mean?.as_secs_f64();
        // All slots are busy: the first of them comes free after a share of the mean.
        let turns = ahead.saturating_add(1);
        #[expect(clippy::cast_precision_loss, reason = "both counts are far below 2^52")]
        let share = turns as f64 / slots as f64;
        Duration::try_from_secs_f64(mean * share).ok()
    }
}
