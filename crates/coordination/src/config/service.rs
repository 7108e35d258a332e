//! What is configured for a service.

use fulmarpier_state::{
    name,
    unit::Span, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::Invalid;

const DEFAULT_SLOTS: u16 = 8;
const DEFAULT_QUEUE: u32 = 200;
const DEFAULT_DEADLINE: Span = Span::from_secs(2);
const MAX_DEADLINE: Span = Span::from_secs(24 * 60 * 60);

/// One service: how its targets are filled and what its requests may expect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// How many requests each target takes at once.
    pub slots: u16,
    /// How many requests may wait at each gate.
    pub queue: u32,
    /// How long a request may take where it doesn't say so itself.
    pub deadline: Span,
    /// The team that owns it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<name::Team>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            queue: DEFAULT_QUEUE,
            deadline: DEFAULT_DEADLINE,
            team: None,
        }
    }
}

impl Service {
    /// Changes what `patch` names.
    pub fn apply(&mut self, patch: &Patch) {
        if let Some(slots) = patch.slots {
            self.slots = slots;
        }
        if let Some(queue) = patch.queue {
            self.queue = queue;
        }
        if let Some(deadline) = patch.deadline {
            self.deadline = deadline;
        }
        if let Some(team) = &patch.team {
            self.team = Some(team.clone());
        }
    }

    /// Checks the values by themselves.
    ///
    /// # Errors
    ///
    /// [`Invalid::Zero`] for a value that would stop all requests, [`Invalid::TooLarge`] for a
    /// deadline over a day.
    pub fn validate(&self, path: &str) -> Result<(), Invalid> {
        Invalid::non_zero(path, "slots", u64::from(self.slots))?;
        Invalid::non_zero(path, "queue", u64::from(self.queue))?;
        Invalid::non_zero(path, "deadline", self.deadline.as_micros())?;
        if self.deadline > MAX_DEADLINE {
            return Err(Invalid::TooLarge {
                path: format!("{path}.deadline"),
                found: self.deadline.to_string(),
                most: MAX_DEADLINE.to_string(),
            });
        }
        Ok(())
    }
}

/// A change to a service; what is absent stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// The new count of slots of each target.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slots: Option<u16>,
    /// The new bound of the queue.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
    /// The new default deadline.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Span>,
    /// The new owner.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub team: Option<name::Team>,
}
