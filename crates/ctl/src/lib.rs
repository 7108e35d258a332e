//! The operators' command line.
//!
//! Words become a checked [`Invocation`], a [`Client`] sends its line to a gate, and what comes back
//! becomes a [`Report`]. Only `main` touches the process: its arguments, environment and exit code.

mod cli;
mod client;
mod environment;
mod exit;
mod invocation;
mod line;
pub mod render;
mod report;
mod run;

pub use self::{
    cli::command,
    client::{
        Client,
        Failure, //
    },
    environment::Environment,
    exit::Exit,
    invocation::{
        Action,
        Error,
        Invocation,
        Output,
        Request, //
    },
    report::Report,
    run::run,
};
