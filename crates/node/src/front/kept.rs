//! How jobs and cancellations stand on record.

use fulmarpier_cell::{
    id::JobId,
    record::{
        self,
        Accepted,
        Cancellation, //
    },
};

use crate::port::{
    Fault,
    Record, //
};

/// What the key of a cancellation has behind the job. Each kind has a key of its own: one that comes again while
/// nobody knows the job must not take the place of one that says that it was there.
const SEEN: &str = "/x";
const UNSEEN: &str = "/u";
/// What stands under the key of a cancellation.
const CANCELLED: [u8; 1] = [1];

/// Returns the record that keeps a cancellation.
pub(crate) fn cancellation(job: JobId, cancellation: Cancellation) -> Record {
    let suffix = match cancellation {
        Cancellation::Seen => SEEN,
        Cancellation::Unseen => UNSEEN,
    };
    Record {
        key: format!("{job}{suffix}"),
        value: Some(CANCELLED.to_vec().into()),
    }
}

/// Reads the key of a cancellation; `None` where it is none.
fn read_cancellation(key: &str) -> Option<(JobId, Cancellation)> {
    let seen = key.strip_suffix(SEEN);
    let unseen = key.strip_suffix(UNSEEN);
    let (job, cancellation) = match (seen, unseen) {
        (Some(job), _) => (job, Cancellation::Seen),
        (None, Some(job)) => (job, Cancellation::Unseen),
        (None, None) => return None,
    };
    Some((job.parse().ok()?, cancellation))
}

/// Reads a record of the jobs' topic.
pub(crate) enum JobRecord {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A job was cancelled.
    Cancelled(JobId, Cancellation),
    /// A job stands there that can't be read: nobody can tell what it is, nor that there is none.
    Unreadable(JobId),
}

impl JobRecord {
    /// Returns whether records of this program stand under a key.
    pub(crate) fn is_key(key: &str) -> bool {
        read_cancellation(key).is_some() || key.parse::<JobId>().is_ok()
    }

    /// Reads a record out of a partition; `None` where its key is removed.
    ///
    /// # Errors
    ///
    /// Fails where it is none of this program's: another writer's word cancels no job.
    pub(crate) fn read(record: &Record, partition: u16) -> Result<Option<Self>, Fault> {
        let Some(value) = &record.value else {
            return Ok(None);
        };
        if let Some((job, cancellation)) = read_cancellation(&record.key) {
            let is_own = **value == CANCELLED;
            let cancelled = is_own.then_some(Self::Cancelled(job, cancellation));
            return cancelled.ok_or(Fault::Form).map(Some);
        }
        let accepted: Accepted = record::decode(value).map_err(|_| Fault::Form)?;
        if accepted.job.to_string() != record.key {
            return Err(Fault::Id);
        }
        Ok(Some(Self::Accepted(Box::new(Accepted {
            // Its node's own partition may have refused it.
            partition,
            ..accepted
        }))))
    }
}
