//! The HTTP server that faces callers and operators.

mod connection;
mod patience;
mod server;

pub use self::{
    connection::{
        Connection,
        Cut,
        Listener, //
    },
    patience::Patience,
    server::{
        Drained,
        Error,
        Limits,
        Server, //
    },
};
