//! The counters of a sched.

use std::sync::Arc;

use fulmarpier_transport::metrics::Registry;
use opentelemetry::metrics::Counter;

use crate::node::Counts;

/// The retries that a sched counts, each with a counter from the start.
pub(super) const RETRIES: &[&str] = &[
    "claims-append",
    "claims-read",
    "config-append",
    "config-read",
    "log-append",
    "log-read",
    "request-again",
    "start-failed",
    "start-full",
    "start-held",
    "start-late",
    "vm-list",
    "worker-sync",
];

/// The counters of a sched.
#[derive(Debug)]
pub(super) struct Meter {
    registry: Arc<Registry>,
    starts: Counter<u64>,
    appends: Counter<u64>,
    syncs: Counter<u64>,
    grants: Counter<u64>,
}

impl Meter {
    pub(super) fn new(registry: Arc<Registry>) -> Self {
        Self {
            starts: registry.counter("fulmarpier_starts", "Tasks ordered to start."),
            appends: registry.counter("fulmarpier_log_appends", "Appends sent to the log."),
            syncs: registry.counter("fulmarpier_worker_syncs", "Messages sent to workers."),
            grants: registry.counter(
                "fulmarpier_request_grants",
                "Non-idempotent requests that were given leave to be sent.",
            ),
            registry,
        }
    }

    pub(super) fn add(&self, counts: &Counts) {
        for (reason, count) in &counts.refused {
            for _ in 0..*count {
                self.registry.refused(*reason);
            }
        }
        for (reason, count) in &counts.retried {
            for _ in 0..*count {
                self.registry.retried(reason);
            }
        }
        self.starts.add(counts.starts, &[]);
        self.appends.add(counts.appends, &[]);
        self.syncs.add(counts.syncs, &[]);
        self.grants.add(counts.grants, &[]);
    }
}
