//! One waiting job.

use super::Shape;
use crate::{
    clock::Timestamp,
    id::JobId,
    job::Priority,
    quota::Slot,
    resource::Resources, //
};

/// What the queue knows of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The job.
    pub job: JobId,
    /// Its class.
    pub class: Priority,
    /// Its team.
    pub team: Slot,
    /// The size of one task.
    pub size: Resources,
    /// Whether all tasks must start at once.
    pub gang: bool,
    /// The latest time at which it should start; the least is served first within a team.
    pub latest: Timestamp,
    /// Whether [`Self::latest`] comes from a deadline.
    pub bound: bool,
    /// When it was submitted.
    pub arrival: Timestamp,
}

impl Entry {
    /// Returns the lane that the job waits in.
    pub fn shape(&self) -> Shape {
        Shape::new(&self.size, self.gang)
    }

    /// Returns its place within its team and lane.
    pub(super) const fn rank(&self) -> (Timestamp, Timestamp, JobId) {
        (self.latest, self.arrival, self.job)
    }
}
