//! What requests of the load look like.

use fulmarpier_state::{
    name::Service,
    unit::{
        Bytes,
        Span, //
    },
};

use crate::settings::form::{
    Form,
    Section, //
};

/// What requests to services look like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The service that is called; it is set up before the run.
    pub service: Service,
    /// How many targets the service has.
    pub targets: u32,
    /// How many requests each target takes at once.
    pub slots: u16,
    /// The mean time that a target works on a request.
    pub work: Span,
    /// The size of the body.
    pub body: Bytes,
    /// The deadline that is sent along.
    pub deadline: Span,
}

impl Form for Request {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let service = section.required("service");
        let targets = section.within("targets", 50, 1..=100_000);
        let slots = section.within("slots", 8, 1..=1_000);
        let work = section.or("work", Span::from_millis(5));
        let most = Bytes::from_mib(64);
        let body = section.within("body", Bytes(1 << 10), Bytes(0)..=most);
        let deadline = section.or("deadline", Span::from_secs(10));
        Some(Self {
            service: service?,
            targets: targets?,
            slots: slots?,
            work: work?,
            body: body?,
            deadline: deadline?,
        })
    }
}
