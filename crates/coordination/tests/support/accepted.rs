//! The record of an accepted job.

use std::sync::Arc;

use fulmarpier_coordination::journal::Record;
use fulmarpier_state::{
    clock::Timestamp,
    id::JobId, //
};

use crate::job::spec;

/// The record of a job whose id is `number`.
pub(crate) fn accepted(number: u64, at: Timestamp) -> Record {
    Record::Accepted {
        job: JobId::from_u128(u128::from(number)),
        spec: Arc::new(spec(1, true)),
        at,
    }
}
