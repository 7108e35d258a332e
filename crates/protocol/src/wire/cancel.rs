//! The call that cancels a job.

use fulmarpier_state::id::JobId;

use super::{
    Error,
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
    Unknown,
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
        if let Self::Found(reply) = self {
            results.set_found(true);
            reply.write_reply(results.init_reply());
        }
    }
}

impl TryFrom<cancel_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: cancel_results::Reader<'_>) -> Result<Self, Self::Error> {
        if !reader.get_found() {
            return Ok(Self::Unknown);
        }
        Ok(Self::Found(submit::Reply::read_reply(reader.get_reply()?)?))
    }
}
