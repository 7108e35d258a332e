//! One call over a live connection.

use fulmarpier_protocol::wire::{
    self,
    Answer,
    Call,
    begin,
    cancel,
    command,
    finish,
    job,
    peer,
    sched_capnp::sched,
    submit,
    sync, //
};

use super::error::Error;

/// Writes the request, sends it and reads the reply of the same name.
macro_rules! ask {
    ($request:ident, $outgoing:expr, $module:ident, $variant:ident) => {{
        let mut outgoing = $outgoing;
        $request.write(outgoing.get());
        let response = outgoing.send().promise.await?;
        let reply = response.get().map_err(malformed)?;
        let reply = $module::Reply::try_from(reply).map_err(malformed)?;
        Ok(Answer::$variant(reply))
    }};
}

/// Makes a call and waits for its answer.
pub(super) async fn exchange(sched: &sched::Client, call: &Call) -> Result<Answer, Error> {
    match call {
        Call::Sync(request) => ask!(request, sched.sync_request(), sync, Sync),
        Call::Submit(request) => ask!(request, sched.submit_request(), submit, Submit),
        Call::Begin(request) => ask!(request, sched.begin_request(), begin, Begin),
        Call::Finish(request) => ask!(request, sched.finish_request(), finish, Finish),
        Call::Command(request) => ask!(request, sched.command_request(), command, Command),
        Call::Job(request) => ask!(request, sched.job_request(), job, Job),
        Call::Cancel(request) => ask!(request, sched.cancel_request(), cancel, Cancel),
        Call::Peer(request) => ask!(request, sched.peer_request(), peer, Peer),
    }
}

fn malformed(error: impl Into<wire::Error>) -> Error {
    Error::Malformed {
        reason: error.into().to_string(),
    }
}
