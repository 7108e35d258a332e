//! The HTTP server that faces callers and operators.

mod connection;
mod server;

pub use self::{
    connection::{
        Connection,
        Cut,
        Listener, //
    },
    server::{
        Drained,
        Error,
        Limits,
        Server, //
    },
};
