//! Why a change of the index is rejected.

use crate::{
    id::WorkerId,
    resource::Resources, //
};

/// The ways in which a change of the index can be wrong; the index is then left as it was.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker is not in the index.
    #[error("{worker} is not known")]
    Unknown {
        /// The worker that was named.
        worker: WorkerId,
    },
    /// The worker is in the index already.
    #[error("{worker} is known already")]
    Duplicate {
        /// The worker that was named.
        worker: WorkerId,
    },
    /// The worker has less left than was wanted.
    #[error("{worker} has {free} free, wanted are {wanted}")]
    Overfull {
        /// The worker that was named.
        worker: WorkerId,
        /// What it has left.
        free: Resources,
        /// What was to be reserved.
        wanted: Resources,
    },
    /// More was to be released than is reserved.
    #[error("{worker} has {reserved} reserved, to be released are {released}")]
    Overreleased {
        /// The worker that was named.
        worker: WorkerId,
        /// What is reserved on it.
        reserved: Resources,
        /// What was to be released.
        released: Resources,
    },
}
