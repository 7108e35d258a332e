//! The platform's time limits and cost figures that scheduling decisions depend on.

use std::time::Duration;

use crate::ownership::LEASE_DURATION;

/// The platform's guarantees and cost figures, as given in the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest lease that a worker grants.
    pub lease: Duration,
    /// The longest time that a worker takes to stop a task.
    pub stop_grace: Duration,
    /// How long the members of a gang wait for the others before they end.
    pub gang_wait: Duration,
    /// The factor by which a task runs longer away from its data, or a gang across several racks.
    pub remote_penalty: f64,
    /// How long a task takes to resume from a checkpoint.
    pub restore_duration: Duration,
    /// How much processor time a task uses between two checkpoints.
    pub checkpoint_interval: Duration,
    /// For how long after the evacuation of a data centre a task may still be started there; `None` sets no limit.
    pub evacuation_deadline: Option<Duration>,
    /// How many outcomes of jobs that are over are stored in one record. Fewer have a record each.
    pub outcomes_per_record: usize,
}

/// How many outcomes of jobs that are over are usually stored in one record: some 5 kB, and together with the removals
/// of as many records some 30 kB, a small part of what the store takes in a call.
const USUAL_OUTCOMES_PER_RECORD: usize = 512;

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            stop_grace: Duration::from_millis(900),
            gang_wait: Duration::from_secs(3),
            remote_penalty: 1.5,
            restore_duration: Duration::from_millis(250),
            checkpoint_interval: Duration::from_millis(500),
            evacuation_deadline: None,
            outcomes_per_record: USUAL_OUTCOMES_PER_RECORD,
        }
    }
}

/// The most by which a worker's clock runs slower than the owner's, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 20;
/// Allowance for rounding to milliseconds and for timers that fire late.
const TIMER_SLACK: Duration = Duration::from_millis(200);

/// For how long an owner may go on extending leases after it was fenced: the lease under which it acts, and a margin
/// for orders that it is about to send as that expires.
pub const MAX_FORMER_OWNER_ACTIVITY: Duration =
    LEASE_DURATION.saturating_add(Duration::from_millis(600));

/// The longest time that an order to start takes to reach its worker, including when another node forwards it.
const MAX_START_DELIVERY: Duration = Duration::from_secs(1);
/// The age that a reading of the operator's records reaches before the next one replaces it: each read waits up to 1 s
/// for a change.
const MIN_EVACUATION_AGE: Duration = Duration::from_secs(2);

impl Bounds {
    /// Returns the greatest age that the list of evacuated data centres may have when an order to start is sent; `None`
    /// if any age is allowed.
    pub fn max_evacuation_age(&self) -> Option<Duration> {
        let evacuate = self.evacuation_deadline?;
        Some(
            evacuate
                .saturating_sub(MAX_START_DELIVERY)
                .max(MIN_EVACUATION_AGE),
        )
    }

    /// Returns how long after a confirmed stop every run that was on the worker is listed as ended.
    pub fn stop_settle_time(&self) -> Duration {
        self.stop_grace + TIMER_SLACK
    }

    /// Returns the average processor time that a preempted task loses.
    pub fn preemption_loss(&self) -> Duration {
        self.checkpoint_interval / 2 + self.restore_duration
    }

    /// Returns how long after an order was sent the lease that it granted has expired for certain.
    pub fn lease_expiry_time(&self) -> Duration {
        self.lease
            + self.lease * MAX_CLOCK_DRIFT_PERMILLE / (1_000 - MAX_CLOCK_DRIFT_PERMILLE)
            + TIMER_SLACK
    }
}
