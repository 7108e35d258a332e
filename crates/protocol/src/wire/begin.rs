//! The call that asks for leave to send a non-idempotent request, once.

use fulmarpier_coordination::request::{
    Answer,
    Digest,
    Key,
    Ticket, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        NodeId,
        ShardId, //
    },
    name::{
        Service,
        Team, //
    },
    refusal::Refusal,
};

use super::{
    Error,
    refusal,
    scalar,
    sched_capnp::{
        begin_reply,
        sched::{
            begin_params,
            begin_results, //
        }, //
    }, //
};

/// A non-idempotent request that is about to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's idempotency key.
    pub key: Key,
    /// The service that the request is for.
    pub service: Service,
    /// The team on whose account it runs.
    pub team: Team,
    /// What the request is, so that a reused key is found out.
    pub digest: Digest,
    /// When the request is of no more use.
    pub deadline: Timestamp,
    /// Names the one flow at the gate that serves the request, drawn at random.
    pub nonce: u64,
    /// The gate that is to send it.
    pub gate: NodeId,
    /// The home shard of the key.
    pub shard: ShardId,
}

/// Whether the request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The intent is in the log; send now, once, in a slot of the gate's own.
    Grant {
        /// What names this grant when it is finished.
        ticket: Ticket,
    },
    /// It ran before; this is its answer.
    Replay(Answer),
    /// It may not be sent.
    Refused(Refusal),
    /// This sched does not own the shard; the node that does, as far as it knows.
    Elsewhere(NodeId),
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, params: begin_params::Builder<'_>) {
        let mut builder = params.init_request();
        builder.set_key(self.key.as_str());
        builder.set_service(self.service.as_str());
        builder.set_team(self.team.as_str());
        builder.set_digest(&self.digest.0);
        builder.set_deadline_micros(self.deadline.as_micros());
        builder.set_gate(self.gate.0);
        builder.set_nonce(self.nonce);
        builder.set_shard(self.shard.0);
    }
}

impl TryFrom<begin_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: begin_params::Reader<'_>) -> Result<Self, Self::Error> {
        let reader = reader.get_request()?;
        let digest = reader.get_digest()?;
        let len = digest.len();
        let digest = digest.try_into().map_err(|_| Error::Digest { len })?;
        Ok(Self {
            key: scalar::read_key(reader.get_key()?)?,
            service: scalar::read_name("service", reader.get_service()?)?,
            team: scalar::read_name("team", reader.get_team()?)?,
            digest: Digest(digest),
            deadline: Timestamp::from_micros(reader.get_deadline_micros()),
            nonce: reader.get_nonce(),
            gate: NodeId(reader.get_gate()),
            shard: ShardId(reader.get_shard()),
        })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, results: begin_results::Builder<'_>) {
        let mut builder = results.init_reply();
        match self {
            Self::Grant { ticket } => builder.set_grant(ticket.0),
            Self::Replay(answer) => write_replay(answer, builder.init_replay()),
            Self::Refused(why) => refusal::write(why, builder.init_refused()),
            Self::Elsewhere(node) => builder.set_elsewhere(node.0),
        }
    }
}

impl TryFrom<begin_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: begin_results::Reader<'_>) -> Result<Self, Self::Error> {
        match reader.get_reply()?.which()? {
            begin_reply::Grant(ticket) => Ok(Self::Grant {
                ticket: Ticket(ticket),
            }),
            begin_reply::Replay(replay) => read_replay(replay),
            begin_reply::Refused(why) => Ok(Self::Refused(refusal::read(why?)?)),
            begin_reply::Elsewhere(node) => Ok(Self::Elsewhere(NodeId(node))),
        }
    }
}

fn read_replay(reader: begin_reply::replay::Reader<'_>) -> Result<Reply, Error> {
    Ok(Reply::Replay(Answer {
        status: reader.get_status(),
        content_type: scalar::read_text("contentType", reader.get_content_type()?)?,
        body: scalar::read_data("body", reader.get_body()?)?,
    }))
}

fn write_replay(answer: &Answer, mut builder: begin_reply::replay::Builder<'_>) {
    builder.set_status(answer.status);
    builder.set_content_type(answer.content_type.as_str());
    builder.set_body(&answer.body);
}
