//! The whole path in one process on the embedded stand-ins.

pub mod caller;
mod cluster;
pub mod script;

pub use self::cluster::{
    Cluster,
    Error,
    Size,
    TOKEN, //
};
