//! Small stand-ins for the platform: log, VM list, workers and targets.
//!
//! For tests and demonstrations only. Everything is held in memory, nothing is simulated: workers
//! and targets listen on loopback and answer in real time, and faults are switched on by hand. The
//! stand-ins keep their own record of what ran, against which the system is checked.

pub mod fault;
pub mod log;
mod pause;
mod platform;
pub mod record;
mod router;
pub mod settings;
pub mod target;
pub mod vm;
pub mod worker;

pub use self::{
    platform::{
        Handle,
        Platform, //
    },
    settings::Settings,
};
