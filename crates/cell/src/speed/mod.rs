//! The speed of workers relative to the others of their pool.
//!
//! The rate of a run depends on its step and on its worker. Tasks of a step are alike, so each run is compared with the
//! runs of its step on other workers:
//!
//! | module | what it does |
//! |---|---|
//! | `progress` | the progress that a worker reports |
//! | `track` | the progress of a run over time |
//! | `baseline` | the rate of a step's tasks on a typical worker |
//! | `sample` | what a run shows of the speed of its worker |
//! | `estimate` | the speed of a worker, and its class |
//! | `profile` | what is known of the speed of one worker |
//! | `pool` | the typical speed of a pool, and the noise of its runs |
//! | `share` | weighted observations |

mod baseline;
mod estimate;
mod pool;
mod profile;
mod progress;
mod sample;
mod share;
mod track;

use std::{
    fmt,
    num::ParseFloatError,
    str::FromStr, //
};

use self::share::Share;
pub use self::{
    baseline::{
        Baseline,
        View, //
    },
    estimate::Estimate,
    pool::Pool,
    profile::{
        Observed,
        Profile, //
    },
    progress::{
        OutOfRange,
        Progress, //
    },
    sample::Sample,
    track::{
        Reading,
        Span,
        Track, //
    },
};

/// The speed of a worker; 1.0 is the typical speed in its pool.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Speed(f64);

impl Speed {
    /// The typical speed in a pool.
    pub const TYPICAL: Self = Self(1.0);

    /// Returns the speed with a natural logarithm.
    fn from_log(log: f64) -> Self {
        Self(log.exp().clamp(f64::MIN_POSITIVE, f64::MAX))
    }

    /// Returns the speed as a multiple of the typical one.
    pub const fn get(self) -> f64 {
        self.0
    }
}

/// Why a number is not a speed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Error {
    /// The text is not a number.
    #[error("a speed must be a number")]
    Number(#[from] ParseFloatError),
    /// The number is not positive, or not finite.
    #[error("a speed must be positive and finite, not {0}")]
    OutOfRange(f64),
}

impl TryFrom<f64> for Speed {
    type Error = Error;

    fn try_from(value: f64) -> Result<Self, Error> {
        match value.is_finite() && value > 0.0 {
            true => Ok(Self(value)),
            false => Err(Error::OutOfRange(value)),
        }
    }
}

impl FromStr for Speed {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        text.parse::<f64>()?.try_into()
    }
}

impl fmt::Display for Speed {
    /// Writes the speed with two decimals.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// How a worker's speed compares with its pool, slowest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Certainly slower than the typical worker.
    Slow,
    /// Like the typical worker, or not known to differ from it.
    #[default]
    Typical,
    /// Certainly faster than the typical worker.
    Fast,
}

impl Class {
    /// All classes, slowest first.
    pub const ALL: [Self; 3] = [Self::Slow, Self::Typical, Self::Fast];

    /// Returns the value that is written to logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Typical => "typical",
            Self::Fast => "fast",
        }
    }
}
