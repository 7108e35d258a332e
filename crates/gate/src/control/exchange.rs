//! Between the wire messages and the terms of the credit balance.

use fulmarpier_coordination::{
    config::Version,
    credit, //
};
use fulmarpier_protocol::wire::sync;
use fulmarpier_state::id::Offset;

/// Makes the message that carries a statement.
pub(super) fn request(statement: credit::Statement, version: Version) -> sync::Request {
    let demand = |demand: credit::Demand| sync::Demand {
        service: demand.service,
        wanted: demand.wanted,
    };
    let hold = |hold: credit::Hold| sync::Hold {
        target: hold.target,
        epoch: hold.epoch,
        slots: hold.slots,
        abandoned: hold.abandoned,
    };
    sync::Request {
        gate: statement.gate,
        incarnation: statement.incarnation,
        demands: statement.demands.into_iter().map(demand).collect(),
        holds: statement.holds.into_iter().map(hold).collect(),
        config_version: Offset(version.get()),
        draining: statement.draining,
        sequence: statement.sequence,
    }
}

/// Takes the grants out of a message.
pub(super) fn reply(message: &sync::Reply) -> credit::Reply {
    let grant = |grant: &sync::Grant| credit::Grant {
        service: grant.service.clone(),
        target: grant.target,
        epoch: grant.epoch,
        slots: grant.slots,
        lease: grant.lease,
    };
    credit::Reply {
        sequence: message.sequence,
        grants: message.grants.iter().map(grant).collect(),
    }
}
