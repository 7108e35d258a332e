//! The head of a caller's request to a service.

use fulmarpier_coordination::request::Key;
use fulmarpier_state::{
    name::{
        Service,
        Team, //
    },
    unit::Span,
};

use super::{
    header,
    invalid::{
        Cause,
        Invalid, //
    },
};

/// The path and headers of a request as they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Raw<'a> {
    /// The service from the path.
    pub service: &'a str,
    /// The header `Idempotency-Key`.
    pub key: Option<&'a str>,
    /// The header `Fulmarpier-Idempotent`.
    pub idempotent: Option<&'a str>,
    /// The header `Fulmarpier-Deadline`.
    pub deadline: Option<&'a str>,
    /// The header `Fulmarpier-Team`.
    pub team: Option<&'a str>,
}

/// A checked head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The service that the request is for.
    pub service: Service,
    /// The idempotency key; always there where the request is not idempotent.
    pub key: Option<Key>,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
    /// The span from receipt in which the request is of use; `None` takes the default.
    pub deadline: Option<Span>,
    /// The team on whose account it runs; `None` takes the service's team.
    pub team: Option<Team>,
}

impl TryFrom<Raw<'_>> for Head {
    type Error = Invalid;

    fn try_from(raw: Raw<'_>) -> Result<Self, Self::Error> {
        let mut invalid = Invalid::default();
        let service = invalid.take("service", raw.service.parse());
        let key = raw
            .key
            .and_then(|text| invalid.take(header::IDEMPOTENCY_KEY, text.parse::<Key>()));
        let deadline = raw
            .deadline
            .and_then(|text| invalid.take(header::DEADLINE, text.parse::<Span>()));
        let team = raw
            .team
            .and_then(|text| invalid.take(header::TEAM, text.parse::<Team>()));
        let marked = raw
            .idempotent
            .and_then(|text| invalid.take(header::IDEMPOTENT, flag(text)));
        let idempotent = marked.unwrap_or(raw.key.is_none());
        if !idempotent && raw.key.is_none() {
            invalid.push(header::IDEMPOTENCY_KEY, Cause::KeyMissing);
        }
        let head = service.map(|service| Self {
            service,
            key,
            idempotent,
            deadline,
            team,
        });
        invalid.finish(head)
    }
}

fn flag(text: &str) -> Result<bool, Cause> {
    match text {
        "true" => Ok(true),
        "false" => Ok(false),
        _ => Err(Cause::Word {
            found: text.to_owned(),
            known: "`true` or `false`",
        }),
    }
}
