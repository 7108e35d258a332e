//! All calls and all answers, for channels between a connection and its handler.

use super::{
    begin,
    cancel,
    command,
    finish,
    job,
    peer,
    submit,
    sync, //
};

/// A call to a sched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Exchange demand, slots, load and configuration.
    Sync(sync::Request),
    /// Submit a job.
    Submit(submit::Request),
    /// Ask for leave to send a non-idempotent request.
    Begin(begin::Request),
    /// Report how a non-idempotent request ended.
    Finish(finish::Request),
    /// Run a line of the operators' language.
    Command(command::Request),
    /// Ask for a job.
    Job(job::Request),
    /// Cancel a job.
    Cancel(cancel::Request),
    /// Carry a message between scheds.
    Peer(peer::Request),
}

impl Call {
    /// Returns the bare word for the call, for logs and counters.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Sync(_) => "sync",
            Self::Submit(_) => "submit",
            Self::Begin(_) => "begin",
            Self::Finish(_) => "finish",
            Self::Command(_) => "command",
            Self::Job(_) => "job",
            Self::Cancel(_) => "cancel",
            Self::Peer(_) => "peer",
        }
    }
}

/// The answer to the [`Call`] of the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer to a sync.
    Sync(sync::Reply),
    /// The answer to a submission.
    Submit(submit::Reply),
    /// Whether the request may be sent.
    Begin(begin::Reply),
    /// Whether the end was recorded.
    Finish(finish::Reply),
    /// The answer to a command.
    Command(command::Reply),
    /// What is known of a job.
    Job(job::Reply),
    /// What became of a cancellation.
    Cancel(cancel::Reply),
    /// The answer of the other sched.
    Peer(peer::Reply),
}
