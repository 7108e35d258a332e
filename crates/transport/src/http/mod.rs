//! The HTTP server that faces callers and operators, and clients that notice silent connections.

mod body;
mod client;
mod connection;
mod patience;
mod server;

pub use self::{
    body::{
        Caller,
        Refusal,
        receive, //
    },
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
        CONNECTION,
        Drained,
        Error,
        Limits,
        Server, //
    },
};
