//! The HTTP server that faces callers and operators.

mod connection;
mod server;

pub use self::server::{
    Drained,
    Error,
    Limits,
    Server, //
};
