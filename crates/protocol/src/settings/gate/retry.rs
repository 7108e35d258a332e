//! How a gate tries requests again.

use fulmarpier_state::unit::Span;

use crate::settings::form::{
    Form,
    Section, //
};

/// The budget and the pace of retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retry {
    /// The most retries as a share of first tries.
    pub ratio: f64,
    /// Retries a second that are allowed whatever the ratio says.
    pub minimum: u32,
    /// The mean pause before the first retry; it doubles with each further one, with jitter.
    pub backoff: Span,
}

impl Form for Retry {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let ratio = section.within("ratio", 0.1, 0.0..=1.0);
        let minimum = section.within("minimum", 10, 0..=10_000);
        let backoff = section.within(
            "backoff",
            Span::from_millis(20),
            Span::from_millis(1)..=Span::from_secs(10),
        );
        Some(Self {
            ratio: ratio?,
            minimum: minimum?,
            backoff: backoff?,
        })
    }
}
