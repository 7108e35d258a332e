//! The shares of the kinds of work.

use crate::settings::form::{
    Form,
    Mistake,
    Section, //
};

const MAX_WEIGHT: f64 = 1_000_000.0;

/// The weights of the kinds of work; only their ratios count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Ordinary requests.
    pub ordinary: f64,
    /// Non-idempotent requests.
    pub once: f64,
    /// Batch jobs.
    pub batch: f64,
    /// Gang jobs.
    pub gang: f64,
    /// Services.
    pub service: f64,
}

impl Mix {
    /// Returns the sum of the weights.
    pub fn total(&self) -> f64 {
        self.ordinary + self.once + self.batch + self.gang + self.service
    }
}

impl Form for Mix {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let ordinary = weight(section, "ordinary", 90.0);
        let once = weight(section, "once", 5.0);
        let batch = weight(section, "batch", 4.0);
        let gang = weight(section, "gang", 1.0);
        let service = weight(section, "service", 0.0);
        let mix = Self {
            ordinary: ordinary?,
            once: once?,
            batch: batch?,
            gang: gang?,
            service: service?,
        };
        if mix.total() <= 0.0 {
            return section.note("ordinary", Mistake::Weightless);
        }
        Some(mix)
    }
}

fn weight(section: &mut Section<'_>, key: &'static str, default: f64) -> Option<f64> {
    section.within(key, default, 0.0..=MAX_WEIGHT)
}
