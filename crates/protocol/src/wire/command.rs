//! The call that runs one line of the operators' language.

use bytes::Bytes;

use super::{
    Error,
    scalar,
    sched_capnp::sched::{
        command_params,
        command_results, //
    }, //
};

/// One line of the operators' language.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The name of the operator, as the gate's settings have it.
    pub operator: String,
    /// The line.
    pub text: String,
    /// Whether to say only what it would do.
    pub dry_run: bool,
    /// The token of an earlier dry run; empty where there is none.
    pub confirm: String,
    /// Keeps the sched from asking its peers.
    pub local: bool,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status that goes with the answer.
    pub status: u16,
    /// A [`crate::http::table::Table`] or a [`crate::problem::Problem`] as a JSON document.
    pub json: Bytes,
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, mut params: command_params::Builder<'_>) {
        params.set_operator(self.operator.as_str());
        params.set_text(self.text.as_str());
        params.set_dry_run(self.dry_run);
        params.set_confirm(self.confirm.as_str());
        params.set_local(self.local);
    }
}

impl TryFrom<command_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: command_params::Reader<'_>) -> Result<Self, Self::Error> {
        Ok(Self {
            operator: scalar::read_text("operator", reader.get_operator()?)?,
            text: scalar::read_text("text", reader.get_text()?)?,
            dry_run: reader.get_dry_run(),
            confirm: scalar::read_text("confirm", reader.get_confirm()?)?,
            local: reader.get_local(),
        })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, mut results: command_results::Builder<'_>) {
        results.set_status(self.status);
        results.set_json(&self.json);
    }
}

impl TryFrom<command_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: command_results::Reader<'_>) -> Result<Self, Self::Error> {
        Ok(Self {
            status: reader.get_status(),
            json: scalar::read_data("json", reader.get_json()?)?,
        })
    }
}
