//! The process around a node: threads, sockets, timers and counters.

mod carrier;
mod control;
mod error;
mod http;
mod meter;
mod notes;
mod options;
mod sched;

pub use self::{
    error::Error,
    sched::Sched, //
};
