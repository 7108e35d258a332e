//! How placement weighs waiting time, packing and control cost.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Invalid,
    Share, //
};

/// The weights of the three measures, relative to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// The weight of waiting time.
    pub waiting: Share,
    /// The weight of packing.
    pub packing: Share,
    /// The weight of control cost.
    pub control: Share,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            waiting: Share::from_thousandths(500),
            packing: Share::from_thousandths(300),
            control: Share::from_thousandths(200),
        }
    }
}

impl Weights {
    /// Changes what `patch` names.
    pub const fn apply(&mut self, patch: &Patch) {
        if let Some(waiting) = patch.waiting {
            self.waiting = waiting;
        }
        if let Some(packing) = patch.packing {
            self.packing = packing;
        }
        if let Some(control) = patch.control {
            self.control = control;
        }
    }

    /// Checks that at least one weight counts.
    ///
    /// # Errors
    ///
    /// [`Invalid::Zero`] when all three are zero, so that nothing would be decided.
    pub fn validate(&self) -> Result<(), Invalid> {
        let parts = [self.waiting, self.packing, self.control];
        let sum = parts.iter().map(|part| u64::from(part.thousandths())).sum();
        Invalid::non_zero("weights", "sum", sum)
    }
}

/// A change to the weights; what is absent stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Patch {
    /// The new weight of waiting time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub waiting: Option<Share>,
    /// The new weight of packing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub packing: Option<Share>,
    /// The new weight of control cost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<Share>,
}
