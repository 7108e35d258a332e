//! The call that reports how a non-idempotent request ended.

use fulmarpier_coordination::request::{
    Answer,
    Key,
    Ticket, //
};
use fulmarpier_state::{
    id::ShardId,
    refusal::Outcome, //
};

use super::{
    Error,
    scalar,
    sched_capnp::{
        finish_request,
        sched::{
            finish_params,
            finish_results, //
        }, //
    }, //
};

/// How a granted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's idempotency key.
    pub key: Key,
    /// The home shard of the key.
    pub shard: ShardId,
    /// The ticket of the grant.
    pub ticket: Ticket,
    /// What is known; [`Outcome::NotRun`] only where nothing was sent.
    pub outcome: Outcome,
    /// The whole answer, where there is one that is small enough to be kept.
    pub answer: Option<Answer>,
}

/// Whether the sched knew the ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Whether the end was recorded against a known ticket.
    pub known: bool,
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, params: finish_params::Builder<'_>) {
        let mut builder = params.init_request();
        builder.set_key(self.key.as_str());
        builder.set_shard(self.shard.0);
        builder.set_ticket(self.ticket.0);
        builder.set_outcome(scalar::write_outcome(self.outcome));
        if let Some(answer) = &self.answer {
            builder.set_kept(true);
            builder.set_status(answer.status);
            builder.set_body(&answer.body);
            builder.set_content_type(answer.content_type.as_str());
        }
    }
}

impl TryFrom<finish_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: finish_params::Reader<'_>) -> Result<Self, Self::Error> {
        let reader = reader.get_request()?;
        let answer = match reader.get_kept() {
            true => Some(read_answer(reader)?),
            false => None,
        };
        Ok(Self {
            key: scalar::read_key(reader.get_key()?)?,
            shard: ShardId(reader.get_shard()),
            ticket: Ticket(reader.get_ticket()),
            outcome: scalar::read_outcome(reader.get_outcome()?),
            answer,
        })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, mut results: finish_results::Builder<'_>) {
        results.set_known(self.known);
    }
}

impl TryFrom<finish_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: finish_results::Reader<'_>) -> Result<Self, Self::Error> {
        let known = reader.get_known();
        Ok(Self { known })
    }
}

fn read_answer(reader: finish_request::Reader<'_>) -> Result<Answer, Error> {
    Ok(Answer {
        status: reader.get_status(),
        content_type: scalar::read_text("contentType", reader.get_content_type()?)?,
        body: scalar::read_data("body", reader.get_body()?)?,
    })
}
