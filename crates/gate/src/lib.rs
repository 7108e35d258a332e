//! The gate: faces callers and operators, and places ordinary requests in memory.

pub mod digest;
pub mod wait;
