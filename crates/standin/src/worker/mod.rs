//! The stand-in for workers.

mod machine;
mod profile;
mod saved;
mod server;
mod task;

pub use self::{
    machine::Machine,
    profile::Profile,
    saved::Saved,
    server::{
        Port,
        Worker, //
    },
};
