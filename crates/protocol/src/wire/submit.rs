//! The call by which a gate submits a job to the owner of a shard.

use fulmarpier_state::{
    id::{
        JobId,
        NodeId,
        ShardId, //
    },
    job::Spec,
    refusal::Refusal,
};

use super::{
    Error,
    job,
    refusal,
    sched_capnp::{
        sched::{
            submit_params,
            submit_results, //
        },
        submit_reply, //
    }, //
};

/// A job for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The shard that is to take the job.
    pub shard: ShardId,
    /// The id of the job; the same id is the same job.
    pub id: JobId,
    /// What the job is.
    pub spec: Spec,
}

/// What became of a submission or a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Its record is in the log.
    Accepted,
    /// The same job was accepted before.
    Known,
    /// It was refused.
    Refused(Refusal),
    /// This sched does not own the shard; the node that does, as far as it knows.
    Elsewhere(NodeId),
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, mut params: submit_params::Builder<'_>) {
        params.set_shard(self.shard.0);
        job::write_spec(self.id, &self.spec, params.init_job());
    }
}

impl TryFrom<submit_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: submit_params::Reader<'_>) -> Result<Self, Self::Error> {
        let (id, spec) = job::read_spec(reader.get_job()?)?;
        Ok(Self {
            shard: ShardId(reader.get_shard()),
            id,
            spec,
        })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, results: submit_results::Builder<'_>) {
        self.write_reply(results.init_reply());
    }

    pub(super) fn write_reply(&self, mut builder: submit_reply::Builder<'_>) {
        match self {
            Self::Accepted => builder.set_accepted(()),
            Self::Known => builder.set_known(()),
            Self::Refused(why) => refusal::write(why, builder.init_refused()),
            Self::Elsewhere(node) => builder.set_elsewhere(node.0),
        }
    }

    pub(super) fn read_reply(reader: submit_reply::Reader<'_>) -> Result<Self, Error> {
        Ok(match reader.which()? {
            submit_reply::Accepted(()) => Self::Accepted,
            submit_reply::Known(()) => Self::Known,
            submit_reply::Refused(why) => Self::Refused(refusal::read(why?)?),
            submit_reply::Elsewhere(node) => Self::Elsewhere(NodeId(node)),
        })
    }
}

impl TryFrom<submit_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: submit_results::Reader<'_>) -> Result<Self, Self::Error> {
        Self::read_reply(reader.get_reply()?)
    }
}

impl From<Refusal> for Reply {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
