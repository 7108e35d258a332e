//! The estimate of a worker's speed from the runs that were observed on it.

use std::time::Duration;

use fulmarpier_state::clock::Timestamp;

use super::{
    Class,
    Pool,
    Share,
    Speed, //
};

/// The maximum weight of an estimate, in runs. An estimate follows a gradual change within as many runs.
const MAX_WEIGHT: f64 = 32.0;
/// The weight from which a worker can be told from a typical one: a single run may be a straggler.
const MIN_CLASS_WEIGHT: f64 = 2.0;
/// The time after which the weight of an estimate is halved if no run is observed: the worker may have changed meanwhile.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// The deviation up to which an observation counts in full, in standard deviations.
const MAX_DEVIATION: f64 = 2.0;
/// The deviation from which an observation is an outlier, in standard deviations.
const OUTLIER_DEVIATION: f64 = 3.0;
/// The weight of consecutive outliers on one side that shows that the worker has changed: more than one, since a single
/// run may be a straggler.
const CHANGE_WEIGHT: f64 = 1.5;

/// The smallest factor between a worker's speed and the typical speed that matters.
const MIN_DIFFERENCE: f64 = 1.1;
/// The difference that tells a worker from a typical one if all others are alike, in standard deviations of the
/// estimate: of a thousand equal workers, hardly one differs by more.
const ALIKE_DEVIATIONS: f64 = 3.6;
/// The same if the speeds of the pool differ by far more than the uncertainty of an estimate: the mistakes on either side
/// of the limit are then about as frequent.
const UNALIKE_DEVIATIONS: f64 = 1.2;
/// The smallest difference in standard deviations of the pool's speeds. It is half of the distance between three groups
/// of equal size and equal distance, whose standard deviation is 0.82 times that distance.
const MIN_SPREADS: f64 = 0.6;
/// The part of the difference that made a worker fast or slow at which it counts as typical again.
const EXIT_RATIO: f64 = 0.8;

/// The estimated speed of a worker, on a scale that only its [`Pool`] relates to the typical speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The natural logarithm of the speed.
    pub(super) log: f64,
    /// The number of runs that the estimate was worth when it was updated.
    pub(super) weight: f64,
    /// When it was updated.
    updated: Timestamp,
    /// The weight of the latest consecutive outliers; negative if the runs were slower than expected.
    outlier_weight: f64,
}

/// How an observation deviates from an estimate.
#[derive(Clone, Copy, Debug)]
pub(super) struct Deviation {
    /// The difference, within bounds.
    pub(super) bounded: f64,
    /// The square of the difference that a run of full weight would have had.
    pub(super) variance: f64,
}

impl Estimate {
    /// Creates an estimate that is worth `weight` runs.
    pub(super) const fn new(log: f64, weight: f64) -> Self {
        Self {
            log,
            weight,
            updated: Timestamp::ZERO,
            outlier_weight: 0.0,
        }
    }

    /// Returns whether any run has been observed.
    pub fn is_observed(&self) -> bool {
        self.updated > Timestamp::ZERO
    }

    /// Returns the number of runs that the estimate is worth.
    pub fn weight(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.weight * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Returns the number of runs that the estimate is worth, rounded.
    pub fn runs(&self, now: Timestamp) -> u32 {
        // The cast saturates at the bounds of the type.
        #[expect(clippy::cast_possible_truncation, reason = "the cast saturates")]
        #[expect(clippy::cast_sign_loss, reason = "the cast saturates")]
        let runs = self.weight(now).round() as u32;
        runs
    }

    /// Returns the speed.
    pub fn speed(&self, pool: &Pool) -> Speed {
        Speed::from_log(self.log - pool.typical())
    }

    /// Adds the observation of a run.
    pub(super) fn add(&mut self, observed: Share, pool: &Pool, now: Timestamp) -> Deviation {
        let prior = pool.prior_weight();
        self.weight = self.weight(now).max(prior);
        self.updated = now;
        let deviation = observed.log() - self.log;
        if self.is_changed_by(deviation, observed.weight(), pool) {
            self.weight = prior;
        }
        let scale = self.standard_deviation(observed.weight(), pool);
        let bound = MAX_DEVIATION * scale;
        let bounded = deviation.clamp(-bound, bound);
        self.log += bounded * observed.weight() / (self.weight + observed.weight());
        // A deviation beyond the bound says less than its weight.
        let counted = observed.weight() * (bound / deviation.abs()).min(1.0);
        self.weight = (self.weight + counted).min(MAX_WEIGHT);
        Deviation {
            bounded,
            variance: (bounded / scale * pool.noise()).powi(2),
        }
    }

    /// Returns the standard deviation that an observation is expected to have from the estimate.
    fn standard_deviation(&self, weight: f64, pool: &Pool) -> f64 {
        pool.noise() * (1.0 / self.weight + 1.0 / weight).sqrt()
    }

    /// Counts outliers, and returns whether the worker must have changed.
    fn is_changed_by(&mut self, deviation: f64, weight: f64, pool: &Pool) -> bool {
        let is_outlier =
            deviation.abs() > OUTLIER_DEVIATION * self.standard_deviation(weight, pool);
        if !is_outlier || self.outlier_weight * deviation < 0.0 {
            self.outlier_weight = 0.0;
        }
        if is_outlier {
            self.outlier_weight += weight * deviation.signum();
        }
        let is_changed = self.outlier_weight.abs() >= CHANGE_WEIGHT;
        if is_changed {
            self.outlier_weight = 0.0;
        }
        is_changed
    }

    /// Returns the class of the worker, which was `former` before.
    pub fn class(&self, former: Class, pool: &Pool, now: Timestamp) -> Class {
        let weight = self.weight(now);
        if weight < MIN_CLASS_WEIGHT && former == Class::Typical {
            return Class::Typical;
        }
        let entry = Self::min_difference(weight, pool);
        let limit = |class| match class == former {
            true => entry * EXIT_RATIO,
            false => entry,
        };
        match self.log - pool.typical() {
            difference if difference > limit(Class::Fast) => Class::Fast,
            difference if difference < -limit(Class::Slow) => Class::Slow,
            _ => Class::Typical,
        }
    }

    /// Returns the logarithmic difference from the typical speed that makes a worker fast or slow.
    ///
    /// The more the speeds of the pool differ, the likelier it is that a difference is real.
    fn min_difference(weight: f64, pool: &Pool) -> f64 {
        let variance = pool.noise().powi(2) / weight.max(f64::MIN_POSITIVE);
        let alike = variance / (variance + pool.spread().powi(2));
        let deviations = UNALIKE_DEVIATIONS + (ALIKE_DEVIATIONS - UNALIKE_DEVIATIONS) * alike;
        let bounds = [
            MIN_DIFFERENCE.ln(),
            deviations * variance.sqrt(),
            MIN_SPREADS * pool.spread(),
        ];
        bounds.into_iter().fold(0.0, f64::max)
    }
}
