//! What is configured for a team.

use fulmarpier_state::{
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::Invalid;

const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_QUEUE: u32 = 10_000;

/// The most of each resource that a team may use at once; what is absent has no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quota {
    /// The bound on processor time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cpu: Option<Millicores>,
    /// The bound on memory.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<Bytes>,
    /// The bound on accelerators.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accelerators: Option<u16>,
}

impl Quota {
    /// Returns the bounds, with the largest value where there is none.
    pub fn limit(&self) -> Resources {
        Resources::new(
            self.cpu.unwrap_or(Millicores(u32::MAX)),
            self.memory.unwrap_or(Bytes(u64::MAX)),
            self.accelerators.unwrap_or(u16::MAX),
        )
    }

    /// Returns whether no resource is bounded.
    pub const fn is_open(&self) -> bool {
        self.cpu.is_none() && self.memory.is_none() && self.accelerators.is_none()
    }
}

/// One team: its quota, its weight in the fair share and the bound of its queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// The most that it may use at once.
    pub quota: Quota,
    /// Its part in the fair share, relative to those of other teams.
    pub weight: u32,
    /// How many of its tasks may wait.
    pub queue: u32,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            quota: Quota::default(),
            weight: DEFAULT_WEIGHT,
            queue: DEFAULT_QUEUE,
        }
    }
}

impl Team {
    /// Changes what `patch` names.
    pub const fn apply(&mut self, patch: &Patch) {
        if let Some(cpu) = patch.cpu {
            self.quota.cpu = Some(cpu);
        }
        if let Some(memory) = patch.memory {
            self.quota.memory = Some(memory);
        }
        if let Some(accelerators) = patch.accelerators {
            self.quota.accelerators = Some(accelerators);
        }
        if let Some(weight) = patch.weight {
            self.weight = weight;
        }
        if let Some(queue) = patch.queue {
            self.queue = queue;
        }
    }

    /// Checks the values by themselves.
    ///
    /// # Errors
    ///
    /// [`Invalid::Zero`] for a value that would stop all of the team's work.
    pub fn validate(&self, path: &str) -> Result<(), Invalid> {
        Invalid::non_zero(path, "weight", u64::from(self.weight))?;
        Invalid::non_zero(path, "queue", u64::from(self.queue))?;
        if let Some(cpu) = self.quota.cpu {
            Invalid::non_zero(path, "cpu", u64::from(cpu.get()))?;
        }
        if let Some(memory) = self.quota.memory {
            Invalid::non_zero(path, "memory", memory.get())?;
        }
        Ok(())
    }
}

/// A change to a team; what is absent stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// The new bound on processor time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cpu: Option<Millicores>,
    /// The new bound on memory.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<Bytes>,
    /// The new bound on accelerators.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub accelerators: Option<u16>,
    /// The new weight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// The new bound of the queue.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}
