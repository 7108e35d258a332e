//! The HTTP server that faces callers and operators, clients that notice silent connections, and answers within bounds.

pub mod answer;
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
        Drained,
        Error,
        Limits,
        Server, //
    },
};
