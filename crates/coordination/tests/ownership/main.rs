//! Ownership of shards by a few nodes, in virtual time, under faults.

mod cell;
mod failures;
mod histories;
