//! Calls between the system's own processes, over Cap'n Proto RPC on TCP.
//!
//! The RPC objects are bound to one thread, so client and server each run on a thread of their own;
//! the rest of the process talks to them through channels.

mod client;
mod connections;
mod error;
mod eviction;
mod exchange;
mod frame;
mod link;
mod peer;
mod server;
mod service;
mod traffic;

pub use self::{
    client::{
        Client,
        Limits as ClientLimits, //
    },
    error::Error,
    server::{
        Closed,
        Limits as ServerLimits,
        Server, //
    },
    service::Incoming,
    traffic::Totals, //
};
