//! The log of the stand-in.

use fulmarpier_state::unit::Span;

use crate::settings::form::{
    Form,
    Section, //
};

/// How the log behaves while no fault is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// How long an append takes.
    pub append_delay: Span,
    /// The most appends a second, over all streams.
    pub appends_per_second: u32,
    /// How long records are kept.
    pub retention: Span,
}

impl Form for Log {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let append_delay = section.within(
            "append_delay",
            Span::from_millis(5),
            Span::default()..=Span::from_secs(60),
        );
        let appends_per_second = section.within("appends_per_second", 300, 1..=100_000);
        let retention = section.within(
            "retention",
            Span::from_secs(6 * 3_600),
            Span::from_secs(1)..=Span::from_secs(30 * 86_400),
        );
        Some(Self {
            append_delay: append_delay?,
            appends_per_second: appends_per_second?,
            retention: retention?,
        })
    }
}
