//! The records of jobs and cancellations in the jobs topic.

use fulmarpier_cell::{
    id::JobId,
    record::{
        self,
        Accepted,
        Cancellation,
        Cancelled, //
    },
    workspace::WorkspaceName,
};

use crate::platform::{
    Fault,
    Record, //
};

/// The suffix after the job id in the key of a cancellation whose job was known to the owner.
///
/// The two kinds of cancellation have different keys, so that a repeated cancellation that finds the job unknown
/// doesn't replace one that found the job.
const KNOWN_JOB_SUFFIX: &str = "/x";
/// The suffix after the job id in the key of a cancellation whose job was unknown.
const UNKNOWN_JOB_SUFFIX: &str = "/u";
/// The separator before the workspace in a key. With the workspace in the key, records of one workspace never replace
/// those of another, even under the same job id.
const WORKSPACE_SEPARATOR: char = '@';
/// The length of a job id in a key, in bytes.
const JOB_ID_LENGTH: usize = 16;
/// The value of a cancellation record.
const CANCELLATION_VALUE: [u8; 1] = [1];

/// The key of a record in the jobs topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Key {
    job: JobId,
    /// The kind of the cancellation; `None` for an acceptance.
    cancellation: Option<Cancellation>,
    workspace: Option<WorkspaceName>,
}

impl Key {
    /// Returns the key of the acceptance record of a job.
    pub(crate) const fn acceptance(job: JobId, workspace: Option<WorkspaceName>) -> Self {
        Self {
            job,
            cancellation: None,
            workspace,
        }
    }

    /// Parses a key; returns `None` if it wasn't written by this program.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let (job, rest) = text.split_at_checked(JOB_ID_LENGTH)?;
        let (kind, workspace) = match rest.split_once(WORKSPACE_SEPARATOR) {
            Some((kind, workspace)) => (kind, Some(workspace.parse().ok()?)),
            None => (rest, None),
        };
        let cancellation = match kind {
            "" => None,
            KNOWN_JOB_SUFFIX => Some(Cancellation::KnownJob),
            UNKNOWN_JOB_SUFFIX => Some(Cancellation::UnknownJob),
            _ => return None,
        };
        Some(Self {
            job: job.parse().ok()?,
            cancellation,
            workspace,
        })
    }

    /// Returns the job id if the key is one of an acceptance.
    pub(crate) fn accepted_job(text: &str) -> Option<JobId> {
        let key = Self::parse(text)?;
        key.cancellation.is_none().then_some(key.job)
    }
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.cancellation {
            None => "",
            Some(Cancellation::KnownJob) => KNOWN_JOB_SUFFIX,
            Some(Cancellation::UnknownJob) => UNKNOWN_JOB_SUFFIX,
        };
        write!(f, "{}{kind}", self.job)?;
        match &self.workspace {
            Some(workspace) => write!(f, "{WORKSPACE_SEPARATOR}{workspace}"),
            None => Ok(()),
        }
    }
}

/// Returns the record of a cancellation.
pub(crate) fn cancellation_record(cancelled: &Cancelled) -> Record {
    let key = Key {
        job: cancelled.job,
        cancellation: Some(cancelled.cancellation),
        workspace: cancelled.workspace.clone(),
    };
    Record {
        key: key.to_string(),
        value: Some(CANCELLATION_VALUE.to_vec().into()),
    }
}

/// A decoded record of the jobs topic.
pub(crate) enum JobRecord {
    /// A job was accepted.
    Accepted(Box<Accepted>),
    /// A job was cancelled.
    Cancelled(Cancelled),
    /// The record of a job can't be decoded: its content is unknown, but the job must not be reported as unknown.
    Unreadable(JobId),
}

impl JobRecord {
    /// Returns whether a key was written by this program.
    pub(crate) fn is_key(key: &str) -> bool {
        Key::parse(key).is_some()
    }

    /// Decodes a record of a partition; returns `None` if the record removes its key.
    ///
    /// # Errors
    ///
    /// Fails if the record wasn't written by this program: a record of another writer must not cancel a job.
    pub(crate) fn read(record: &Record, partition: u16) -> Result<Option<Self>, Fault> {
        let Some(value) = &record.value else {
            return Ok(None);
        };
        let key = Key::parse(&record.key).ok_or(Fault::Key);
        if let Ok(Key {
            job,
            cancellation: Some(cancellation),
            workspace,
        }) = key
        {
            let cancelled = Cancelled {
                job,
                workspace,
                cancellation,
            };
            let is_valid = **value == CANCELLATION_VALUE;
            let cancelled = is_valid.then_some(Self::Cancelled(cancelled));
            return cancelled.ok_or(Fault::Structure).map(Some);
        }
        let accepted: Accepted = record::decode(value).map_err(|_| Fault::Structure)?;
        if Ok(Key::acceptance(
            accepted.job,
            accepted.workspace_name().cloned(),
        )) != key
        {
            return Err(Fault::Id);
        }
        if !accepted.is_valid() {
            return Err(Fault::Structure);
        }
        Ok(Some(Self::Accepted(Box::new(Accepted {
            // If the store refused the node's own partition, the record is in a different one than it names.
            partition,
            ..accepted
        }))))
    }
}
