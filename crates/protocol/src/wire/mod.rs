//! Messages between gates and scheds, and between scheds, over Cap'n Proto.
//!
//! Each call has a module with a `Request` and a `Reply`. Both convert from the reader of the
//! generated call parameters or results with `TryFrom`, and write themselves into the builder with
//! `write`. A reader trusts nothing: ids, names and enums are checked and lists are bounded.

mod bound;
mod call;
mod error;
mod list;
mod refusal;
mod scalar;

pub mod begin;
pub mod cancel;
pub mod command;
pub mod finish;
pub mod job;
pub mod peer;
#[expect(
    missing_docs,
    clippy::unimplemented,
    reason = "The code is generated."
)]
#[rustfmt::skip]
pub mod sched_capnp;
pub mod submit;
pub mod sync;

pub use self::{
    call::{
        Answer,
        Call, //
    },
    error::Error,
};
