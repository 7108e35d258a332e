//! The HTTP server that faces callers and operators, and clients that notice silent connections.

mod client;
mod connection;
mod patience;
mod server;

pub use self::{
    client::{
        ClientLimits,
        Clients,
        Pool, //
    },
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
