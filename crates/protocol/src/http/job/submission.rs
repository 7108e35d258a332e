//! The step from a job as it came to a checked declaration.

use fulmarpier_state::{
    clock::Timestamp,
    id::JobId,
    job::{
        Kind,
        Payload,
        Spec, //
    },
    resource::Resources,
    unit::Span,
};

use super::{
    Raw,
    Service,
    Size,
    word, //
};
use crate::http::invalid::{
    Cause,
    Invalid, //
};

/// The most tasks of one job.
pub const MAX_TASKS: u64 = 100_000;

const DEFAULT_SLOTS: u64 = 8;

/// A job as it came and when it came, since deadlines are spans from receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// The job as it came.
    pub raw: Raw,
    /// When it came.
    pub at: Timestamp,
}

/// A checked job whose deadline is still a span from receipt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The id, where the caller chose one.
    pub id: Option<JobId>,
    /// What the job is, without its deadline.
    pub spec: Spec,
    /// The span from receipt within which the last task must have ended.
    pub deadline: Option<Span>,
}

impl Draft {
    /// Returns the submission that the draft makes at the time of receipt.
    pub fn received(self, at: Timestamp) -> Submission {
        let deadline = self.deadline.map(|span| at + span.get());
        Submission {
            id: self.id,
            spec: Spec {
                deadline,
                ..self.spec
            },
        }
    }
}

/// A checked submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The id, where the caller chose one.
    pub id: Option<JobId>,
    /// What the job is.
    pub spec: Spec,
}

impl TryFrom<Received> for Submission {
    type Error = Invalid;

    fn try_from(received: Received) -> Result<Self, Self::Error> {
        let draft = Draft::try_from(received.raw)?;
        Ok(draft.received(received.at))
    }
}

impl TryFrom<Raw> for Draft {
    type Error = Invalid;

    fn try_from(raw: Raw) -> Result<Self, Self::Error> {
        let mut invalid = Invalid::default();
        let id = raw
            .id
            .as_deref()
            .and_then(|text| invalid.take("id", text.parse::<JobId>()));
        let team = invalid.take("team", raw.team.parse());
        let kind = kind(&raw, &mut invalid);
        let tasks = tasks(&raw, &mut invalid);
        let size = size(&raw.size, &mut invalid);
        let priority = invalid.take("priority", word::priority(raw.priority.as_deref()));
        let runtime = span("runtime", raw.runtime.as_deref(), &mut invalid);
        let deadline = span("deadline", raw.deadline.as_deref(), &mut invalid);
        let spread = invalid.take("spread", word::spread(raw.spread.as_deref()));
        if raw.program.is_empty() {
            invalid.push("program", Cause::Missing);
        }
        let payload = Payload {
            program: raw.program,
            args: raw.args,
        };
        let spec = || {
            Some(Spec {
                team: team?,
                kind: kind?,
                size: size?,
                tasks: tasks?,
                priority: priority?,
                runtime: runtime.map(Span::get),
                deadline: None,
                idempotent: raw.idempotent.unwrap_or(true),
                checkpoint: raw.checkpoint,
                spread: spread?,
                payload,
            })
        };
        let draft = spec().map(|spec| Self { id, spec, deadline });
        invalid.finish(draft)
    }
}

fn kind(raw: &Raw, invalid: &mut Invalid) -> Option<Kind> {
    let kind = match raw.kind.as_str() {
        "batch" => Kind::Batch,
        "gang" => Kind::Gang,
        "service" => return service(raw.service.as_ref(), invalid),
        other => {
            let cause = word::unknown(other, "`batch`, `gang` or `service`");
            invalid.push("kind", cause);
            return None;
        }
    };
    if raw.service.is_some() {
        invalid.push("service", Cause::Misplaced);
    }
    Some(kind)
}

fn service(raw: Option<&Service>, invalid: &mut Invalid) -> Option<Kind> {
    let Some(raw) = raw else {
        invalid.push("service", Cause::Missing);
        return None;
    };
    let service = invalid.take("service.name", raw.name.parse());
    let slots = raw.slots.unwrap_or(DEFAULT_SLOTS);
    let slots = invalid.take("service.slots", number(slots, 1));
    let port = invalid.take("service.port", number(raw.port, 0));
    Some(Kind::Service {
        service: service?,
        slots: slots?,
        port: port?,
    })
}

/// Checks the count of tasks; none at all is left for admission, which has its own reason.
fn tasks(raw: &Raw, invalid: &mut Invalid) -> Option<u32> {
    let found = raw.tasks.unwrap_or(1);
    if found > MAX_TASKS {
        let cause = Cause::Range {
            found,
            least: 1,
            most: MAX_TASKS,
        };
        invalid.push("tasks", cause);
    }
    u32::try_from(found).ok()
}

fn size(raw: &Size, invalid: &mut Invalid) -> Option<Resources> {
    let cpu = invalid.take("size.cpu", raw.cpu.parse());
    let memory = invalid.take("size.memory", raw.memory.parse());
    let accelerators = invalid.take("size.accelerators", number(raw.accelerators, 0));
    Some(Resources::new(cpu?, memory?, accelerators?))
}

fn span(path: &str, text: Option<&str>, invalid: &mut Invalid) -> Option<Span> {
    invalid.take(path, text?.parse::<Span>())
}

fn number(found: u64, least: u16) -> Result<u16, Cause> {
    let range = || Cause::Range {
        found,
        least: least.into(),
        most: u16::MAX.into(),
    };
    let number = u16::try_from(found).map_err(|_| range())?;
    if number < least {
        return Err(range());
    }
    Ok(number)
}
