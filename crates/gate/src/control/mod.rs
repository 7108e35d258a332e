//! Control state: what is agreed with the scheds, on a thread of its own.

mod actor;
mod exchange;
mod pace;
mod thread;
mod view;

pub use self::{
    pace::{
        Pace,
        Turn, //
    },
    thread::{
        Control,
        Error,
        Setup, //
    },
    view::{
        Owned,
        Sched,
        View, //
    },
};
