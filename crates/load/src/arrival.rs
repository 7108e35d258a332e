//! Open-loop arrivals: when each call is sent does not depend on how earlier ones fared.

use std::time::Duration;

use fulmarpier_protocol::settings::load::{
    Arrivals as Spacing,
    Load as Settings,
    Mix, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use uuid::{
    Builder,
    Uuid, //
};

use crate::kind::Kind;

/// One call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When to send it, from the start of the run.
    pub at: Duration,
    /// What to send.
    pub kind: Kind,
    /// The identity of the call: the request's id and key, or the job's id.
    pub id: Uuid,
    /// The seed of what is random in the call.
    pub seed: u64,
}

/// The calls of a run, seeded; an iterator without end.
///
/// The same seed gives the same times, kinds and sizes. The ids differ between runs with another
/// `origin`, so that a second run is not taken for a repeat of the first.
#[derive(Debug)]
pub struct Arrivals {
    rng: StdRng,
    mix: Mix,
    spacing: Spacing,
    rate: f64,
    count: u64,
    at: Duration,
    origin: Duration,
}

impl Arrivals {
    /// Makes the arrivals of a run; `origin` is the wall clock at its start, from the Unix epoch.
    pub fn new(settings: &Settings, origin: Duration) -> Self {
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            mix: settings.mix,
            spacing: settings.arrivals,
            rate: settings.rate,
            count: 0,
            at: Duration::ZERO,
            origin,
        }
    }

    fn advance(&mut self) {
        #[expect(clippy::cast_precision_loss, reason = "the count is far below 2^52")]
        let even = self.count as f64 / self.rate;
        self.at = match self.spacing {
            Spacing::Poisson => self
                .at
                .saturating_add(exponential(&mut self.rng, 1.0 / self.rate)),
            Spacing::Steady => seconds(even),
            Spacing::Burst => seconds(even.floor()),
        };
        self.count += 1;
    }

    fn id(&mut self) -> Uuid {
        let millis = (self.origin + self.at).as_millis();
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        let bits: [u8; 10] = self.rng.random();
        Builder::from_unix_timestamp_millis(millis, &bits).into_uuid()
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.advance();
        let kind = Kind::pick(&self.mix, self.rng.random());
        Some(Arrival {
            at: self.at,
            kind,
            id: self.id(),
            seed: self.rng.random(),
        })
    }
}

/// Draws a span from the exponential distribution with the given mean in seconds.
pub(crate) fn exponential(rng: &mut StdRng, mean: f64) -> Duration {
    // One minus the sample, because the logarithm of zero has no value.
    let uniform: f64 = 1.0 - rng.random::<f64>();
    seconds(-uniform.ln() * mean)
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
