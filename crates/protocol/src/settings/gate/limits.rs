//! Bounds on the requests of a gate.

use fulmarpier_state::unit::{
    Bytes,
    Span, //
};

use crate::settings::form::{
    Form,
    Mistake,
    Section, //
};

const MAX_COUNT: u32 = 1_000_000;
/// Bounds on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request.
    pub body: Bytes,
    /// The most connections of callers, idle ones included.
    pub connections: u32,
    /// The memory for what callers send; a body takes twice its size.
    pub memory: Bytes,
    /// The most requests that are in progress at once, waiting ones included.
    pub in_flight: u32,
    /// The most requests that wait for a slot of one service.
    pub queue_per_service: u32,
    /// The deadline of a request that names none.
    pub default_deadline: Span,
    /// The longest deadline that a request may name.
    pub max_deadline: Span,
}

impl Form for Limits {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let body = section.within(
            "body",
            Bytes::from_mib(8),
            Bytes(1 << 10)..=Bytes::from_gib(1),
        );
        let connections = section.within("connections", 10_000, 1..=MAX_COUNT);
        let memory = section.within(
            "memory",
            Bytes::from_mib(256),
            Bytes::from_mib(8)..=Bytes::from_gib(1_024),
        );
        let in_flight = section.within("in_flight", 8_192, 1..=MAX_COUNT);
        let queue_per_service = section.within("queue_per_service", 2_048, 1..=MAX_COUNT);
        let default_deadline = deadline(section, "default_deadline", Span::from_secs(10));
        let max_deadline = deadline(section, "max_deadline", Span::from_secs(300));
        check_deadlines(section, default_deadline, max_deadline);
        Some(Self {
            body: body?,
            connections: connections?,
            memory: memory?,
            in_flight: in_flight?,
            queue_per_service: queue_per_service?,
            default_deadline: default_deadline?,
            max_deadline: max_deadline?,
        })
    }
}

fn deadline(section: &mut Section<'_>, key: &'static str, default: Span) -> Option<Span> {
    section.within(key, default, Span::from_millis(1)..=Span::from_secs(86_400))
}

fn check_deadlines(section: &mut Section<'_>, default: Option<Span>, most: Option<Span>) {
    let (Some(default), Some(most)) = (default, most) else {
        return;
    };
    if default > most {
        let mistake = Mistake::Relation {
            relation: "at most",
            other: "max_deadline",
            value: most.to_string(),
        };
        section.note::<()>("default_deadline", mistake);
    }
}
