//! The stand-in for the platform's append-only log.

mod frame;
mod server;
mod store;

pub(crate) use self::server::{
    append,
    read, //
};
pub use self::{
    server::Log,
    store::{
        Count,
        Error,
        Store, //
    },
};
