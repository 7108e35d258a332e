//! The contracts with the platform: log, VM list, workers and targets.
//!
//! These are the domain's own types. Each has one adapter in the transport layer, which is the only
//! place to change when the platform's real interface differs.

pub mod log;
pub mod target;
pub mod vm;
pub mod worker;
