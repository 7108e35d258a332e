//! The waiting jobs: by class, then by the size of their tasks, then by team and slack.
//!
//! Tasks of nearly one size share a lane. When the first job of a lane finds no room, the lane is
//! parked as a whole until a worker has room for it again, so a full cell costs one attempt for
//! each size and not one for each job.

mod entry;
mod lane;
mod ready;
mod shape;

pub use self::{
    entry::Entry,
    lane::Park,
    ready::Queue,
    shape::Shape, //
};
