//! Commands of operators.

use fulmarpier_protocol::{
    http::table::Table,
    problem::Problem,
    wire, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::NodeId,
    refusal::{
        Reason,
        Refusal, //
    },
};

use super::{
    CallId,
    Node, //
};

/// A command that waits for peers.
pub(super) struct Running {
    until: Timestamp,
}

impl Running {
    pub(super) const fn until(&self) -> Timestamp {
        self.until
    }
}

impl Node {
    pub(super) fn command(
        &mut self,
        id: CallId,
        _request: wire::command::Request,
        _now: Timestamp,
    ) {
        self.refuse_command(id, Refusal::new(Reason::Command, "not yet"));
    }

    pub(super) fn forwarded(
        &mut self,
        _number: u64,
        _node: NodeId,
        _reply: Option<wire::command::Reply>,
        _now: Timestamp,
    ) {
    }

    pub(super) fn expire_commands(&mut self, _now: Timestamp) {}

    pub(super) fn answer_table(&mut self, id: CallId, table: &Table) {
        let json = serde_json::to_vec(table).unwrap_or_default();
        let reply = wire::command::Reply {
            status: 200,
            json: json.into(),
        };
        self.answer(id, wire::Answer::Command(reply));
    }

    pub(super) fn refuse_command(&mut self, id: CallId, refusal: Refusal) {
        let refusal = self.out.refuse(refusal);
        let reply = wire::command::Reply {
            status: refusal.reason.status(),
            json: Problem::from(&refusal).to_json().into(),
        };
        self.answer(id, wire::Answer::Command(reply));
    }
}
