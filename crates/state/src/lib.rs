//! Pure scheduling state: capacity, queues, placement and policy.
//!
//! Nothing here does I/O or reads a clock: an event and the time go in, typed decisions come out.
//! This is the innermost layer; it knows no other crate of the workspace.

pub mod admission;
pub mod alias;
pub mod clock;
pub mod engine;
pub mod explain;
pub mod id;
pub mod job;
pub mod learn;
pub mod name;
pub mod placement;
pub mod policy;
pub mod queue;
pub mod quota;
pub mod refusal;
pub mod reputation;
pub mod resource;
pub mod unit;
pub mod worker;
