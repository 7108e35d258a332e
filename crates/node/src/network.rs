//! The network between nodes.

use std::{
    fmt::Debug,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_protocol::wire::{
    Answer,
    Call, //
};
use fulmarpier_transport::rpc;
use futures::future::BoxFuture;
use tokio::sync::mpsc;

use crate::Error;

/// A network that connects the nodes of a cell.
pub trait Network {
    /// Connects a node to the network: it takes calls at `address`, where port zero stands for any free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or a thread can't be spawned.
    fn connect(&self, address: SocketAddr, limits: rpc::ServerLimits) -> Result<Endpoint, Error>;
}

/// The connection of a node to the network.
#[derive(Debug)]
pub struct Endpoint {
    /// Makes calls to other nodes.
    pub client: Arc<dyn Client>,
    /// Takes calls of other nodes.
    pub server: Box<dyn Server>,
    /// The calls of other nodes as they arrive.
    pub calls: mpsc::Receiver<rpc::Incoming>,
}

/// Makes calls to other nodes.
pub trait Client: Debug + Send + Sync {
    /// Makes one call, which runs at most once, and waits for the answer up to `timeout`.
    ///
    /// # Errors
    ///
    /// [`rpc::Error::not_run`] tells whether the failure proves that the call had no effect.
    fn call(
        &self,
        address: SocketAddr,
        call: Call,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Answer, rpc::Error>>;

    /// Returns the number of calls that wait for their answers.
    fn pending(&self) -> usize;
}

/// Takes calls of other nodes until it is closed or dropped.
pub trait Server: Debug + Send + Sync {
    /// Returns the address at which it takes calls.
    fn address(&self) -> SocketAddr;

    /// Takes no more calls and finishes those in progress within `drain`.
    fn close(self: Box<Self>, drain: Duration) -> BoxFuture<'static, ()>;
}

/// The network of the operating system: TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, address: SocketAddr, limits: rpc::ServerLimits) -> Result<Endpoint, Error> {
        let listen = |source| Error::Listen { address, source };
        let (server, calls) = rpc::Server::start(address, limits).map_err(listen)?;
        let client = rpc::Client::start(rpc::ClientLimits::default()).map_err(Error::Thread)?;
        Ok(Endpoint {
            client: Arc::new(client),
            server: Box::new(server),
            calls,
        })
    }
}

impl Client for rpc::Client {
    fn call(
        &self,
        address: SocketAddr,
        call: Call,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Answer, rpc::Error>> {
        Box::pin(Self::call(self, address, call, timeout))
    }

    fn pending(&self) -> usize {
        Self::pending(self)
    }
}

impl Server for rpc::Server {
    fn address(&self) -> SocketAddr {
        Self::address(self)
    }

    fn close(self: Box<Self>, drain: Duration) -> BoxFuture<'static, ()> {
        Box::pin(async move { drop(Self::close(*self, drain).await) })
    }
}
