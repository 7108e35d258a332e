//! The stand-in for targets: a listener for each task of a service.

mod host;
mod server;

pub use self::host::{
    Host,
    Target, //
};
