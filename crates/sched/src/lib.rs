//! The sched process: it owns shards, and decides what runs where.
//!
//! [`node::Node`] is the control state: events in, things to do out, no I/O. [`process::Sched`]
//! runs a node on one thread of its own and carries out what it asks for on others.

pub mod cli;
pub mod node;
pub mod process;
pub mod shard;
