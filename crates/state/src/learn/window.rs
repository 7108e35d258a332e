//! The last few values of a quantity, in order.

use std::collections::VecDeque;

/// How many values are kept.
const LEN: usize = 32;

/// The last 32 values, so that a program that has changed is soon known by its new ways.
///
/// Recording costs O(32), reading O(1). A log-bucketed histogram would take as much memory at this
/// length, and needs halving to forget.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    recent: VecDeque<u64>,
    sorted: Vec<u64>,
}

impl Window {
    /// Adds a value; the oldest goes where the window is full.
    pub(super) fn record(&mut self, value: u64) {
        if self.recent.len() == LEN {
            self.drop_oldest();
        }
        self.recent.push_back(value);
        let at = self.sorted.partition_point(|other| *other < value);
        self.sorted.insert(at, value);
    }

    /// Returns how many values there are.
    pub(super) fn len(&self) -> u32 {
        u32::try_from(self.sorted.len()).unwrap_or(u32::MAX)
    }

    /// Returns the smallest value that at least this many of a hundred further values should not
    /// exceed, as far as so few values can tell.
    ///
    /// A further value is as likely to fall into each of the n + 1 gaps around n values.
    pub(super) fn quantile(&self, percent: usize) -> Option<u64> {
        let rank = ((self.sorted.len() + 1) * percent).div_ceil(100);
        let last = self.sorted.len().checked_sub(1)?;
        self.sorted.get((rank - 1).min(last)).copied()
    }

    /// Returns how far apart the middle eight of ten values are, as a ratio from one up.
    pub(super) fn spread(&self) -> f64 {
        let low = self.quantile(10).unwrap_or(1).max(1);
        let high = self.quantile(90).unwrap_or(1).max(1);
        high as f64 / low as f64
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.recent.pop_front() else {
            return;
        };
        if let Ok(at) = self.sorted.binary_search(&oldest) {
            self.sorted.remove(at);
        }
    }
}
