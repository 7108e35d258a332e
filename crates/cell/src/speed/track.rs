//! The progress of one run, as the inventories of its worker show it.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Estimate,
    Progress,
    Sample,
    Share,
    share::difference_weight, //
};

/// A change of pace within a run by more than this factor shows that its worker has become faster or slower, since the
/// work of a run does not change. Slowdowns that matter are by a factor of seven.
const MIN_CHANGE_FACTOR: f64 = 2.0;
/// The error of the progress over a span, in per cent: workers round percentages to integers.
const ROUNDING_ERROR_PERCENT: f64 = 1.0;
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

    /// Returns the logarithm of the rate on a typical worker, by the estimate of the worker.
    fn typical_rate(self, estimate: &Estimate, now: Timestamp) -> Share {
        // The weight of a rate whose only error is rounding.
        let weight = self.percent.powi(2) / 2.0;
        Share::new(
            self.log_rate() - estimate.log(),
            difference_weight(weight, estimate.weight(now)),
        )
    }

    /// Returns whether a later span is certainly of another pace.
    fn differs(self, later: Self) -> bool {
        let min_rate = |span: Self| (span.percent - ROUNDING_ERROR_PERCENT) / span.seconds;
        let max_rate = |span: Self| (span.percent + ROUNDING_ERROR_PERCENT) / span.seconds;
        min_rate(later) > MIN_CHANGE_FACTOR * max_rate(self)
            || min_rate(self) > MIN_CHANGE_FACTOR * max_rate(later)
    }
}

/// The progress of a run since measuring began, or since its pace changed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Track {
    first: Option<Reading>,
    last: Option<Reading>,
    /// The run's own rate on a typical worker, if its pace has changed and was known before.
    own_rate: Option<Share>,
    /// What the run counts in the baseline of its step.
    pub(super) share: Share,
    /// Whether the run counts for its worker already. One run counts once for each pace that it shows.
    pub(super) is_counted: bool,
    /// Whether its progress went back, so that it does not count any more.
    is_contradictory: bool,
}

impl Track {
    /// Adds a reading. If the run's pace has changed, returns what it showed before the change, if that does not count
    /// already.
    ///
    /// A run whose pace has changed is compared with itself from then on, because runs with much work are the likeliest to
    /// outlast a change. `estimate` is that of its worker before the change.
    ///
    /// Readings of completed work are ignored, since it may have been completed before. After a reading that contradicts
    /// an earlier one, measuring begins again, and a run whose progress went back does not count any more.
    pub fn read(&mut self, reading: Reading, estimate: Option<&Estimate>) -> Option<Sample> {
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
        let sample = self.sample_of(former);
        // The increment may contain both paces.
        self.first = Some(reading);
        self.is_counted = false;
        self.own_rate = estimate.map(|estimate| former.typical_rate(estimate, reading.at));
        sample
    }

    /// Returns what the run has shown so far, if that does not count already.
    pub(super) fn sample(&self) -> Option<Sample> {
        self.sample_of(self.span()?)
    }

    /// Returns what the run has shown until its end, if that does not count already.
    pub(super) fn final_sample(&self, span: Span) -> Option<Sample> {
        let sample = self.sample_of(span)?;
        Some(Sample {
            is_ended: true,
            ..sample
        })
    }

    fn sample_of(&self, span: Span) -> Option<Sample> {
        let first = self.first.filter(|_| !self.is_counted)?;
        Some(Sample {
            span,
            since: first.at,
            own_rate: self.own_rate,
            is_ended: false,
        })
    }

    /// Returns what was measured, if there are two readings.
    pub(super) fn span(&self) -> Option<Span> {
        Span::between(self.first.as_ref()?, self.last.as_ref()?)
    }

    /// Returns what was measured of a run that was done by the time `clock` of the worker's clock.
    pub(super) fn span_to_end(&self, clock: u64) -> Option<Span> {
        Span::new(self.first.as_ref()?, clock, 100.0)
    }

    /// Returns the remaining time of the run if it goes on at its pace; `None` if the pace is unknown or zero.
    pub fn remaining(&self, now: Timestamp) -> Option<Duration> {
        let span = self.span().filter(|span| span.percent > 0.0)?;
        let last = self.last?;
        let left = 100.0 - last.progress.percent();
        let left = Duration::try_from_secs_f64(left * span.seconds / span.percent).ok()?;
        Some(left.saturating_sub(now.since(last.at)))
    }
}
