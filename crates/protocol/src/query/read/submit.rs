//! Reads `submit`.

use super::{
    cursor::Cursor,
    pairs::Pairs, //
};
use crate::{
    http::{
        invalid::Invalid,
        job::{
            Draft,
            Raw,
            Service,
            Size, //
        },
    },
    query::{
        Cause,
        Error, //
    },
};

const KINDS: &[&str] = &["batch", "gang", "service"];
const TRUE_FALSE: &[&str; 2] = &["true", "false"];
const JOB: &[&str] = &[
    "id",
    "team",
    "cpu",
    "memory",
    "accelerators",
    "tasks",
    "priority",
    "runtime",
    "deadline",
    "idempotent",
    "checkpoint",
    "spread",
    "program",
    "arg",
];
const SERVICE: &[&str] = &[
    "id",
    "team",
    "cpu",
    "memory",
    "accelerators",
    "tasks",
    "priority",
    "runtime",
    "deadline",
    "idempotent",
    "checkpoint",
    "spread",
    "program",
    "arg",
    "name",
    "slots",
    "port",
];

pub(super) fn read(cursor: &mut Cursor<'_>) -> Result<Box<Draft>, Error> {
    let kind = cursor.word_of(KINDS)?;
    let is_service = kind == "service";
    let known = if is_service { SERVICE } else { JOB };
    let pairs = Pairs::read(cursor, known, &["arg"])?;
    let service = match is_service {
        true => Some(service(&pairs)?),
        false => None,
    };
    let raw = raw(kind, service, &pairs)?;
    let draft = Draft::try_from(raw).map_err(|invalid| first(&pairs, invalid))?;
    Ok(Box::new(draft))
}

fn raw(kind: &str, service: Option<Service>, pairs: &Pairs<'_, '_>) -> Result<Raw, Error> {
    Ok(Raw {
        id: pairs.text("id"),
        team: pairs.required("team")?,
        kind: kind.to_owned(),
        tasks: pairs.number("tasks")?,
        size: Size {
            cpu: pairs.required("cpu")?,
            memory: pairs.required("memory")?,
            accelerators: pairs.number("accelerators")?.unwrap_or(0),
        },
        priority: pairs.text("priority"),
        runtime: pairs.text("runtime"),
        deadline: pairs.text("deadline"),
        idempotent: pairs.switch("idempotent", TRUE_FALSE)?,
        checkpoint: pairs.switch("checkpoint", TRUE_FALSE)?.unwrap_or(false),
        spread: pairs.text("spread"),
        program: pairs.required("program")?,
        args: pairs.texts("arg"),
        service,
    })
}

fn service(pairs: &Pairs<'_, '_>) -> Result<Service, Error> {
    Ok(Service {
        name: pairs.required("name")?,
        slots: pairs.number("slots")?,
        port: pairs.number("port")?.unwrap_or(0),
    })
}

/// Returns the first mistake of a job, at the place of its key.
fn first(pairs: &Pairs<'_, '_>, invalid: Invalid) -> Error {
    let Some(field) = invalid.fields.into_iter().next() else {
        return pairs.missing("a job");
    };
    let key = field.path.rsplit('.').next().unwrap_or_default();
    pairs.error(key, Cause::Job(field.cause))
}
