//! Pure coordination: ownership of shards, journal, recovery, credits and configuration.
//!
//! Nothing here does I/O or reads a clock: an event and the time go in, typed effects come out, and
//! the processes carry the effects out. This layer knows only the state layer.

pub mod platform;
