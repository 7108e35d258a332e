//! The platform's figures that decisions depend on.

use std::time::Duration;

/// What the platform promises of its workers, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// How long a worker may take to stop a task.
    pub stop_grace: Duration,
    /// How long the members of a gang wait for the others before they end.
    pub gang_wait: Duration,
    /// How many times as long a task takes away from its data, or a gang over several racks.
    pub remote_penalty: f64,
    /// How long a task takes to resume from a checkpoint.
    pub restore: Duration,
    /// How much work lies between two checkpoints of a task.
    pub checkpoint: Duration,
    /// How long after a data centre was evacuated a task may be started there; `None` bounds that by nothing.
    pub evacuate: Option<Duration>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            stop_grace: Duration::from_millis(900),
            gang_wait: Duration::from_secs(3),
            remote_penalty: 1.5,
            restore: Duration::from_millis(250),
            checkpoint: Duration::from_millis(500),
            evacuate: None,
        }
    }
}

/// A worker's clock may be this much slower than the owner's, in thousandths.
const DRIFT: u32 = 20;
/// Allowance for rounding to milliseconds and for timers that fire late.
const SLACK: Duration = Duration::from_millis(200);

/// For this long an owner that is cut off may go on extending leases after another has taken over: it stops
/// 1.2 s after it last reached the store or a node, and notices that within 0.6 s.
pub const FORMER_OWNER: Duration = Duration::from_millis(1_800);

/// How long an order to start may be on its way to its worker, by another node too.
const ON_THE_WAY: Duration = Duration::from_secs(1);
/// A reading of the operator's records is as old as this before the next one: it waits 1 s for a change.
const LEAST_AGE: Duration = Duration::from_secs(2);

impl Bounds {
    /// Returns how old a reading of which data centres are evacuated may be when an order to start leaves; `None` where any
    /// will do.
    pub fn evacuation_age(&self) -> Option<Duration> {
        let evacuate = self.evacuate?;
        Some(evacuate.saturating_sub(ON_THE_WAY).max(LEAST_AGE))
    }

    /// Returns how long after a stop was confirmed a run that was there has certainly been listed as
    /// ended.
    pub fn stopped(&self) -> Duration {
        self.stop_grace + SLACK
    }

    /// Returns how much of its processor time a task that makes way loses on average.
    pub fn preemption_loss(&self) -> Duration {
        self.checkpoint / 2 + self.restore
    }

    /// Returns how long after an order a lease that it granted has certainly lapsed.
    pub fn lapse(&self) -> Duration {
        self.lease + self.lease * DRIFT / (1_000 - DRIFT) + SLACK
    }
}
