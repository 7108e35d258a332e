//! What outlasts a node, each under a key of its own in the platform's store.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use fulmarpier_state::{
    clock::Timestamp,
    unit::Millicores, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    config::Queue,
    id::{
        Epoch,
        Incarnation,
        JobId,
        NodeName,
        Run,
        TaskId,
        WorkerId, //
    },
    job::Spec,
    spread::Spread,
    workspace::{
        Workspace,
        WorkspaceName, //
    },
};

/// A record can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Its bytes are none of such a record.
    #[error("a record can't be decoded")]
    Bytes(#[from] postcard::Error),
    /// There is more than such a record.
    #[error("a record is longer than it should be")]
    Longer,
}

/// A job that was accepted; kept before its caller is told so.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: JobId,
    /// Its queue as it was then; jobs outlive queues that are removed.
    pub queue: Arc<Queue>,
    /// Its workspace as it was then, where it belongs to one; jobs outlive workspaces that are removed.
    pub workspace: Option<Arc<Workspace>>,
    /// What it runs.
    pub spec: Arc<Spec>,
    /// When the node that took it received it; orders jobs, and nothing more.
    pub received: Timestamp,
    /// Which partition of the jobs' records this one stands in.
    pub partition: u16,
}

/// A job's cancellation; it holds for an acceptance under its id whenever that turns up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cancellation {
    /// Nobody knew the job, so it may never have been handed in, and is not shown by this alone.
    Unseen,
    /// The job is or was on record.
    Seen,
}

/// A cancellation as it stands on record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The job.
    pub job: JobId,
    /// The workspace of who cancelled it. That of another workspace has no effect on the job, whenever that turns up.
    pub workspace: Option<WorkspaceName>,
    /// Whether the job was known.
    pub cancellation: Cancellation,
}

impl Accepted {
    /// Returns the name of its workspace, where it belongs to one.
    pub fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }
}

/// How a job came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or a gang has used its tries.
    Failed,
}

/// The runs of a task that have failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// The task.
    pub index: u16,
    /// The runs. A worker goes on telling of an end until it is acknowledged, so a new owner hears
    /// of some of these again, and of others only when a silent worker comes back.
    pub runs: Vec<Run>,
}

/// A worker that went down, or may have, when it had just started a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Which start of the task. A member of a gang may be started again under one number, so that alone doesn't
    /// tell two crashes apart.
    pub run: Run,
    /// The worker.
    pub worker: WorkerId,
    /// Which incarnation of it: only that one takes the crash back by answering again.
    pub incarnation: Option<Incarnation>,
    /// Whether it is certain that the task was there: the worker had confirmed it, and broke its connections at once.
    pub is_certain: bool,
    /// Whether the worker may only be cut off: it is silent, but listed.
    pub is_doubted: bool,
}

impl Crash {
    /// Returns whether another one tells of the same start.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.run, &self.worker, self.incarnation) == (other.run, &other.worker, other.incarnation)
    }
}

/// The workers that went down under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The task.
    pub index: u16,
    /// The workers, in the order in which that was learnt.
    pub crashes: Vec<Crash>,
}

/// What is done of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// One bit for each task that is done.
    pub done: Vec<u8>,
    /// Which tasks have failed; for a gang under index zero.
    pub failures: Vec<Failures>,
    /// Under which tasks workers went down.
    pub crashes: Vec<Crashes>,
}

impl StepProgress {
    /// Returns whether a task is done.
    pub fn is_done(&self, index: u16) -> bool {
        let byte = self.done.get(usize::from(index / 8)).copied();
        byte.unwrap_or(0) & (1 << (index % 8)) != 0
    }

    /// Marks a task as done.
    pub fn set_done(&mut self, index: u16) {
        let place = usize::from(index / 8);
        if self.done.len() <= place {
            self.done.resize(place + 1, 0);
        }
        self.done[place] |= 1 << (index % 8);
    }
}

/// How far a job has come; kept before a worker may forget an end and before a caller sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The steps of each occurrence that has begun.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
    /// How it ended, once it has.
    pub outcome: Option<Outcome>,
    /// The workspace that the job belongs to; this outlives its acceptance.
    pub workspace: Option<WorkspaceName>,
}

impl Progress {
    /// Returns whether it tells of a task that has begun; a worker may go down before an order reaches it.
    pub fn has_begun(&self) -> bool {
        let mut steps = self.occurrences.iter().flat_map(|(_, steps)| steps);
        steps.any(|step| !step.done.is_empty() || !step.failures.is_empty())
    }
}

/// What the owner keeps: each variant under its own key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// How far a job has come.
    Job(JobId, Progress),
    /// What a worker may run; kept before an order to start leaves.
    ///
    /// A new owner has to hear from the worker, or wait until its leases have lapsed, before it
    /// starts one of these elsewhere.
    Worker(WorkerId, Usage),
    /// A worker that is gone for good.
    Gone(WorkerId),
}

/// What a worker may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Where the worker takes orders.
    pub address: SocketAddr,
    /// Which incarnation of it was heard last.
    pub incarnation: Option<Incarnation>,
    /// The runs.
    pub runs: Vec<(TaskId, Run)>,
}

impl Entry {
    /// Returns the key that it is kept under.
    pub fn key(&self) -> String {
        match self {
            Self::Job(job, _) => job.to_string(),
            Self::Worker(worker, _) | Self::Gone(worker) => format!("w/{worker}"),
        }
    }

    /// Returns whether the key is to be removed.
    pub const fn is_removal(&self) -> bool {
        matches!(self, Self::Gone(_))
    }
}

/// Who owns the cell; a later claim names the one that it replaces by its place in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The ordinal of the ownership.
    pub epoch: Epoch,
    /// The owner.
    pub node: NodeName,
    /// Where the owner answers the other nodes.
    pub address: SocketAddr,
    /// Tells two lives of one node apart.
    pub incarnation: u64,
    /// Rises with each renewal.
    pub renewal: u32,
    /// The owner has given the cell up; anyone may claim it at once.
    pub released: bool,
    /// How strong the owner is among the nodes.
    pub strength: Millicores,
    /// Over how many partitions the nodes spread jobs.
    pub spread: Spread,
    /// How many nodes the owner knew, itself included.
    pub nodes: u32,
    /// How often in a row owners have let go of the cell since they were slow.
    pub slow_owners: u8,
}

/// Encodes a record.
///
/// # Errors
///
/// Fails only where a collection is too large to be counted.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(record)?)
}

/// Decodes a record.
///
/// # Errors
///
/// Fails where the bytes are not such a record, or more than one.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let (record, rest) = postcard::take_from_bytes(bytes)?;
    rest.is_empty().then_some(record).ok_or(Error::Longer)
}
