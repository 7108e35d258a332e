//! A scripted sched: a real ledger of slots, canned answers for the rest.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
};

use fulmarpier_coordination::{
    config::Document,
    credit::{
        Demand,
        Hold,
        Ledger,
        Statement,
        Terms, //
    },
    platform::target::Target,
};
use fulmarpier_protocol::wire::{
    Answer,
    Call,
    sync, //
};
use fulmarpier_state::{
    id::{
        Epoch,
        Incarnation,
        NodeId,
        Offset,
        ShardId, //
    },
    unit::Bytes,
};
use fulmarpier_transport::{
    clock::Clock,
    rpc::{
        Server,
        ServerLimits, //
    },
};

use super::until;

/// The one shard of the tests.
pub(crate) const SHARD: ShardId = ShardId(100);

/// A scripted sched.
pub(crate) struct Sched {
    server: Server,
    script: Arc<Mutex<Script>>,
}

struct Script {
    node: NodeId,
    clock: Clock,
    ledger: Ledger,
    config: Document,
    version: Offset,
    owns: bool,
    /// The answers to calls other than `sync`, in order; `None` loses an answer.
    answers: VecDeque<Option<Answer>>,
    /// The calls other than `sync` that came.
    calls: Vec<Call>,
    /// How many of them are answered before the others wait.
    open: usize,
}

impl Sched {
    /// Starts a sched that owns the shard, and the given targets with so many slots each.
    pub(crate) fn start(node: NodeId, config: Document, targets: &[(Target, u16)]) -> Self {
        let mut ledger = Ledger::new(Terms::default());
        for (target, slots) in targets {
            ledger.add("desk".parse().unwrap(), *target, Epoch(1), *slots);
        }
        let script = Arc::new(Mutex::new(Script {
            node,
            clock: Clock::start(),
            ledger,
            config,
            version: Offset(1),
            owns: true,
            answers: VecDeque::new(),
            calls: Vec::new(),
            open: usize::MAX,
        }));
        let address = "127.0.0.1:0".parse().unwrap();
        let (server, mut incoming) = Server::start(address, ServerLimits::default()).unwrap();
        let shared = script.clone();
        tokio::spawn(async move {
            while let Some(call) = incoming.recv().await {
                let shared = shared.clone();
                tokio::spawn(async move {
                    until(|| shared.lock().unwrap().takes(&call.call)).await;
                    let answer = shared.lock().unwrap().answer(call.call);
                    if let Some(answer) = answer {
                        let _ = call.answer.send(answer);
                    }
                });
            }
        });
        Self { server, script }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds an answer to the script; `None` loses it.
    pub(crate) fn answers(&self, answer: impl Into<Option<Answer>>) {
        self.script.lock().unwrap().answers.push_back(answer.into());
    }

    /// Returns the calls other than `sync` that came.
    pub(crate) fn calls(&self) -> Vec<Call> {
        self.script.lock().unwrap().calls.clone()
    }

    /// Answers only so many calls other than `sync` in all, until it is told otherwise.
    pub(crate) fn hold_after(&self, count: usize) {
        self.script.lock().unwrap().open = count;
    }

    /// Owns nothing from now on, and says so.
    pub(crate) fn disown(&self) {
        self.script.lock().unwrap().owns = false;
    }

    /// Publishes another configuration.
    pub(crate) fn publish(&self, config: Document) {
        let mut script = self.script.lock().unwrap();
        script.config = config;
        script.version = script.version.next();
    }

    /// Adds a target with so many slots.
    pub(crate) fn offer(&self, target: Target, slots: u16) {
        let ledger = &mut self.script.lock().unwrap().ledger;
        ledger.add("desk".parse().unwrap(), target, Epoch(1), slots);
    }

    /// Returns how many slots the gate holds of a target.
    pub(crate) fn held(&self, target: Target) -> u16 {
        self.script.lock().unwrap().ledger.held(target.id)
    }
}

impl Script {
    fn takes(&self, call: &Call) -> bool {
        matches!(call, Call::Sync(_)) || self.calls.len() < self.open
    }

    fn answer(&mut self, call: Call) -> Option<Answer> {
        if let Call::Sync(request) = call {
            return self.sync(request).map(Answer::Sync);
        }
        self.calls.push(call);
        self.answers.pop_front().expect("the call is in the script")
    }

    fn sync(&mut self, request: sync::Request) -> Option<sync::Reply> {
        let known = request.config_version;
        let now = self.clock.now();
        let reply = self.ledger.sync(&statement(request), &|_| true, now).ok()?;
        let grant = |grant: fulmarpier_coordination::credit::Grant| sync::Grant {
            service: grant.service,
            target: grant.target,
            slots: grant.slots,
            lease: grant.lease,
            epoch: grant.epoch,
        };
        let shard = sync::Shard {
            id: SHARD,
            epoch: Epoch(1),
            free_millicores: 16_000,
            free_memory: Bytes::from_gib(32),
            free_accelerators: 0,
            waiting_tasks: 0,
        };
        let newer = known < self.version;
        Some(sync::Reply {
            node: self.node,
            incarnation: Incarnation(1),
            shards: if self.owns { vec![shard] } else { Vec::new() },
            grants: reply.grants.into_iter().map(grant).collect(),
            config_version: self.version,
            config: newer.then(|| serde_json::to_vec(&self.config).unwrap().into()),
            draining: false,
            sequence: reply.sequence,
        })
    }
}

fn statement(request: sync::Request) -> Statement {
    let demand = |demand: sync::Demand| Demand {
        service: demand.service,
        wanted: demand.wanted,
    };
    let hold = |hold: sync::Hold| Hold {
        target: hold.target,
        epoch: hold.epoch,
        slots: hold.slots,
        abandoned: hold.abandoned,
    };
    Statement {
        gate: request.gate,
        incarnation: request.incarnation,
        sequence: request.sequence,
        demands: request.demands.into_iter().map(demand).collect(),
        holds: request.holds.into_iter().map(hold).collect(),
        draining: request.draining,
    }
}
