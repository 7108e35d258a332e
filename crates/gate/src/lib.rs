//! The gate: faces callers and operators, and places ordinary requests in memory.
//!
//! One thread holds the control state: the exchanges with the scheds ([`control`]). Others carry
//! traffic: they choose slots in memory ([`slot`]), let requests wait ([`wait`]), send them to targets
//! ([`forward`]) and hand jobs to the owners of shards ([`job`]). See `docs/design/13-gate.md`.

pub mod app;
pub mod control;
pub mod digest;
mod drain;
pub mod forward;
mod gate;
pub mod http;
pub mod job;
pub mod load;
pub mod metrics;
pub mod phase;
pub mod slot;
pub mod wait;

pub use self::gate::{
    End,
    Error,
    Gate, //
};
