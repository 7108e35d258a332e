//! The answering side of each call: out of Cap'n Proto, through a channel, and back.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc, //
};

use fulmarpier_protocol::wire::{
    self,
    Answer,
    Call,
    begin,
    cancel,
    command,
    finish,
    job,
    peer,
    sched_capnp::sched,
    submit,
    sync, //
};
use tokio::sync::{
    Notify,
    mpsc::{
        self,
        error::TrySendError, //
    },
    oneshot,
};

use super::{
    connections::Usage,
    eviction, //
};

/// A call that arrived, with the way to answer it.
#[derive(Debug)]
pub struct Incoming {
    /// Where the call came from.
    pub from: SocketAddr,
    /// The call.
    pub call: Call,
    /// Takes the answer of the same name; dropping it tells the caller that the call failed.
    pub answer: oneshot::Sender<Answer>,
}

/// The calls in progress on all connections of one server.
#[derive(Default)]
pub(super) struct Open {
    count: Cell<usize>,
    closing: Cell<bool>,
    idle: Notify,
}

impl Open {
    /// Refuses calls from now on.
    pub(super) fn close(&self) {
        self.closing.set(true);
    }

    /// Returns how many calls are in progress.
    pub(super) fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no call is in progress.
    pub(super) async fn idle(&self) {
        while self.count.get() > 0 {
            self.idle.notified().await;
        }
    }

    fn enter(self: &Rc<Self>) -> Entry {
        self.count.set(self.count.get() + 1);
        Entry(self.clone())
    }
}

/// Counts one call for as long as it lives.
struct Entry(Rc<Open>);

impl Drop for Entry {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        if self.0.count.get() == 0 {
            self.0.idle.notify_one();
        }
    }
}

/// The service of one connection.
pub(super) struct Service {
    pub(super) from: SocketAddr,
    pub(super) calls: mpsc::Sender<Incoming>,
    pub(super) open: Rc<Open>,
    pub(super) usage: Rc<Usage>,
}

impl Service {
    /// Passes a call on and waits for its answer.
    async fn ask(&self, call: Call) -> Result<Answer, capnp::Error> {
        if self.open.closing.get() {
            return Err(overloaded("closing"));
        }
        let _entry = self.open.enter();
        let Some(_busy) = self.usage.enter() else {
            return Err(eviction::refusal());
        };
        let (answer, answered) = oneshot::channel();
        let incoming = Incoming {
            from: self.from,
            call,
            answer,
        };
        self.calls.try_send(incoming).map_err(|error| match error {
            TrySendError::Full(_) => overloaded("the queue of calls is full"),
            TrySendError::Closed(_) => overloaded("closing"),
        })?;
        answered
            .await
            .map_err(|_| capnp::Error::failed("the call was dropped".to_owned()))
    }
}

/// Defines the method of one call: read the request, ask, write the reply of the same name.
macro_rules! method {
    ($name:ident, $params:ident, $results:ident, $variant:ident) => {
        async fn $name(
            self: Rc<Self>,
            params: sched::$params,
            mut results: sched::$results,
        ) -> Result<(), capnp::Error> {
            let request = $name::Request::try_from(params.get()?).map_err(rejected)?;
            match self.ask(Call::$variant(request)).await? {
                Answer::$variant(reply) => {
                    reply.write(results.get());
                    Ok(())
                }
                _ => Err(capnp::Error::failed("an answer to another call".to_owned())),
            }
        }
    };
}

impl sched::Server for Service {
    method!(sync, SyncParams, SyncResults, Sync);
    method!(submit, SubmitParams, SubmitResults, Submit);
    method!(begin, BeginParams, BeginResults, Begin);
    method!(finish, FinishParams, FinishResults, Finish);
    method!(command, CommandParams, CommandResults, Command);
    method!(job, JobParams, JobResults, Job);
    method!(cancel, CancelParams, CancelResults, Cancel);
    method!(peer, PeerParams, PeerResults, Peer);
}

/// A malformed call travels as "unimplemented", which proves to the caller that it was not run.
fn rejected(error: wire::Error) -> capnp::Error {
    capnp::Error::unimplemented(error.to_string())
}

fn overloaded(reason: &str) -> capnp::Error {
    capnp::Error::overloaded(reason.to_owned())
}
