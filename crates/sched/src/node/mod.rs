//! One node's control state: events in, things to do out.
//!
//! [`Node`] holds the ownership machine, the shards that this node owns, the slots of their targets
//! and the configuration. It does no I/O and reads no clock, so that any failure is a short,
//! deterministic test; the process in [`crate::process`] carries out what it asks for.

mod calls;
mod command;
mod configure;
mod core;
mod input;
mod outbox;
mod ownership;
mod parts;
mod settings;
mod tables;

pub use self::{
    core::Node,
    input::{
        Asking,
        CallId,
        Dispatch,
        Input,
        Note,
        Output,
        Purpose, //
    },
    outbox::{
        Counts,
        Outbox, //
    },
    settings::Settings,
};
