//! Identifiers of machines, zones, jobs and tasks.
//!
//! Numeric ids print with a short prefix (`w17`, `dc2`) and parse back from the same form. In
//! self-describing formats they are written as that string, in compact ones as the number.

mod numeric;
mod task;

pub use self::{
    numeric::{
        DataCentreId,
        Epoch,
        Incarnation,
        NodeId,
        Offset,
        RackId,
        RegionId,
        ShardId,
        WorkerId, //
    },
    task::{
        Attempt,
        JobId,
        TaskId, //
    },
};

/// The ways in which the text of an id can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ParseError {
    /// The text does not start with the prefix of its kind.
    #[error("expected an id of the form `{prefix}<number>`, found `{found}`")]
    Prefix {
        /// The prefix that was expected.
        prefix: &'static str,
        /// The text as given.
        found: String,
    },
    /// The part behind the prefix is not a number in range.
    #[error("expected a number in range behind `{prefix}`, found `{found}`")]
    Number {
        /// The prefix that was expected.
        prefix: &'static str,
        /// The text as given.
        found: String,
    },
    /// The text is not a UUID, or not `uuid/index` for a task.
    #[error("expected a UUID (for a task: `uuid/index`), found `{found}`")]
    Uuid {
        /// The text as given.
        found: String,
    },
}
