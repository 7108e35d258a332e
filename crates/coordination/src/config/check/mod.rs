//! What a change would do to what runs, before it is published.
//!
//! [`run`] checks the changes by themselves and against a summary of what runs. Where the effect is
//! wide, the change needs the [`Token`] that the dry run printed; it is void as soon as the
//! configuration or the effect is another.

mod capacity;
mod finding;
mod impact;
mod report;
mod services;
mod teams;
mod token;
mod usage;

pub use self::{
    finding::{
        Finding,
        Severity, //
    },
    impact::{
        Impact,
        Radius, //
    },
    report::{
        Report,
        run, //
    },
    token::Token,
    usage::{
        ServiceUsage,
        TeamUsage,
        Usage,
        WorkerUsage, //
    },
};
