//! The stand-in for workers.

mod machine;
mod server;
mod task;

pub use self::{
    machine::{
        Machine,
        Profile,
        Saved, //
    },
    server::Worker,
};
