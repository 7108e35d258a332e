//! What a change does to teams.

use fulmarpier_state::{
    name,
    resource::Resources, //
};

use super::{
    Finding,
    TeamUsage,
    Usage, //
};
use crate::config::{
    Document,
    Team, //
};

/// A quota below this part of one worker looks like a wrong unit, as a divisor.
const TINY: u64 = 64;

pub(super) fn find(
    before: &Document,
    after: &Document,
    usage: &Usage,
    findings: &mut Vec<Finding>,
) {
    for (name, team) in &after.teams {
        let old = before.teams.get(name);
        if old == Some(team) {
            continue;
        }
        let used = usage.teams.get(name).copied().unwrap_or_default();
        find_in_quota(name, old, team, &used, findings);
        find_tiny(name, old, team, usage, findings);
        if used.waiting > team.queue {
            findings.push(Finding::QueueBelowWaiting {
                team: name.clone(),
                queue: team.queue,
                waiting: used.waiting,
            });
        }
    }
    find_removed(before, after, usage, findings);
}

/// Finds a quota that falls below what the team uses or has; one that was below before is no news.
fn find_in_quota(
    name: &name::Team,
    old: Option<&Team>,
    team: &Team,
    used: &TeamUsage,
    findings: &mut Vec<Finding>,
) {
    let limit = team.quota.limit();
    let held_before = |size: &Resources| old.is_none_or(|old| size.fits(&old.quota.limit()));
    if !used.used.fits(&limit) && held_before(&used.used) {
        findings.push(Finding::QuotaBelowUsage {
            team: name.clone(),
            used: used.used,
        });
    }
    if !used.largest.fits(&limit) && held_before(&used.largest) {
        findings.push(Finding::QuotaBelowTask {
            team: name.clone(),
            largest: used.largest,
        });
    }
}

fn find_tiny(
    name: &name::Team,
    old: Option<&Team>,
    team: &Team,
    usage: &Usage,
    findings: &mut Vec<Finding>,
) {
    let Some(smallest) = smallest(usage) else {
        return;
    };
    let old = old.map(|old| old.quota).unwrap_or_default();
    let new = team.quota;
    if let Some(memory) = new.memory.filter(|_| new.memory != old.memory)
        && memory.get() < smallest.memory.get() / TINY
    {
        findings.push(Finding::TinyMemory {
            team: name.clone(),
            memory,
            worker: smallest.memory,
        });
    }
    if let Some(cpu) = new.cpu.filter(|_| new.cpu != old.cpu)
        && u64::from(cpu.get()) < u64::from(smallest.cpu.get()) / TINY
    {
        findings.push(Finding::TinyCpu {
            team: name.clone(),
            cpu,
            worker: smallest.cpu,
        });
    }
}

/// Returns the least of each resource that a worker offers.
fn smallest(usage: &Usage) -> Option<Resources> {
    let capacities = usage.workers.values().map(|worker| worker.capacity);
    capacities.reduce(|a, b| {
        Resources::new(
            a.cpu.min(b.cpu),
            a.memory.min(b.memory),
            a.accelerators.min(b.accelerators),
        )
    })
}

fn find_removed(before: &Document, after: &Document, usage: &Usage, findings: &mut Vec<Finding>) {
    for name in before
        .teams
        .keys()
        .filter(|name| !after.teams.contains_key(*name))
    {
        let used = usage.teams.get(name).copied().unwrap_or_default();
        if used.running + used.waiting > 0 {
            findings.push(Finding::TeamRemoved {
                team: name.clone(),
                running: used.running,
                waiting: used.waiting,
            });
        }
    }
}
