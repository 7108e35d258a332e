//! The call between scheds; the coordination layer encodes what it carries.

use bytes::Bytes;

use super::{
    Error,
    scalar,
    sched_capnp::sched::{
        peer_params,
        peer_results, //
    }, //
};

/// A message of the coordination layer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The encoded message.
    pub message: Bytes,
}

/// The answer of the coordination layer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// The encoded answer.
    pub message: Bytes,
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, mut params: peer_params::Builder<'_>) {
        params.set_message(&self.message);
    }
}

impl TryFrom<peer_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: peer_params::Reader<'_>) -> Result<Self, Self::Error> {
        let message = scalar::read_data("message", reader.get_message()?)?;
        Ok(Self { message })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, mut results: peer_results::Builder<'_>) {
        results.set_reply(&self.message);
    }
}

impl TryFrom<peer_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: peer_results::Reader<'_>) -> Result<Self, Self::Error> {
        let message = scalar::read_data("reply", reader.get_reply()?)?;
        Ok(Self { message })
    }
}
