//! What a change does to the capacity in service.

use std::collections::BTreeMap;

use fulmarpier_state::{
    id::{
        DataCentreId,
        WorkerId, //
    },
    resource::Resources, //
};

use super::{
    Finding,
    Usage,
    WorkerUsage, //
};
use crate::config::{
    Document,
    Share, //
};

pub(super) fn find(
    before: &Document,
    after: &Document,
    usage: &Usage,
    findings: &mut Vec<Finding>,
) {
    find_unknown(before, after, usage, findings);
    find_nodes(before, after, usage, findings);
    let taken: Vec<(WorkerId, &WorkerUsage)> = taken_out(before, after, usage);
    if taken.is_empty() {
        return;
    }
    find_share(after, usage, &taken, findings);
    find_dark(after, usage, &taken, findings);
    find_overfull(after, usage, &taken, findings);
    find_unplaceable(before, after, usage, findings);
}

/// Returns the workers that take work before and not after.
fn taken_out<'a>(
    before: &Document,
    after: &Document,
    usage: &'a Usage,
) -> Vec<(WorkerId, &'a WorkerUsage)> {
    let goes = |id: WorkerId| before.takes_work(id) && !after.takes_work(id);
    let workers = usage.workers.iter().map(|(id, worker)| (*id, worker));
    workers.filter(|(id, _)| goes(*id)).collect()
}

fn find_share(
    after: &Document,
    usage: &Usage,
    taken: &[(WorkerId, &WorkerUsage)],
    findings: &mut Vec<Finding>,
) {
    let cpu = |worker: &WorkerUsage| u64::from(worker.capacity.cpu.get());
    let all: u64 = usage.workers.values().map(cpu).sum();
    let gone: u64 = taken.iter().map(|(_, worker)| cpu(worker)).sum();
    let out = usage
        .workers
        .iter()
        .filter(|(id, _)| !after.takes_work(**id));
    let total: u64 = out.map(|(_, worker)| cpu(worker)).sum();
    findings.push(Finding::CapacityLost {
        workers: u32::try_from(taken.len()).unwrap_or(u32::MAX),
        share: part(gone, all),
        total: part(total, all),
    });
}

/// Returns a part of the whole, rounded up, so that it never looks smaller than it is.
fn part(some: u64, all: u64) -> Share {
    let thousandths = some.saturating_mul(1_000).div_ceil(all.max(1));
    Share::from_thousandths(u16::try_from(thousandths).unwrap_or(u16::MAX))
}

/// Finds data centres in which no worker is left.
fn find_dark(
    after: &Document,
    usage: &Usage,
    taken: &[(WorkerId, &WorkerUsage)],
    findings: &mut Vec<Finding>,
) {
    let mut left: BTreeMap<DataCentreId, (u32, u32)> = BTreeMap::new();
    for (id, worker) in &usage.workers {
        let (all, stay) = left.entry(worker.data_centre).or_default();
        *all += 1;
        *stay += u32::from(after.takes_work(*id));
    }
    let touched = |id: DataCentreId| taken.iter().any(|(_, worker)| worker.data_centre == id);
    for (data_centre, (workers, stay)) in left {
        if stay == 0 && touched(data_centre) {
            findings.push(Finding::DataCentreDark {
                data_centre,
                workers,
            });
        }
    }
}

/// Finds whether what runs on workers that go has room on those that stay.
fn find_overfull(
    after: &Document,
    usage: &Usage,
    taken: &[(WorkerId, &WorkerUsage)],
    findings: &mut Vec<Finding>,
) {
    let moved = sum(taken.iter().map(|(_, worker)| worker.used));
    let stay = usage
        .workers
        .iter()
        .filter(|(id, _)| after.takes_work(**id));
    let free = |worker: &WorkerUsage| worker.capacity.checked_sub(worker.used).unwrap_or_default();
    let free = sum(stay.map(|(_, worker)| free(worker)));
    if !moved.fits(&free) {
        findings.push(Finding::Overfull { moved, free });
    }
}

fn sum(parts: impl Iterator<Item = Resources>) -> Resources {
    let add = |sum: Resources, part| sum.checked_add(part).unwrap_or(sum);
    parts.fold(Resources::ZERO, add)
}

/// Finds teams whose largest tasks fitted a worker before and fit none after.
fn find_unplaceable(
    before: &Document,
    after: &Document,
    usage: &Usage,
    findings: &mut Vec<Finding>,
) {
    let fits = |size: &Resources, document: &Document| {
        let mut stay = usage
            .workers
            .iter()
            .filter(|(id, _)| document.takes_work(**id));
        stay.any(|(_, worker)| size.fits(&worker.capacity))
    };
    for (team, used) in &usage.teams {
        let largest = used.largest;
        if fits(&largest, before) && !fits(&largest, after) {
            let team = team.clone();
            findings.push(Finding::Unplaceable { team, largest });
        }
    }
}

fn find_nodes(before: &Document, after: &Document, usage: &Usage, findings: &mut Vec<Finding>) {
    if after.drained.nodes.is_subset(&before.drained.nodes) {
        return;
    }
    let drained = usage.nodes.intersection(&after.drained.nodes).count();
    findings.push(Finding::NodesLost {
        drained: u32::try_from(drained).unwrap_or(u32::MAX),
        of: u32::try_from(usage.nodes.len()).unwrap_or(u32::MAX),
    });
}

fn find_unknown(before: &Document, after: &Document, usage: &Usage, findings: &mut Vec<Finding>) {
    let drained = after.drained.workers.difference(&before.drained.workers);
    let quarantined = after.quarantined.difference(&before.quarantined);
    for &worker in drained.chain(quarantined) {
        if !usage.workers.contains_key(&worker) {
            findings.push(Finding::UnknownWorker { worker });
        }
    }
    for &node in after.drained.nodes.difference(&before.drained.nodes) {
        if !usage.nodes.contains(&node) {
            findings.push(Finding::UnknownNode { node });
        }
    }
}
