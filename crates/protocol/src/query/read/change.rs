//! Reads `set` and `remove`.

use fulmarpier_coordination::config::{
    Change,
    limits,
    policy,
    service,
    team,
    weights, //
};

use super::{
    cursor::Cursor,
    pairs::Pairs, //
};
use crate::{
    http::job::word,
    query::Error, //
};

const TEAM: &[&str] = &["cpu", "memory", "accelerators", "weight", "queue"];
const SERVICE: &[&str] = &["slots", "queue", "deadline", "team"];
const WEIGHTS: &[&str] = &["waiting", "packing", "control"];
const POLICY: &[&str] = &["preemption", "backfill", "spread", "unknown_teams"];
const LIMITS: &[&str] = &["body", "tasks", "queue"];
const ON_OFF: &[&str; 2] = &["on", "off"];

pub(super) fn set(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    match cursor.word_of(&["team", "service", "weight", "policy", "limit"])? {
        "team" => set_team(cursor),
        "service" => set_service(cursor),
        "weight" => set_weights(cursor),
        "policy" => set_policy(cursor),
        _ => set_limits(cursor),
    }
}

pub(super) fn remove(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    match cursor.word_of(&["team", "service"])? {
        "team" => {
            let name = cursor.value("the name of a team")?;
            Ok(Change::RemoveTeam { name })
        }
        _ => {
            let name = cursor.value("the name of a service")?;
            Ok(Change::RemoveService { name })
        }
    }
}

/// A team or service may be made with its defaults, so it needs no pair.
fn set_team(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    let name = cursor.value("the name of a team")?;
    let pairs = Pairs::read(cursor, TEAM, &[])?;
    let patch = team::Patch {
        cpu: pairs.value("cpu")?,
        memory: pairs.value("memory")?,
        accelerators: pairs.number("accelerators")?,
        weight: pairs.number("weight")?,
        queue: pairs.number("queue")?,
    };
    Ok(Change::SetTeam { name, patch })
}

fn set_service(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    let name = cursor.value("the name of a service")?;
    let pairs = Pairs::read(cursor, SERVICE, &[])?;
    let patch = service::Patch {
        slots: pairs.number("slots")?,
        queue: pairs.number("queue")?,
        deadline: pairs.value("deadline")?,
        team: pairs.value("team")?,
    };
    Ok(Change::SetService { name, patch })
}

fn set_weights(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    let pairs = Pairs::read_some(cursor, WEIGHTS)?;
    let patch = weights::Patch {
        waiting: pairs.value("waiting")?,
        packing: pairs.value("packing")?,
        control: pairs.value("control")?,
    };
    Ok(Change::SetWeights { patch })
}

fn set_policy(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    let pairs = Pairs::read_some(cursor, POLICY)?;
    let patch = policy::Patch {
        preemption: pairs.switch("preemption", ON_OFF)?,
        backfill: pairs.switch("backfill", ON_OFF)?,
        spread: pairs.checked("spread", |text| word::spread(Some(text)))?,
        unknown_teams: pairs.switch("unknown_teams", ON_OFF)?,
    };
    Ok(Change::SetPolicy { patch })
}

fn set_limits(cursor: &mut Cursor<'_>) -> Result<Change, Error> {
    let pairs = Pairs::read_some(cursor, LIMITS)?;
    let patch = limits::Patch {
        body: pairs.value("body")?,
        tasks: pairs.number("tasks")?,
        queue: pairs.number("queue")?,
    };
    Ok(Change::SetLimits { patch })
}
