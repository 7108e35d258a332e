//! One thing that a change would do.

use std::fmt;

use fulmarpier_state::{
    id::{
        DataCentreId,
        NodeId,
        WorkerId, //
    },
    name::{
        Service,
        Team, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

use crate::config::Share;

/// How much a finding weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Severity {
    /// Worth a line.
    Note,
    /// Needs a confirmation.
    Wide,
}

/// One thing that a change would do to what runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// A team's quota falls below what it uses; nothing is stopped, and nothing of its starts until
    /// enough has ended.
    QuotaBelowUsage {
        /// The team.
        team: Team,
        /// What it uses.
        used: Resources,
    },
    /// A team has tasks larger than its new quota; they can never start.
    QuotaBelowTask {
        /// The team.
        team: Team,
        /// The largest size among its tasks.
        largest: Resources,
    },
    /// A quota on memory is tiny beside one worker, which looks like a wrong unit.
    TinyMemory {
        /// The team.
        team: Team,
        /// The quota as given.
        memory: Bytes,
        /// The memory of the smallest worker.
        worker: Bytes,
    },
    /// A quota on processors is tiny beside one worker, which looks like a wrong unit.
    TinyCpu {
        /// The team.
        team: Team,
        /// The quota as given.
        cpu: Millicores,
        /// The processors of the smallest worker.
        worker: Millicores,
    },
    /// A team that has work is removed.
    TeamRemoved {
        /// The team.
        team: Team,
        /// How many of its tasks run.
        running: u32,
        /// How many of its tasks wait.
        waiting: u32,
    },
    /// A team's queue becomes shorter than what waits in it.
    QueueBelowWaiting {
        /// The team.
        team: Team,
        /// The new bound.
        queue: u32,
        /// How many of its tasks wait.
        waiting: u32,
    },
    /// A service that has targets is removed.
    ServiceRemoved {
        /// The service.
        service: Service,
        /// How many targets it has.
        targets: u32,
    },
    /// A service loses all of its targets until they have been started elsewhere.
    ServiceDark {
        /// The service.
        service: Service,
        /// How many targets it has.
        targets: u32,
    },
    /// A service loses some of its targets.
    ServiceThinned {
        /// The service.
        service: Service,
        /// How many targets it loses.
        lost: u32,
        /// How many it has.
        of: u32,
    },
    /// Workers are taken out of service.
    CapacityLost {
        /// How many workers this change takes out.
        workers: u32,
        /// Which part of all processors this change takes out.
        share: Share,
        /// Which part is out of service afterwards, with what was out before.
        total: Share,
    },
    /// All workers of a data centre are out of service.
    DataCentreDark {
        /// The data centre.
        data_centre: DataCentreId,
        /// How many workers it has.
        workers: u32,
    },
    /// What runs no longer fits on the workers that stay.
    Overfull {
        /// What is taken on workers that go out of service.
        moved: Resources,
        /// What is free on workers that stay.
        free: Resources,
    },
    /// A team has tasks that fit none of the workers that stay.
    Unplaceable {
        /// The team.
        team: Team,
        /// The largest size among its tasks.
        largest: Resources,
    },
    /// Entry nodes are drained.
    NodesLost {
        /// How many are drained afterwards.
        drained: u32,
        /// How many are known.
        of: u32,
    },
    /// The worker is not known, which looks like a slip.
    UnknownWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// The node is not known, which looks like a slip.
    UnknownNode {
        /// The node.
        node: NodeId,
    },
    /// Some shard did not answer, so the effect may be wider than shown.
    Partial,
}

/// The share of processors that one change may take out without confirmation.
const FEW: Share = Share::from_thousandths(100);
/// The share of processors that may be out of service in all without confirmation.
const SOME: Share = Share::from_thousandths(250);

impl Finding {
    /// Returns how much the finding weighs.
    pub fn severity(&self) -> Severity {
        let wide = match self {
            Self::QueueBelowWaiting { .. } | Self::Partial => false,
            Self::ServiceThinned { lost, of, .. } => u64::from(*lost) * 2 > u64::from(*of),
            Self::CapacityLost { share, total, .. } => *share > FEW || *total > SOME,
            Self::NodesLost { drained, of } => u64::from(*drained) * 2 > u64::from(*of),
            _ => true,
        };
        if wide { Severity::Wide } else { Severity::Note }
    }

    /// Returns what the operator may want instead, if there is something to say.
    pub fn hint(&self) -> Option<String> {
        match self {
            Self::TinyMemory { memory, .. } => {
                let meant = Bytes(memory.get().saturating_mul(1 << 10));
                Some(format!("did you mean {meant}?"))
            }
            Self::TinyCpu { cpu, .. } => {
                let meant = Millicores(cpu.get().saturating_mul(1_000));
                Some(format!("did you mean {meant}?"))
            }
            Self::QuotaBelowUsage { used, .. } => {
                Some(format!("a quota of {used} changes nothing now"))
            }
            Self::TeamRemoved { .. } => Some("cancel or finish its jobs first".to_owned()),
            Self::DataCentreDark { .. } | Self::CapacityLost { .. } | Self::ServiceDark { .. } => {
                Some("drain rack by rack, each when the one before has run dry".to_owned())
            }
            Self::ServiceRemoved { .. } => Some("cancel its job first".to_owned()),
            Self::UnknownWorker { .. } => Some("see `show workers`".to_owned()),
            Self::UnknownNode { .. } => Some("see `show nodes`".to_owned()),
            _ => None,
        }
    }

