//! Pure coordination: ownership of shards, journal, recovery, credits and configuration.
//!
//! Nothing here does I/O or reads a clock: an event and the time go in, typed effects come out, and
//! the processes carry the effects out. This layer knows only the state layer.

pub mod claim;
pub mod config;
pub mod credit;
pub mod journal;
pub mod member;
pub mod part;
pub mod peer;
pub mod platform;
pub mod recovery;
pub mod request;
pub mod retry;
pub mod topology;
