//! How jobs and cancellations stand on record.

use fulmarpier_cell::{
    id::JobId,
    record::{
        self,
        Accepted, //
    },
};

use crate::{
    port::{
        Fault,
        Record, //
    },
    recall::Own,
};

/// What stands under the key of a cancellation.
pub(crate) const CANCELLED: [u8; 1] = [1];

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
    /// Which records of the jobs' topic are this program's.
    pub(crate) const OWN: Own<'static> = Own {
        key: |key| {
            key.strip_suffix("/x")
                .unwrap_or(key)
                .parse::<JobId>()
                .is_ok()
        },
        record: &|record| Self::read(record).map(drop),
    };

    /// Reads a record; `None` where its key is removed.
    ///
    /// # Errors
    ///
    /// Fails where it is none of this program's: another writer's word cancels no job.
    pub(crate) fn read(record: &Record) -> Result<Option<Self>, Fault> {
        let Some(value) = &record.value else {
            return Ok(None);
        };
        if let Some(job) = record.key.strip_suffix("/x") {
            let job = job.parse().map_err(|_| Fault::Key)?;
            let is_own = **value == CANCELLED;
            let cancelled = is_own.then_some(Self::Cancelled(job));
            return cancelled.ok_or(Fault::Form).map(Some);
        }
        let accepted: Accepted = record::decode(value).map_err(|_| Fault::Form)?;
        if accepted.job.to_string() != record.key {
            return Err(Fault::Id);
        }
        Ok(Some(Self::Accepted(Box::new(accepted))))
    }
}
