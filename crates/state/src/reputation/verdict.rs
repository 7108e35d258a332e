//! What follows from a start that worked or failed.

use crate::id::{
    JobId,
    WorkerId, //
};

/// What follows from a start that worked or failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing follows.
    #[default]
    None,
    /// The worker fails what works elsewhere: place nothing there but probes.
    Quarantine(WorkerId),
    /// A probe succeeded: the worker takes tasks again.
    Release(WorkerId),
    /// The job fails on good workers: start no more of its tasks.
    Hold(JobId),
}
