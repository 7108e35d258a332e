//! Bounds on what callers may ask for.

use fulmarpier_state::unit::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};

use super::Invalid;

const DEFAULT_BODY: Bytes = Bytes::from_mib(8);
const DEFAULT_TASKS: u32 = 10_000;
const DEFAULT_QUEUE: u32 = 100_000;

/// Bounds that hold for all callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The largest body of a request.
    pub body: Bytes,
    /// The most tasks of one job.
    pub tasks: u32,
    /// How many tasks may wait in one shard, over all teams.
    pub queue: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: DEFAULT_BODY,
            tasks: DEFAULT_TASKS,
            queue: DEFAULT_QUEUE,
        }
    }
}

impl Limits {
    /// Changes what `patch` names.
    pub const fn apply(&mut self, patch: &Patch) {
        if let Some(body) = patch.body {
            self.body = body;
        }
        if let Some(tasks) = patch.tasks {
            self.tasks = tasks;
        }
        if let Some(queue) = patch.queue {
            self.queue = queue;
        }
    }

    /// Checks the values by themselves.
    ///
    /// # Errors
    ///
    /// [`Invalid::Zero`] for a bound that would refuse everything.
    pub fn validate(&self) -> Result<(), Invalid> {
        Invalid::non_zero("limits", "body", self.body.get())?;
        Invalid::non_zero("limits", "tasks", u64::from(self.tasks))?;
        Invalid::non_zero("limits", "queue", u64::from(self.queue))
    }
}

/// A change to the limits; what is absent stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// The new bound on a body.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<Bytes>,
    /// The new bound on the tasks of one job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
    /// The new bound on waiting tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}
