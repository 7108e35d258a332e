//! A small job.

use fulmarpier_state::{
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
