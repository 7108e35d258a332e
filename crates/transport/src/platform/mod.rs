//! Adapters to the platform, one module each.
//!
//! They speak the HTTP interface of `docs/INTERFACES.md`. When the platform's real interface
//! differs, the module concerned is the only place to change.

mod connection;
pub mod log;
pub mod target;
pub mod vm;
pub mod worker;

pub use self::connection::{
    SetupError,
    Timeouts, //
};
