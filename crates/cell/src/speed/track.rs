//! The progress of one run, as the inventories of its worker show it.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Progress,
    Share, //
};

/// The factor by which the pace of a run has to change to show that its worker has become faster or slower: the work of
/// a run does not change. It exceeds what rounding to whole per cent can cause.
const MIN_CHANGE_FACTOR: f64 = 2.0;
/// The progress, in per cent, from which paces are compared: rounding changes it by a fifth at most.
const MIN_COMPARED_PERCENT: f64 = 5.0;
/// The progress that is assumed for a run that shows none, in per cent: the mean of what is rounded down to zero.
const STANDSTILL_PERCENT: f64 = 0.5;

/// The progress of a run in one inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// The progress.
    pub progress: Progress,
    /// When the inventory arrived.
    pub at: Timestamp,
}

/// The progress of a run over a period of the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// The work done, in per cent.
    pub percent: f64,
    /// The length of the period, in seconds.
    pub seconds: f64,
}

impl Span {
    /// Returns the progress from a reading to a later one; `None` if the clock stood still or went back.
    fn new(from: &Reading, clock: u64, percent: f64) -> Option<Self> {
        let millis = clock.checked_sub(from.clock).filter(|span| *span > 0)?;
        Some(Self {
            percent: percent - from.progress.percent(),
            seconds: Duration::from_millis(millis).as_secs_f64(),
        })
    }

    fn between(from: &Reading, to: &Reading) -> Option<Self> {
        let span = Self::new(from, to.clock, to.progress.percent());
        span.filter(|span| span.percent >= 0.0)
    }

    /// Returns the natural logarithm of the rate, in runs per second.
    pub fn log_rate(self) -> f64 {
        (self.percent.max(STANDSTILL_PERCENT) / 100.0 / self.seconds).ln()
    }

    /// Returns whether a later span is certainly of another pace.
    fn differs(self, later: Self) -> bool {
        let expected = self.percent / self.seconds * later.seconds;
        let is_comparable = self.percent >= MIN_COMPARED_PERCENT
            && expected.max(later.percent) >= MIN_COMPARED_PERCENT;
        let change = later.log_rate() - self.log_rate();
        is_comparable && change.abs() > MIN_CHANGE_FACTOR.ln()
    }
}

/// The progress of a run since measuring began, or since its pace changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Track {
    first: Option<Reading>,
    last: Option<Reading>,
    /// What the run counts in the baseline of its step.
    pub(super) share: Share,
    /// Whether the run counts for its worker already. One run counts once for each pace that it shows.
    pub(super) is_counted: bool,
    /// Whether its progress went back, so that it does not count any more.
    is_contradictory: bool,
}

impl Track {
    /// Adds a reading. If the run's pace has changed, returns what was measured before the change.
    ///
    /// Readings of completed work are ignored, since it may have been completed before. After a reading that contradicts
    /// an earlier one, measuring begins again, and a run whose progress went back does not count any more.
    pub fn read(&mut self, reading: Reading) -> Option<Span> {
        if reading.progress.is_complete() {
            return None;
        }
        let last = self.last.replace(reading);
        let increment = last.and_then(|last| Span::between(&last, &reading));
        let Some((last, increment)) = last.zip(increment) else {
            self.is_contradictory |= last.is_some_and(|last| last.progress > reading.progress);
            self.is_counted |= self.is_contradictory;
            self.first = Some(reading);
            return None;
        };
        let former = self.first.and_then(|first| Span::between(&first, &last));
        let former = former.filter(|former| former.differs(increment) && !self.is_contradictory)?;
        self.first = Some(last);
        Some(former)
    }

    /// Returns what was measured, if there are two readings.
    pub fn span(&self) -> Option<Span> {
        Span::between(self.first.as_ref()?, self.last.as_ref()?)
    }

    /// Returns what was measured of a run that was done by the time `clock` of the worker's clock.
    pub fn span_to_end(&self, clock: u64) -> Option<Span> {
        Span::new(self.first.as_ref()?, clock, 100.0)
    }
}
