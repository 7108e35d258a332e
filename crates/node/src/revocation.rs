//! Limits the time for which a node that can't read the configuration may accept the API keys that it knows.
//!
//! During an outage of the store no node learns that a key has been revoked.

use std::time::Duration;

/// The margin by which keys are refused before the limit, because a request takes some time after its key is checked.
const REQUEST_MARGIN: Duration = Duration::from_millis(500);

/// The limit that the platform sets for nodes that can't read the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevocationLimit {
    /// The age of the configuration from which on its keys are refused; `None` sets no limit.
    pub max_config_age: Option<Duration>,
}

impl RevocationLimit {
    /// Returns whether the keys of a configuration must be refused, given the time since it was last confirmed.
    pub fn is_exceeded_by(&self, age: Duration) -> bool {
        self.max_config_age
            .is_some_and(|within| age + REQUEST_MARGIN >= within)
    }
}
