//! The separation of the two effects on the rate of a run: its step and its worker.

use fulmarpier_state::clock::Timestamp;

use super::{
    Baseline,
    Estimate,
    Pool,
    Reading,
    Share,
    Span,
    Track, //
};

/// The share of a run from which it counts in full. The tasks of a step differ in their work, which longer spans of the
/// same run don't make up for; shorter spans suffer from rounded percentages.
const FULL_SHARE: f64 = 0.25;
/// The weight from which a run counts at once, rather than at its end. Stragglers would otherwise count when they are
/// most of what a worker runs.
const MIN_COUNTED_WEIGHT: f64 = 0.66;
/// A run that seems faster than its step by more than this factor has not reported its progress correctly.
const MAX_FASTER: f64 = 30.0;
/// The deviation of a run from its step up to which it counts in full for the baseline, in standard deviations.
const MAX_BASELINE_DEVIATION: f64 = 3.0;

/// A run that is observed.
#[derive(Debug)]
pub struct Observation<'a> {
    /// The index of its worker.
    pub worker: usize,
    /// Its progress.
    pub track: &'a mut Track,
    /// The baseline of its step.
    pub step: &'a mut Baseline,
}

/// What a run shows of its worker.
#[derive(Clone, Copy, Debug)]
struct Shown {
    /// The speed.
    speed: Share,
    /// The typical duration of the step's tasks, in seconds.
    duration: f64,
}

impl Observation<'_> {
    /// Adds a reading of the progress.
    pub fn read(&mut self, reading: Reading, estimate: &mut Estimate, pool: &mut Pool) {
        if let Some(former) = self.track.read(reading) {
            self.count(self.shown(former, 1.0, pool), estimate, pool, reading.at);
            self.track.is_counted = false;
        }
        let Some(span) = self.track.span() else {
            return;
        };
        self.update_baseline(span, estimate, pool, reading.at);
        let shown = self.shown(span, 1.0, pool);
        let shown = shown.filter(|shown| shown.speed.weight() >= MIN_COUNTED_WEIGHT);
        self.count(shown, estimate, pool, reading.at);
    }

    /// Adds the end of the run, which was done by the time `clock` of the worker's clock.
    pub fn end(&mut self, clock: u64, estimate: &mut Estimate, pool: &mut Pool, now: Timestamp) {
        let Some(span) = self.track.span_to_end(clock) else {
            return;
        };
        self.update_baseline(span, estimate, pool, now);
        // The run may have ended some time before the inventory, which must not make it count for more.
        let shown = self.shown(span, span.percent / 100.0, pool);
        self.count(shown, estimate, pool, now);
    }

    /// Adds to an estimate what the run has shown so far, if it is not counted yet.
    pub fn preview(&self, estimate: &mut Estimate, pool: &Pool, now: Timestamp) {
        if !self.track.is_counted
            && let Some(span) = self.track.span()
            && let Some(shown) = self.shown(span, 1.0, pool)
        {
            estimate.add(shown.speed, pool, now);
        }
    }

    /// Returns the speed of the worker that a span of the run shows, if other workers run tasks of its step.
    ///
    /// Its weight is that of the share that a typical worker would have done, up to `max_share`: a run that stands still
    /// counts too.
    fn shown(&self, span: Span, max_share: f64, pool: &Pool) -> Option<Shown> {
        let others = self.step.without(self.worker)?;
        let typical_rate = (others.log() + pool.typical()).exp();
        let duration = typical_rate.recip();
        let log = span.log_rate() - others.log() - pool.bias(duration);
        if log - pool.typical() > MAX_FASTER.ln() {
            return None;
        }
        let weight = share_weight((typical_rate * span.seconds).min(max_share));
        Some(Shown {
            speed: Share::new(log, difference_weight(weight, others.weight())),
            duration,
        })
    }

    /// Counts what the run has shown, unless it is counted already.
    fn count(
        &mut self,
        shown: Option<Shown>,
        estimate: &mut Estimate,
        pool: &mut Pool,
        now: Timestamp,
    ) {
        let Some(shown) = shown.filter(|_| !self.track.is_counted) else {
            return;
        };
        self.track.is_counted = true;
        let known = estimate.weight(now);
        let deviation = estimate.add(shown.speed, pool, now);
        pool.learn(deviation, shown.duration, shown.speed.weight(), known);
    }

    /// Updates what the run counts in the baseline of its step, which is its rate without the effect of its worker.
    fn update_baseline(&mut self, span: Span, estimate: &Estimate, pool: &Pool, now: Timestamp) {
        if span.percent <= 0.0 {
            return;
        }
        let others = self.step.without(self.worker);
        let share = match others {
            Some(others) => (others.log() + pool.typical()).exp() * span.seconds,
            None => span.percent / 100.0,
        };
        let weight = share_weight(share);
        let mut log = span.log_rate() - estimate.log;
        if let Some(others) = others {
            let deviation = pool.noise() / difference_weight(weight, others.weight()).sqrt();
            let bound = MAX_BASELINE_DEVIATION * deviation;
            log = log.clamp(others.log() - bound, others.log() + bound);
        }
        let known = estimate.weight(now).max(pool.prior_weight());
        let share = Share::new(log, difference_weight(weight, known));
        self.step.replace(self.worker, self.track.share, share);
        self.track.share = share;
    }
}

/// Returns the weight of a span that covers a share of a run.
fn share_weight(share: f64) -> f64 {
    (share / FULL_SHARE).min(1.0)
}

/// Returns the weight of the difference of two values.
fn difference_weight(one: f64, other: f64) -> f64 {
    one * other / (one + other)
}
