//! How jobs and cancellations stand on record.

use fulmarpier_cell::{
    id::JobId,
    record::{
        self,
        Accepted,
        Cancellation, //
    },
};

use crate::port::Record;

/// What the key of a cancellation has behind the job.
const CANCELLATION: &str = "/x";

/// Returns the record that keeps a cancellation.
///
/// # Errors
///
/// Fails where it can't be encoded.
pub(crate) fn cancellation(
    job: JobId,
    cancellation: Cancellation,
) -> Result<Record, record::Error> {
    Ok(Record {
        key: format!("{job}{CANCELLATION}"),
        value: Some(record::encode(&cancellation)?.into()),
    })
}

/// Reads a record of the jobs' topic.
pub(crate) enum JobRecord {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A job was cancelled.
    Cancelled(JobId, Cancellation),
}

impl JobRecord {
    /// Reads a record out of a partition; `None` where it is a removal, or none of this program's.
    pub(crate) fn read(record: &Record, partition: u16) -> Option<Self> {
        let value = record.value.as_ref()?;
        if let Some(job) = record.key.strip_suffix(CANCELLATION) {
            // Whatever its value says, the job must not start.
            let cancellation = record::decode(value).unwrap_or(Cancellation::Unseen);
            return Some(Self::Cancelled(job.parse().ok()?, cancellation));
        }
        let accepted: Accepted = record::decode(value).ok()?;
        Some(Self::Accepted(Box::new(Accepted {
            // Its node's own partition may have refused it.
            partition,
            ..accepted
        })))
    }
}
