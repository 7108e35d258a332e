//! The actor that holds the node, on the one thread for control state.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
};

use fulmarpier_protocol::wire;
use fulmarpier_state::clock::Timestamp;
use fulmarpier_transport::{
    clock::Clock,
    rpc, //
};
use kameo::{
    Actor,
    message::{
        Context,
        Message, //
    },
};
use slog::Logger;
use tokio::sync::{
    Notify,
    oneshot, //
};

use super::{
    carrier::Carrier,
    meter::Meter,
    notes, //
};
use crate::node::{
    CallId,
    Input,
    Node,
    Output, //
};

/// What reaches the actor.
#[derive(Debug)]
pub(super) enum Event {
    /// Something for the node.
    Input(Input),
    /// A call, whose answer is owed.
    Call(rpc::Incoming),
}

/// What other threads may see of the node.
#[derive(Debug, Default)]
pub(super) struct Status {
    /// Whether the node has the claims and the configuration, and is not leaving.
    pub(super) ready: AtomicBool,
    /// Whether the node has handed everything over.
    pub(super) drained: Notify,
}

/// The actor that holds the node.
#[derive(Actor)]
pub(super) struct Control {
    node: Node,
    clock: Clock,
    carrier: Carrier,
    meter: Meter,
    log: Logger,
    status: Arc<Status>,
    calls: HashMap<CallId, oneshot::Sender<wire::Answer>>,
    next_call: u64,
}

/// Events that arrived together; the answer says when to come back at the latest.
#[derive(Debug)]
pub(super) struct Batch(pub(super) Vec<Event>);

/// When to come back to the node at the latest.
#[derive(Clone, Copy, Debug, kameo::Reply)]
pub(super) struct Wake(pub(super) Timestamp);

impl Control {
    pub(super) fn new(
        node: Node,
        clock: Clock,
        carrier: Carrier,
        meter: Meter,
        log: Logger,
        status: Arc<Status>,
    ) -> Self {
        Self {
            node,
            clock,
            carrier,
            meter,
            log,
            status,
            calls: HashMap::new(),
            next_call: 0,
        }
    }

    /// Turns an event into an input, and remembers whom to answer.
    fn input(&mut self, event: Event) -> Input {
        match event {
            Event::Input(input) => input,
            Event::Call(incoming) => {
                self.next_call += 1;
                let id = CallId(self.next_call);
                self.calls.insert(id, incoming.answer);
                Input::Call {
                    id,
                    call: incoming.call,
                }
            }
        }
    }

    fn carry(&mut self, output: Output) {
        match output {
            Output::Append { purpose, append } => self.carrier.append(purpose, append),
            Output::Read { purpose, read } => self.carrier.read(purpose, read),
            Output::Sync {
                dispatch,
                address,
                sync,
            } => self.carrier.sync(dispatch, address, sync),
            Output::Ask {
                asking,
                address,
                message,
            } => self.carrier.ask(asking, address, &message),
            Output::Forward {
                number,
                node,
                address,
                command,
            } => self.carrier.forward(number, node, address, command),
            Output::Answer { id, answer } => self.answer(id, *answer),
            Output::List => self.carrier.list(),
            Output::Note(note) => notes::write(&self.log, &note),
            Output::Drained => self.status.drained.notify_one(),
        }
    }

    fn answer(&mut self, id: CallId, answer: wire::Answer) {
        if let Some(waiting) = self.calls.remove(&id) {
            // A caller that has left needs no answer.
            let _ = waiting.send(answer);
        }
    }

    fn show(&self, now: Timestamp) {
        let ready = self.node.is_ready(now);
        self.status.ready.store(ready, Ordering::Relaxed);
    }
}

impl Message<Batch> for Control {
    type Reply = Wake;

    async fn handle(
        &mut self,
        Batch(events): Batch,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Wake {
        let now = self.clock.now();
        let inputs = events.into_iter().map(|event| self.input(event)).collect();
        let outputs = self.node.on_all(inputs, now);
        for output in outputs {
            self.carry(output);
        }
        let counts = self.node.counts();
        self.meter.add(&counts);
        self.show(now);
        Wake(self.node.next_wake(now))
    }
}
