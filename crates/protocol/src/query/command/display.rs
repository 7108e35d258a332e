//! The canonical text of a command, which parses back to the same command.

use std::fmt::{
    self,
    Display, //
};

use fulmarpier_coordination::config::{
    Change,
    limits,
    policy,
    service,
    team,
    weights, //
};
use fulmarpier_state::{
    job::Kind,
    unit::Span, //
};

use super::{
    Command,
    Show, //
};
use crate::{
    http::job::{
        Draft,
        word, //
    },
    query::token,
};

impl Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => show.fmt(f),
            Self::Explain(job) => write!(f, "explain job {job}"),
            Self::Change(change) => write_change(f, change),
            Self::Submit(draft) => write_draft(f, draft),
            Self::Cancel(job) => write!(f, "cancel job {job}"),
        }
    }
}

impl Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.subject)?;
        let conditions = &self.filter.conditions;
        for (index, condition) in conditions.iter().enumerate() {
            let joint = if index == 0 { "where" } else { "and" };
            write!(f, " {joint} {condition}")?;
        }
        match self.limit {
            Some(limit) => write!(f, " limit {limit}"),
            None => Ok(()),
        }
    }
}

fn write_change(f: &mut fmt::Formatter<'_>, change: &Change) -> fmt::Result {
    change.fmt(f)?;
    match change {
        Change::SetTeam { patch, .. } => write_team(f, patch),
        Change::SetService { patch, .. } => write_service(f, patch),
        Change::SetWeights { patch } => write_weights(f, patch),
        Change::SetPolicy { patch } => write_policy(f, patch),
        Change::SetLimits { patch } => write_limits(f, patch),
        _ => Ok(()),
    }
}

fn write_team(f: &mut fmt::Formatter<'_>, patch: &team::Patch) -> fmt::Result {
    pair(f, "cpu", patch.cpu)?;
    pair(f, "memory", patch.memory)?;
    pair(f, "accelerators", patch.accelerators)?;
    pair(f, "weight", patch.weight)?;
    pair(f, "queue", patch.queue)
}

fn write_service(f: &mut fmt::Formatter<'_>, patch: &service::Patch) -> fmt::Result {
    pair(f, "slots", patch.slots)?;
    pair(f, "queue", patch.queue)?;
    pair(f, "deadline", patch.deadline)?;
    pair(f, "team", patch.team.as_ref())
}

fn write_weights(f: &mut fmt::Formatter<'_>, patch: &weights::Patch) -> fmt::Result {
    pair(f, "waiting", patch.waiting)?;
    pair(f, "packing", patch.packing)?;
    pair(f, "control", patch.control)
}

fn write_policy(f: &mut fmt::Formatter<'_>, patch: &policy::Patch) -> fmt::Result {
    let switch = |on: bool| if on { "on" } else { "off" };
    pair(f, "preemption", patch.preemption.map(switch))?;
    pair(f, "backfill", patch.backfill.map(switch))?;
    pair(f, "spread", patch.spread.map(word::of_spread))?;
    pair(f, "unknown_teams", patch.unknown_teams.map(switch))
}

fn write_limits(f: &mut fmt::Formatter<'_>, patch: &limits::Patch) -> fmt::Result {
    pair(f, "body", patch.body)?;
    pair(f, "tasks", patch.tasks)?;
    pair(f, "queue", patch.queue)
}

fn write_draft(f: &mut fmt::Formatter<'_>, draft: &Draft) -> fmt::Result {
    let spec = &draft.spec;
    write!(f, "submit {}", spec.kind)?;
    pair(f, "id", draft.id)?;
    pair(f, "team", Some(&spec.team))?;
    pair(f, "cpu", Some(spec.size.cpu))?;
    pair(f, "memory", Some(spec.size.memory))?;
    pair(f, "accelerators", Some(spec.size.accelerators))?;
    pair(f, "tasks", Some(spec.tasks))?;
    pair(f, "priority", Some(word::of_priority(spec.priority)))?;
    pair(f, "runtime", spec.runtime.map(Span::from))?;
    pair(f, "deadline", draft.deadline)?;
    pair(f, "idempotent", Some(spec.idempotent))?;
    pair(f, "checkpoint", Some(spec.checkpoint))?;
    pair(f, "spread", Some(word::of_spread(spec.spread)))?;
    if let Kind::Service {
        service,
        slots,
        port,
    } = &spec.kind
    {
        pair(f, "name", Some(service))?;
        pair(f, "slots", Some(slots))?;
        pair(f, "port", Some(port))?;
    }
    pair(f, "program", Some(token::quote(&spec.payload.program)))?;
    for arg in &spec.payload.args {
        pair(f, "arg", Some(token::quote(arg)))?;
    }
    Ok(())
}

fn pair(f: &mut fmt::Formatter<'_>, key: &str, value: Option<impl Display>) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {key}={value}"),
        None => Ok(()),
    }
}
