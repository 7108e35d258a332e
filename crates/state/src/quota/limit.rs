//! The limit of one team.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::resource::Resources;

/// What a team may use and how much may wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limit {
    /// The most that its running tasks may hold together; `None` leaves it to the fair share.
    pub resources: Option<Resources>,
    /// Its weight in the fair share, at least one.
    pub weight: u32,
    /// How many of its jobs may wait.
    pub queue: u32,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            resources: None,
            weight: 1,
            queue: 5_000,
        }
    }
}

impl Limit {
    /// Returns whether `used` together with `more` stays within the limit.
    pub fn admits(&self, used: Resources, more: Resources) -> bool {
        let Some(sum) = used.checked_add(more) else {
            return false;
        };
        self.resources.is_none_or(|limit| sum.fits(&limit))
    }
}
