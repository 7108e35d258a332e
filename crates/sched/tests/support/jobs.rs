//! Jobs for the nodes, and what became of them.

use std::time::Duration;

use fulmarpier_protocol::{
    http::job,
    wire, //
};
use fulmarpier_sched::node::CallId;
use fulmarpier_state::{
    engine::{
        Outcome,
        State, //
    },
    id::{
        JobId,
        NodeId,
        ShardId,
        WorkerId, //
    },
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    refusal,
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

use super::{
    Worker,
    World, //
};

/// Returns a batch job of so many tasks.
pub(crate) fn batch(tasks: u32, runtime: Duration) -> Spec {
    Spec {
        team: "repair".parse().unwrap(),
        kind: Kind::Batch,
        size: Resources::new(Millicores(500), Bytes::from_mib(512), 0),
        tasks,
        priority: Priority::Normal,
        runtime: Some(runtime),
        deadline: None,
        idempotent: true,
        checkpoint: false,
        spread: Spread::Any,
        payload: Payload::default(),
    }
}

/// Returns a batch job whose tasks run at most once.
pub(crate) fn once(tasks: u32, runtime: Duration) -> Spec {
    Spec {
        idempotent: false,
        ..batch(tasks, runtime)
    }
}

pub(crate) fn id(number: u32) -> JobId {
    JobId::from_u128(u128::from(number) + 1)
}

impl World {
    pub(crate) fn worker(&mut self, number: u32) -> &mut Worker {
        self.workers.get_mut(&WorkerId(number)).unwrap()
    }

    /// Returns a node that places work on a shard with workers.
    pub(crate) fn owner(&self) -> Option<(NodeId, ShardId)> {
        self.owners().into_iter().next()
    }

    /// Returns all nodes that place work on shards with workers.
    pub(crate) fn owners(&self) -> Vec<(NodeId, ShardId)> {
        let mut owners = Vec::new();
        for id in self.nodes() {
            let Some(node) = self.node(id) else {
                continue;
            };
            let shards = node.active_shards(self.now);
            owners.extend(shards.map(|shard| (id, shard)));
        }
        owners
    }

    /// Submits a job and does not wait.
    pub(crate) fn submit(&mut self, to: (NodeId, ShardId), id: JobId, spec: Spec) -> CallId {
        let shard = to.1;
        self.call(
            to.0,
            wire::Call::Submit(wire::submit::Request { shard, id, spec }),
        )
    }

    /// Returns what a submission was answered, where it was.
    pub(crate) fn submitted(&self, call: CallId) -> Option<Result<(), refusal::Outcome>> {
        match self.answers.get(&call)? {
            wire::Answer::Submit(reply) => Some(match reply {
                wire::submit::Reply::Accepted | wire::submit::Reply::Known => Ok(()),
                wire::submit::Reply::Refused(refusal) => Err(refusal.outcome),
                wire::submit::Reply::Elsewhere(_) => Err(refusal::Outcome::NotRun),
            }),
            other => panic!("{other:?} is no answer to a submission"),
        }
    }

    /// Cancels a job and does not wait.
    pub(crate) fn cancel(&mut self, to: (NodeId, ShardId), id: JobId) -> CallId {
        self.call(to.0, wire::Call::Cancel(wire::cancel::Request { id }))
    }

    /// Returns what a cancellation was answered, where it was and the job was known.
    pub(crate) fn cancelled(&self, call: CallId) -> Option<Result<(), refusal::Outcome>> {
        match self.answers.get(&call)? {
            wire::Answer::Cancel(wire::cancel::Reply::Found(reply)) => Some(match reply {
                wire::submit::Reply::Accepted | wire::submit::Reply::Known => Ok(()),
                wire::submit::Reply::Refused(refusal) => Err(refusal.outcome),
                wire::submit::Reply::Elsewhere(_) => Err(refusal::Outcome::NotRun),
            }),
            _ => None,
        }
    }

    /// Submits a job and waits until it is accepted.
    pub(crate) fn accept(&mut self, to: (NodeId, ShardId), id: JobId, spec: Spec) {
        let call = self.submit(to, id, spec);
        let span = Duration::from_secs(10);
        assert!(self.run_until(span, |world| world.submitted(call).is_some()));
        assert_eq!(self.submitted(call), Some(Ok(())));
    }

    /// Returns the state of a job as the node that has it sees it.
    pub(crate) fn state(&self, id: JobId) -> Option<State> {
        for node in self.nodes() {
            let Some(node) = self.node(node) else {
                continue;
            };
            for shard in node.active_shards(self.now) {
                let view = node.engine(shard).and_then(|engine| engine.job(id));
                if let Some(view) = view {
                    return Some(view.state);
                }
            }
        }
        None
    }

    pub(crate) fn has_succeeded(&self, id: JobId) -> bool {
        self.state(id) == Some(State::Ended(Outcome::Succeeded))
    }

    /// Asks every node for a job; returns its state in the callers' words.
    pub(crate) fn look(&mut self, id: JobId) -> Option<job::State> {
        let wait = Duration::ZERO;
        let call = wire::Call::Job(wire::job::Request { id, wait });
        let up: Vec<NodeId> = self.nodes();
        let up = up.into_iter().filter(|node| self.is_up(*node));
        let up: Vec<NodeId> = up.collect();
        let calls: Vec<CallId> = up.iter().map(|n| self.call(*n, call.clone())).collect();
        self.run(Duration::from_millis(100));
        calls
            .into_iter()
            .find_map(|call| match self.answers.get(&call)? {
                wire::Answer::Job(wire::job::Reply::Found(json)) => {
                    let view: job::View = serde_json::from_slice(json).unwrap();
                    Some(view.state)
                }
                _ => None,
            })
    }

    /// Panics if something happened that must not.
    pub(crate) fn check(&self) {
        assert_eq!(self.seen.violations, Vec::<String>::new());
        for id in self.nodes() {
            let Some(node) = self.node(id) else {
                continue;
            };
            for shard in node.active_shards(self.now) {
                let audit = node.engine(shard).map(|engine| engine.audit());
                assert_eq!(audit, Some(Ok(())), "{id} {shard}");
            }
        }
    }
}