    /// Writes what makes the finding another one: its kind, its subject and its order of magnitude,
    /// not counts that change all the time.
    pub(super) fn stable(&self) -> String {
        match self {
            Self::QuotaBelowUsage { team, .. } => format!("quota-below-usage {team}"),
            Self::QuotaBelowTask { team, .. } => format!("quota-below-task {team}"),
            Self::TinyMemory { team, .. } => format!("tiny-memory {team}"),
            Self::TinyCpu { team, .. } => format!("tiny-cpu {team}"),
            Self::TeamRemoved {
                team,
                running,
                waiting,
            } => format!(
                "team-removed {team} {} {}",
                magnitude(*running),
                magnitude(*waiting)
            ),
            Self::QueueBelowWaiting { team, .. } => format!("queue-below-waiting {team}"),
            Self::ServiceRemoved { service, targets } => {
                format!("service-removed {service} {}", magnitude(*targets))
            }
            Self::ServiceDark { service, .. } => format!("service-dark {service}"),
            Self::ServiceThinned { service, .. } => format!("service-thinned {service}"),
            Self::CapacityLost { workers, total, .. } => {
                format!("capacity-lost {workers} {}", total.thousandths() / 100)
            }
            Self::DataCentreDark { data_centre, .. } => format!("data-centre-dark {data_centre}"),
            Self::Overfull { .. } => "overfull".to_owned(),
            Self::Unplaceable { team, .. } => format!("unplaceable {team}"),
            Self::NodesLost { drained, of } => format!("nodes-lost {drained} {of}"),
            Self::UnknownWorker { worker } => format!("unknown-worker {worker}"),
            Self::UnknownNode { node } => format!("unknown-node {node}"),
            Self::Partial => "partial".to_owned(),
        }
    }
}

/// Returns the count of decimal digits.
fn magnitude(count: u32) -> u32 {
    count.checked_ilog10().map_or(0, |digits| digits + 1)
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::QuotaBelowUsage { team, used } => {
                write!(
                    f,
                    "team {team} uses {used}, more than its new quota; it would start nothing"
                )
            }
            Self::QuotaBelowTask { team, largest } => {
                write!(
                    f,
                    "team {team} has tasks of up to {largest}, which its new quota never admits"
                )
            }
            Self::TinyMemory {
                team,
                memory,
                worker,
            } => write!(
                f,
                "team {team} would have {memory} in all, and one worker has {worker}"
            ),
            Self::TinyCpu { team, cpu, worker } => {
                write!(
                    f,
                    "team {team} would have {cpu} cpu in all, and one worker has {worker}"
                )
            }
            Self::TeamRemoved {
                team,
                running,
                waiting,
            } => write!(
                f,
                "team {team} has {running} running and {waiting} waiting tasks"
            ),
            Self::QueueBelowWaiting {
                team,
                queue,
                waiting,
            } => write!(
                f,
                "team {team} has {waiting} waiting tasks, and its queue would take {queue}"
            ),
            Self::ServiceRemoved { service, targets } => {
                write!(f, "service {service} has {targets} targets")
            }
            Self::ServiceDark { service, targets } => {
                write!(
                    f,
                    "service {service} would lose all of its {targets} targets"
                )
            }
            Self::ServiceThinned { service, lost, of } => {
                write!(f, "service {service} would lose {lost} of its {of} targets")
            }
            Self::CapacityLost {
                workers,
                share,
                total,
            } => write!(
                f,
                "{workers} workers with {share} of all processors would go; {total} would be out in all"
            ),
            Self::DataCentreDark {
                data_centre,
                workers,
            } => write!(
                f,
                "all {workers} workers of {data_centre} would be out of service"
            ),
            Self::Overfull { moved, free } => {
                write!(
                    f,
                    "{moved} runs where workers would go, and {free} is free elsewhere"
                )
            }
            Self::Unplaceable { team, largest } => {
                write!(
                    f,
                    "team {team} has tasks of up to {largest}, which fit no worker that stays"
                )
            }
            Self::NodesLost { drained, of } => {
                write!(f, "{drained} of {of} entry nodes would be drained")
            }
            Self::UnknownWorker { worker } => write!(f, "worker {worker} is not known"),
            Self::UnknownNode { node } => write!(f, "node {node} is not known"),
            Self::Partial => f.write_str("some shards did not answer; the effect may be wider"),
        }
    }
}
