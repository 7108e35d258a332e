//! The call that reports how a non-idempotent request ended.

use bytes::Bytes;
use fulmarpier_state::{
    id::ShardId,
    refusal::Outcome, //
};

use super::{
    Error, scalar,
    sched_capnp::sched::{
        finish_params,
        finish_results, //
    },
};
use crate::key::Key;

/// How a granted request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's idempotency key.
    pub key: Key,
    /// The home shard of the key.
    pub shard: ShardId,
    /// The ticket of the grant.
    pub ticket: u64,
    /// What is known; [`Outcome::NotRun`] only where nothing was sent.
    pub outcome: Outcome,
    /// The HTTP status of the answer; zero where there was none.
    pub status: u16,
    /// The body of the answer, where it is small enough to be kept; else empty.
    pub body: Bytes,
    /// The `Content-Type` of the answer; empty where it had none.
    pub content_type: String,
    /// Whether the body holds the whole answer.
    pub kept: bool,
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
        builder.set_ticket(self.ticket);
        builder.set_outcome(scalar::write_outcome(self.outcome));
        builder.set_status(self.status);
        builder.set_body(&self.body);
        builder.set_content_type(self.content_type.as_str());
        builder.set_kept(self.kept);
    }
}

impl TryFrom<finish_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: finish_params::Reader<'_>) -> Result<Self, Self::Error> {
        let reader = reader.get_request()?;
        Ok(Self {
            key: scalar::read_key(reader.get_key()?)?,
            shard: ShardId(reader.get_shard()),
            ticket: reader.get_ticket(),
            outcome: scalar::read_outcome(reader.get_outcome()?),
            status: reader.get_status(),
            body: scalar::read_data("body", reader.get_body()?)?,
            content_type: scalar::read_text("contentType", reader.get_content_type()?)?,
            kept: reader.get_kept(),
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
