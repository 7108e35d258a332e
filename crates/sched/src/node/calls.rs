//! Calls from gates and from peers.

use fulmarpier_coordination::{
    config,
    credit,
    peer,
    platform::target, //
};
use fulmarpier_protocol::wire;
use fulmarpier_state::{
    alias::HashSet,
    clock::Timestamp,
    id::{
        JobId,
        NodeId,
        Offset,
        ShardId, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
    unit::Bytes, //
};

use super::{
    CallId,
    Node,
    core::Shard, //
};
use crate::shard::Live;

/// When to come back to a shard that has no owner at the moment.
const RETRY: std::time::Duration = std::time::Duration::from_secs(1);

impl Node {
    pub(super) fn call(&mut self, id: CallId, call: wire::Call, now: Timestamp) {
        match call {
            wire::Call::Sync(request) => self.sync(id, &request, now),
            wire::Call::Submit(request) => self.submit(id, request, now),
            wire::Call::Begin(request) => self.begin(id, &request, now),
            wire::Call::Finish(request) => self.finish(id, &request, now),
            wire::Call::Command(request) => self.command(id, request, now),
            wire::Call::Job(request) => self.look(id, &request, now),
            wire::Call::Cancel(request) => self.cancel(id, request.id, now),
            wire::Call::Peer(request) => self.peer(id, &request, now),
        }
    }

    fn sync(&mut self, id: CallId, request: &wire::sync::Request, now: Timestamp) {
        self.gates.report(
            config::Report {
                node: request.gate,
                incarnation: request.incarnation,
                version: config::Version::from_raw(request.config_version.0),
            },
            now,
        );
        let statement = statement(request);
        let owned: HashSet<target::Id> = self
            .lives()
            .filter(|live| live.is_owner(now))
            .flat_map(Live::targets)
            .collect();
        // A statement out of order gets no slots; its gate drops the answer.
        let owned = |target| owned.contains(&target);
        let grants = match self.credits.sync(&statement, &owned, now) {
            Ok(reply) => reply.grants.into_iter().map(grant).collect(),
            Err(_) => Vec::new(),
        };
        let version = self.register.version();
        let newer = version.get() > request.config_version.0;
        let config = match newer {
            true => serde_json::to_vec(self.register.document().as_ref()).ok(),
            false => None,
        };
        let reply = wire::sync::Reply {
            node: self.holder.node,
            incarnation: self.holder.incarnation,
            shards: self
                .lives()
                .filter(|live| live.is_placing(now))
                .map(shard)
                .collect(),
            grants,
            config_version: Offset(version.get()),
            config: config.map(Into::into),
            draining: self.draining,
            sequence: request.sequence,
        };
        self.answer(id, wire::Answer::Sync(reply));
    }

    fn submit(&mut self, id: CallId, request: wire::submit::Request, now: Timestamp) {
        let wire::submit::Request {
            shard,
            id: job,
            spec,
        } = request;
        if self.holds(shard) {
            self.with_live(shard, now, |live, scope| {
                live.submit(id, job, spec, scope);
            });
            return;
        }
        let reply = match self.elsewhere(shard) {
            Ok(node) => wire::submit::Reply::Elsewhere(node),
            Err(refusal) => wire::submit::Reply::Refused(self.out.refuse(refusal)),
        };
        self.answer(id, wire::Answer::Submit(reply));
    }

    fn begin(&mut self, id: CallId, request: &wire::begin::Request, now: Timestamp) {
        let shard = request.shard;
        if self.holds(shard) {
            self.with_live(shard, now, |live, scope| live.begin(id, request, scope));
            return;
        }
        let reply = match self.elsewhere(shard) {
            Ok(node) => wire::begin::Reply::Elsewhere(node),
            Err(refusal) => wire::begin::Reply::Refused(self.out.refuse(refusal)),
        };
        self.answer(id, wire::Answer::Begin(reply));
    }

    fn finish(&mut self, id: CallId, request: &wire::finish::Request, now: Timestamp) {
        let done = self.with_live(request.shard, now, |live, scope| {
            live.finish(id, request, scope);
        });
        if done.is_none() {
            let reply = wire::finish::Reply { known: false };
            self.answer(id, wire::Answer::Finish(reply));
        }
    }

    fn look(&mut self, id: CallId, request: &wire::job::Request, now: Timestamp) {
        let Some(shard) = self.shard_with(request.id) else {
            let settled = self.settled();
            let reply = wire::job::Reply::Unknown { settled };
            return self.answer(id, wire::Answer::Job(reply));
        };
        self.with_live(shard, now, |live, scope| {
            live.look(id, request.id, request.wait, scope);
        });
    }

    fn cancel(&mut self, id: CallId, job: JobId, now: Timestamp) {
        let Some(shard) = self.shard_with(job) else {
            let settled = self.settled();
            let reply = wire::cancel::Reply::Unknown { settled };
            return self.answer(id, wire::Answer::Cancel(reply));
        };
        self.with_live(shard, now, |live, scope| live.cancel(id, job, scope));
    }

    fn peer(&mut self, id: CallId, request: &wire::peer::Request, now: Timestamp) {
        let answer = match peer::Message::decode(&request.message) {
            Ok(message) => self.peer_answer(message, now),
            Err(_) => peer::Answer::Unavailable,
        };
        let reply = peer::Reply {
            from: self.holder,
            answer,
        };
        let reply = wire::peer::Reply {
            message: reply.encode(),
        };
        self.answer(id, wire::Answer::Peer(reply));
    }

    fn peer_answer(&mut self, message: peer::Message, now: Timestamp) -> peer::Answer {
        match message.question {
            peer::Question::Ownership(question) => {
                let answer = self.member.answer(&message.from, &question, now);
                peer::Answer::Ownership(answer)
            }
            peer::Question::Config { have } => self.config_for_peer(have),
            peer::Question::Hold(_) => peer::Answer::Unavailable,
            peer::Question::Part(question) => peer::Answer::Part(self.answer_parts(&question, now)),
        }
    }

    /// Returns whether a shard is at hand, so that it answers for itself.
    fn holds(&self, shard: ShardId) -> bool {
        matches!(self.shards.get(&shard), Some(Shard::Live(_)))
    }

    /// Returns the shard of this node that knows a job.
    pub(super) fn shard_with(&self, job: JobId) -> Option<ShardId> {
        self.lives()
            .find(|live| live.concerns(job))
            .map(|live| live.shard)
    }

    /// Returns the shards for which this node can tell which jobs they have.
    pub(super) fn settled(&self) -> Vec<ShardId> {
        let settled = self.lives().filter(|live| live.is_settled());
        settled.map(|live| live.shard).collect()
    }

    /// Returns who owns a shard, or why nobody can be named.
    fn elsewhere(&self, shard: ShardId) -> Result<NodeId, Refusal> {
        let owner = self.member.owner_of(shard).map(|owner| owner.holder.node);
        match owner {
            Some(node) if node != self.holder.node => Ok(node),
            _ => {
                let detail = format!("{shard} has no active owner at the moment");
                Err(Refusal::new(Reason::NoOwner, detail).retry_after(RETRY))
            }
        }
    }
}

fn statement(request: &wire::sync::Request) -> credit::Statement {
    credit::Statement {
        gate: request.gate,
        incarnation: request.incarnation,
        sequence: request.sequence,
        demands: request
            .demands
            .iter()
            .map(|demand| credit::Demand {
                service: demand.service.clone(),
                wanted: demand.wanted,
            })
            .collect(),
        holds: request
            .holds
            .iter()
            .map(|hold| credit::Hold {
                target: hold.target,
                epoch: hold.epoch,
                slots: hold.slots,
                abandoned: hold.abandoned,
            })
            .collect(),
        draining: request.draining,
    }
}

fn grant(grant: credit::Grant) -> wire::sync::Grant {
    wire::sync::Grant {
        service: grant.service,
        target: grant.target,
        slots: grant.slots,
        lease: grant.lease,
        epoch: grant.epoch,
    }
}

/// Returns a shard with a digest of its load.
fn shard(live: &Live) -> wire::sync::Shard {
    let digest = live.engine().digest();
    wire::sync::Shard {
        id: live.shard,
        epoch: live.epoch,
        free_millicores: digest.free.cpu,
        free_memory: Bytes(digest.free.memory),
        free_accelerators: u32::try_from(digest.free.accelerators).unwrap_or(u32::MAX),
        waiting_tasks: digest.waiting_tasks,
    }
}
