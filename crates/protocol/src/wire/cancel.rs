//! The call that cancels a job.

use fulmarpier_state::id::{
    JobId,
    ShardId, //
};

use super::{
    Error,
    bound,
    scalar,
    sched_capnp::sched::{
        cancel_params,
        cancel_results, //
    },
    submit, //
};

/// A job to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The job.
    pub id: JobId,
}

/// What became of the cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job is known here, and this became of the cancellation.
    Found(submit::Reply),
    /// The sched does not know the job.
    Unknown {
        /// The shards for which that can be told; others may be on their way to a new owner.
        settled: Vec<ShardId>,
    },
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, params: cancel_params::Builder<'_>) {
        scalar::write_job_id(self.id, params.init_id());
    }
}

impl TryFrom<cancel_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: cancel_params::Reader<'_>) -> Result<Self, Self::Error> {
        let id = scalar::read_job_id(reader.get_id()?);
        Ok(Self { id })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, mut results: cancel_results::Builder<'_>) {
        match self {
            Self::Found(reply) => {
                results.set_found(true);
                reply.write_reply(results.init_reply());
            }
            Self::Unknown { settled } => {
                let list = results.init_settled(bound::count(settled.len()));
                scalar::write_shards(settled, list);
            }
        }
    }
}

impl TryFrom<cancel_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: cancel_results::Reader<'_>) -> Result<Self, Self::Error> {
        if !reader.get_found() {
            let settled = scalar::read_shards("settled", reader.get_settled()?)?;
            return Ok(Self::Unknown { settled });
        }
        Ok(Self::Found(submit::Reply::read_reply(reader.get_reply()?)?))
    }
}
