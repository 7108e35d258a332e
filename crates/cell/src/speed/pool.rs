//! What is known of a pool as a whole: its typical speed, how much its speeds differ, and how runs differ by chance.

use super::{
    Estimate,
    estimate::Deviation, //
};

/// The standard deviation of a run's logarithmic rate that is assumed at first.
const INITIAL_NOISE: f64 = 0.3;
/// The bounds of that standard deviation.
const NOISE_RANGE: [f64; 2] = [0.08, 0.6];
/// What the initial noise is worth, in runs.
const INITIAL_NOISE_WEIGHT: f64 = 100.0;
/// The maximum weight of the noise, in runs.
const MAX_NOISE_WEIGHT: f64 = 2_000.0;
/// The weight from which the deviations from an estimate show the noise, and not that the worker is unknown.
const MIN_NOISE_WEIGHT: f64 = 4.0;

/// The typical durations, in seconds, that divide steps by their bias.
const BIAS_BOUNDS: [f64; 4] = [0.7, 1.2, 2.0, 4.0];
/// What the initial bias of zero is worth, in runs.
const INITIAL_BIAS_WEIGHT: f64 = 50.0;
/// The maximum weight of a bias, in runs.
const MAX_BIAS_WEIGHT: f64 = 500.0;

/// The standard deviation of the logarithmic speeds of unknown workers.
const UNKNOWN_SPREAD: f64 = 0.4;
/// The weight from which an estimate counts for the typical speed.
const MIN_ESTIMATE_WEIGHT: f64 = 2.0;
/// The part of the workers, at either end, that does not count for the typical speed.
const TRIMMED_DIVISOR: usize = 4;
/// The greatest logarithmic difference from the typical speed that counts for the spread.
const MAX_DIFFERENCE: f64 = 1.0;
/// The factor by which the variance of estimates exceeds what follows from their weights: runs of one step share the
/// error of their baseline, and some are stragglers. In simulated pools, the factor is up to 1.3; the spread of a pool of
/// equal workers must come out as zero.
const EXCESS_VARIANCE: f64 = 1.4;

/// A weighted mean whose memory is bounded.
#[derive(Clone, Copy, Debug)]
struct Mean {
    value: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64, weight: f64, max_weight: f64) {
        self.weight = (self.weight + weight).min(max_weight);
        self.value += (value - self.value) * weight / self.weight;
    }
}

/// A pool of workers whose speeds are compared with each other.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The natural logarithm of the typical speed, on the scale of the estimates.
    typical: f64,
    /// The standard deviation of the logarithmic speeds.
    spread: f64,
    /// The variance of a run's logarithmic rate.
    variance: Mean,
    /// The mean deviation of runs from the estimates of their workers, by the duration of their steps.
    ///
    /// Runs that end soon are compared with few others of their step, and many short runs end before they are listed
    /// twice, so that the others seem too slow. Without this correction, the estimates of workers that run only short
    /// steps drift away from those of the others by a quarter within a minute.
    biases: [Mean; BIAS_BOUNDS.len() + 1],
}

impl Default for Pool {
    fn default() -> Self {
        let bias = Mean {
            value: 0.0,
            weight: INITIAL_BIAS_WEIGHT,
        };
        Self {
            typical: 0.0,
            spread: 0.0,
            variance: Mean {
                value: INITIAL_NOISE * INITIAL_NOISE,
                weight: INITIAL_NOISE_WEIGHT,
            },
            biases: [bias; BIAS_BOUNDS.len() + 1],
        }
    }
}

impl Pool {
    /// Returns the estimate for a worker of unknown speed.
    pub fn unknown(&self) -> Estimate {
        Estimate::new(self.typical, self.prior_weight())
    }

    /// Returns the natural logarithm of the typical speed.
    pub(super) const fn typical(&self) -> f64 {
        self.typical
    }

    /// Returns the standard deviation of the workers' logarithmic speeds.
    pub(super) const fn spread(&self) -> f64 {
        self.spread
    }

    /// Returns the standard deviation of a run's logarithmic rate.
    pub(super) fn noise(&self) -> f64 {
        let [min, max] = NOISE_RANGE;
        self.variance.value.sqrt().clamp(min, max)
    }

    /// Returns how many runs the knowledge is worth that a worker belongs to the pool.
    pub(super) fn prior_weight(&self) -> f64 {
        (self.noise() / UNKNOWN_SPREAD).powi(2)
    }

    /// Returns the bias of runs in steps of a typical duration, in seconds.
    pub(super) fn bias(&self, duration: f64) -> f64 {
        self.biases[bias_index(duration)].value
    }

    /// Learns from the deviation of a run, in a step of a typical duration, from the estimate of its worker, which had
    /// the weight `known`.
    pub(super) fn learn(&mut self, deviation: Deviation, duration: f64, weight: f64, known: f64) {
        let bias = &mut self.biases[bias_index(duration)];
        bias.add(bias.value + deviation.bounded, weight, MAX_BIAS_WEIGHT);
        if known >= MIN_NOISE_WEIGHT {
            self.variance
                .add(deviation.variance, weight, MAX_NOISE_WEIGHT);
        }
    }

    /// Updates the typical speed, which is the mean of the middle half of the workers, and the spread.
    ///
    /// Each worker counts once, however many runs it has had, so that steps that run only on fast workers do not shift
    /// the typical speed.
    pub fn recentre(&mut self, estimates: impl Iterator<Item = Estimate>) {
        let known = estimates.filter(|estimate| estimate.last_weight() >= MIN_ESTIMATE_WEIGHT);
        let mut known: Vec<Estimate> = known.collect();
        let Some(last) = known.len().checked_sub(1) else {
            return;
        };
        let trimmed = known.len() / TRIMMED_DIVISOR;
        let order = |one: &Estimate, other: &Estimate| one.log().total_cmp(&other.log());
        known.select_nth_unstable_by(trimmed, order);
        known[trimmed..].select_nth_unstable_by(last - 2 * trimmed, order);
        let middle = known[trimmed..=last - trimmed].iter();
        self.typical = mean(middle.map(|estimate| estimate.log()));
        let noise = EXCESS_VARIANCE * self.noise().powi(2);
        let excess = known.iter().map(|estimate| {
            let difference = estimate.log() - self.typical;
            let difference = difference.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
            difference.powi(2) - noise / estimate.last_weight()
        });
        self.spread = mean(excess).max(0.0).sqrt();
    }
}

fn bias_index(duration: f64) -> usize {
    let exceeded = BIAS_BOUNDS.iter().filter(|bound| duration > **bound);
    exceeded.count()
}

/// Returns the mean of at least one value.
fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = u32::try_from(values.len()).unwrap_or(u32::MAX);
    values.sum::<f64>() / f64::from(count)
}
