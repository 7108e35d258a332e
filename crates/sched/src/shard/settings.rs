//! The spans and limits of a shard.

use std::time::Duration;

use fulmarpier_coordination::{
    journal,
    recovery,
    request, //
};

use super::link;

/// The spans and limits of a shard.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a worker runs a task without a renewal.
    pub worker_lease: Duration,
    /// How often each worker is renewed and asked.
    pub worker_sync: Duration,
    /// How long an order to start stays valid on the worker's own clock.
    pub start_by: Duration,
    /// How far a worker's clock may run slow over one lease.
    pub drift: Duration,
    /// The grace for a task that is told to stop.
    pub grace: Duration,
    /// How long a caller waits for the log before it is told that its job was not accepted.
    pub accept: Duration,
    /// The bounds of the journal.
    pub journal: journal::Settings,
    /// The bounds of the ledger of idempotency keys.
    pub request: request::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            worker_lease: Duration::from_secs(6),
            worker_sync: Duration::from_secs(1),
            start_by: Duration::from_secs(2),
            drift: Duration::from_millis(500),
            grace: Duration::from_secs(2),
            accept: Duration::from_secs(5),
            journal: journal::Settings::default(),
            request: request::Settings::default(),
        }
    }
}

impl Settings {
    /// Returns how long after the last message nothing of a silent worker can run any more.
    pub fn lapse(&self) -> Duration {
        link::lapse(self.worker_lease, self.start_by, self.drift)
    }

    /// Returns the spans of the recovery that go with these.
    pub fn recovery(&self) -> recovery::Settings {
        recovery::Settings {
            patience: self.worker_sync.min(Duration::from_secs(1)),
            retry: self.worker_sync,
            lease: self.worker_lease,
            drift: self.drift,
            delay: self.start_by,
        }
    }
}
