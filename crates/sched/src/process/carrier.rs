//! Carries out what a node asks for, and reports what became of it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_coordination::{
    member::Unreachable,
    peer,
    platform::{
        log,
        worker, //
    },
};
use fulmarpier_protocol::wire;
use fulmarpier_transport::{
    platform::{
        log as log_client,
        vm as vm_client,
        worker as worker_client, //
    },
    rpc,
};
use tokio::{
    runtime::Handle,
    sync::mpsc, //
};

use super::control::Event;
use crate::node::{
    Asking,
    Dispatch,
    Input,
    Purpose, //
};

/// How long a question to a peer may take.
const ASK: Duration = Duration::from_millis(500);
/// How long a command that was passed to a peer may take.
const FORWARD: Duration = Duration::from_secs(2);

/// The clients of everything outside, and the way back to the node.
#[derive(Clone, Debug)]
pub(super) struct Carrier {
    pub(super) traffic: Handle,
    pub(super) log: log_client::Client,
    pub(super) list: vm_client::Client,
    pub(super) workers: worker_client::Client,
    pub(super) peers: rpc::Client,
    pub(super) events: mpsc::Sender<Event>,
}

impl Carrier {
    /// Runs a call on the traffic threads and reports its end.
    fn run(&self, work: impl Future<Output = Input> + Send + 'static) {
        let events = self.events.clone();
        self.traffic.spawn(async move {
            let input = work.await;
            // A node that has ended needs no report.
            let _ = events.send(Event::Input(input)).await;
        });
    }

    pub(super) fn append(&self, purpose: Purpose, append: log::Append) {
        let log = self.log.clone();
        self.run(async move {
            let result = log.append(&append).await;
            Input::Appended { purpose, result }
        });
    }

    pub(super) fn read(&self, purpose: Purpose, read: log::Read) {
        let log = self.log.clone();
        self.run(async move {
            let result = log.read(&read).await;
            Input::Page { purpose, result }
        });
    }

    pub(super) fn sync(&self, dispatch: Dispatch, address: SocketAddr, sync: Box<worker::Sync>) {
        let workers = self.workers.clone();
        self.run(async move {
            let result = workers.sync(address, &sync).await;
            Input::Synced { dispatch, result }
        });
    }

    pub(super) fn ask(&self, asking: Asking, address: SocketAddr, message: &peer::Message) {
        let peers = self.peers.clone();
        let message = message.encode();
        self.run(async move {
            let call = wire::Call::Peer(wire::peer::Request { message });
            let answer = peers.call(address, call, ASK).await;
            let result = answered(answer);
            Input::Asked { asking, result }
        });
    }

    pub(super) fn forward(
        &self,
        number: u64,
        node: fulmarpier_state::id::NodeId,
        address: SocketAddr,
        command: wire::command::Request,
    ) {
        let peers = self.peers.clone();
        self.run(async move {
            let call = wire::Call::Command(command);
            let reply = match peers.call(address, call, FORWARD).await {
                Ok(wire::Answer::Command(reply)) => Some(reply),
                _ => None,
            };
            Input::Forwarded {
                number,
                node,
                reply,
            }
        });
    }

    pub(super) fn list(&self) {
        let list = self.list.clone();
        self.run(async move { Input::Listed(list.list().await.ok()) });
    }
}

/// Reads a peer's answer; only a refused connection proves that no process listens there.
fn answered(answer: Result<wire::Answer, rpc::Error>) -> Result<peer::Reply, Unreachable> {
    match answer {
        Ok(wire::Answer::Peer(reply)) => {
            peer::Reply::decode(&reply.message).map_err(|_| Unreachable::Timeout)
        }
        Err(rpc::Error::Refused { .. }) => Err(Unreachable::Refused),
        Ok(_) | Err(_) => Err(Unreachable::Timeout),
    }
}
