//! How jobs and cancellations stand on record.

use fulmarpier_cell::{
    id::JobId,
    record::{
        self,
        Accepted, //
    },
};

use crate::port::Record;

/// Returns the key that a cancellation is kept under.
pub(crate) fn cancellation_key(job: JobId) -> String {
    format!("{job}/x")
}

/// Reads a record of the jobs' topic.
pub(crate) enum JobRecord {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A job was cancelled.
    Cancelled(JobId),
}

impl JobRecord {
    /// Reads a record; `None` where it is none of this program's.
    pub(crate) fn read(record: &Record) -> Option<Self> {
        if let Some(job) = record.key.strip_suffix("/x") {
            return job.parse().ok().map(Self::Cancelled);
        }
        let value = record.value.as_ref()?;
        let accepted = record::decode(value).ok()?;
        Some(Self::Accepted(Box::new(accepted)))
    }
}
