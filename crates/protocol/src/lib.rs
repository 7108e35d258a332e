//! What the processes say to each other, to callers and to operators, as checked types.
//!
//! Raw input becomes a checked type by `TryFrom`, `FromStr` or a `load` function, and every way in
//! which that can fail is a typed error. There is no I/O here but the reading of settings files.

pub mod http;
pub mod problem;
pub mod query;
pub mod settings;
pub mod suggest;
pub mod wire;
