//! The switches of the placement policy.

use fulmarpier_state::job::Spread;
use serde::{
    Deserialize,
    Serialize, //
};

/// Which means placement may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// Whether urgent work may displace work of a lower priority.
    pub preemption: bool,
    /// Whether later work may use what a reservation doesn't need yet.
    pub backfill: bool,
    /// Where the tasks of a service are together when the job doesn't say so.
    pub spread: Spread,
    /// Whether jobs of teams that are not configured are taken, under the default limit.
    pub unknown_teams: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            preemption: true,
            backfill: true,
            spread: Spread::DataCentres,
            unknown_teams: true,
        }
    }
}

impl Policy {
    /// Changes what `patch` names.
    pub const fn apply(&mut self, patch: &Patch) {
        if let Some(preemption) = patch.preemption {
            self.preemption = preemption;
        }
        if let Some(backfill) = patch.backfill {
            self.backfill = backfill;
        }
        if let Some(spread) = patch.spread {
            self.spread = spread;
        }
        if let Some(unknown_teams) = patch.unknown_teams {
            self.unknown_teams = unknown_teams;
        }
    }
}

/// A change to the policy; what is absent stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// Whether urgent work may displace other work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub preemption: Option<bool>,
    /// Whether later work may use what a reservation doesn't need yet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub backfill: Option<bool>,
    /// The default spread of services.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread: Option<Spread>,
    /// Whether jobs of teams that are not configured are taken.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unknown_teams: Option<bool>,
}
