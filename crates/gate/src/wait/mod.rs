//! Waiting for a slot: a bounded queue, fair between teams, that refuses early.

mod estimate;
mod line;
mod queue;

pub use self::{
    estimate::Estimate,
    queue::{
        Full,
        Limits,
        Pushed,
        Queue,
        Ticket, //
    },
};
