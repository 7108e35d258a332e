//! Small jobs and their records.

use std::sync::Arc;

use fulmarpier_coordination::journal::Record;
use fulmarpier_state::{
    clock::Timestamp,
    id::JobId,
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

/// A small batch job.
pub(crate) fn spec(tasks: u32, idempotent: bool) -> Spec {
    Spec {
        team: "manifest".parse().expect("a name"),
        kind: Kind::Batch,
        size: Resources::new(Millicores(500), Bytes(1 << 20), 0),
        tasks,
        priority: Priority::Normal,
        runtime: None,
        deadline: None,
        idempotent,
        checkpoint: false,
        spread: Spread::Any,
        payload: Payload {
            program: "build".to_owned(),
            args: Vec::new(),
        },
    }
}

/// The record of a job whose id is `number`.
pub(crate) fn accepted(number: u64, at: Timestamp) -> Record {
    Record::Accepted {
        job: JobId::from_u128(u128::from(number)),
        spec: Arc::new(spec(1, true)),
        at,
    }
}
