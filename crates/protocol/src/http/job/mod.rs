//! Jobs as callers submit them and as they see them.

mod raw;
mod submission;
mod view;
pub mod word;

pub use self::{
    raw::{
        Raw,
        Service,
        Size, //
    },
    submission::{
        Draft,
        MAX_TASKS,
        Received,
        Submission, //
    },
    view::{
        Accepted,
        State,
        Tasks,
        View, //
    },
};
