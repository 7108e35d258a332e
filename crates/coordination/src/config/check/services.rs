//! What a change does to services.

use super::{
    Finding,
    ServiceUsage,
    Usage, //
};
use crate::config::Document;

pub(super) fn find(
    before: &Document,
    after: &Document,
    usage: &Usage,
    findings: &mut Vec<Finding>,
) {
    for (service, used) in &usage.services {
        let targets: u32 = used.targets.values().sum();
        let removed =
            before.services.contains_key(service) && !after.services.contains_key(service);
        if removed && targets > 0 {
            let service = service.clone();
            findings.push(Finding::ServiceRemoved { service, targets });
            continue;
        }
        let (up, stay) = (serving(used, before), serving(used, after));
        if stay == up {
            continue;
        }
        let service = service.clone();
        findings.push(match stay {
            0 => Finding::ServiceDark {
                service,
                targets: up,
            },
            _ => Finding::ServiceThinned {
                service,
                lost: up.saturating_sub(stay),
                of: up,
            },
        });
    }
}

/// Returns how many targets are on workers that take work.
fn serving(used: &ServiceUsage, document: &Document) -> u32 {
    let on = used
        .targets
        .iter()
        .filter(|(worker, _)| document.takes_work(**worker));
    on.map(|(_, count)| count).sum()
}
