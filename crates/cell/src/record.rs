//! The records that survive a node, each under its own key in the platform's store.

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
    occurrence,
    ownership::Electorate,
    spread::Spread,
    workspace::{
        Workspace,
        WorkspaceName, //
    },
};

/// The error for a record that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes can't be decoded as such a record.
    #[error("a record can't be decoded")]
    Decode(#[from] postcard::Error),
    /// Bytes follow the end of the record.
    #[error("a record has trailing bytes")]
    TrailingBytes,
}

/// A job that was accepted; stored before its caller gets an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The job.
    pub job: JobId,
    /// Its queue at the time of acceptance, since jobs outlive queues that are removed.
    pub queue: Arc<Queue>,
    /// Its workspace at the time of acceptance, if it belongs to one, since jobs outlive workspaces that are removed.
    pub workspace: Option<Arc<Workspace>>,
    /// The description of the job.
    pub spec: Arc<Spec>,
    /// When the accepting node received it; used only to order jobs.
    pub received: Timestamp,
    /// The partition of the job records that holds this one.
    pub partition: u16,
}

/// Whether a cancelled job was known. A cancellation also applies to an acceptance with its id that is found later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cancellation {
    /// No node knew the job. It may never have been submitted, so callers are not shown a job because of this alone.
    UnknownJob,
    /// The job is or was recorded.
    KnownJob,
}

/// A cancellation as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The job.
    pub job: JobId,
    /// The workspace of the caller that cancelled it. A cancellation from another workspace than the job's has no
    /// effect on the job, even if the job is found only later.
    pub workspace: Option<WorkspaceName>,
    /// Whether the job was known.
    pub cancellation: Cancellation,
}

impl Accepted {
    /// Returns the name of its workspace, if it belongs to one.
    pub fn workspace_name(&self) -> Option<&WorkspaceName> {
        self.workspace.as_ref().map(|workspace| &workspace.name)
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or a gang has failed in all of its attempts.
    Failed,
}

/// The outcomes of some jobs that are over.
///
/// Many of them take one record, so that what a takeover reads of jobs that are over is little.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// How these jobs ended.
    pub outcome: Outcome,
    /// The workspace of these jobs.
    pub workspace: Option<WorkspaceName>,
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// Names a record of outcomes. An owner writes each once and never changes it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OutcomesId {
    /// The ownership that wrote it.
    pub epoch: Epoch,
    /// Its number among those of the ownership.
    pub number: u32,
}

/// The failed runs of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures {
    /// The index of the task.
    pub index: u16,
    /// The runs. A worker reports an end until it is acknowledged, so a new owner receives some of these again, and
    /// others only when a silent worker answers again.
    pub runs: Vec<Run>,
}

/// A crash, certain or suspected, of a worker that had just started a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The run of the task. A member of a gang may be started again under the same run, so this alone does not
    /// distinguish two crashes.
    pub run: Run,
    /// The worker.
    pub worker: WorkerId,
    /// The incarnation of the worker; the crash is withdrawn only if this same incarnation answers again.
    pub incarnation: Option<Incarnation>,
    /// Whether the task certainly ran there: the worker had confirmed it, and its connections broke at once.
    pub is_certain: bool,
    /// Whether the crash is doubted, since the worker may only be cut off from the network: it is silent, but the store
    /// lists it.
    pub may_be_cut_off: bool,
}

impl Crash {
    /// Returns whether another crash is of the same start.
    pub fn is_same_start(&self, other: &Self) -> bool {
        (self.run, &self.worker, self.incarnation) == (other.run, &other.worker, other.incarnation)
    }
}

/// The crashes of workers that had just started a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The index of the task.
    pub index: u16,
    /// The crashes, in the order in which the owner learnt of them.
    pub crashes: Vec<Crash>,
}

/// The progress of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepProgress {
    /// A bit for each task, set when the task is done.
    pub done: Vec<u8>,
    /// The tasks that have failed; a gang is listed under index zero.
    pub failures: Vec<Failures>,
    /// The tasks whose workers crashed at their start.
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
        let byte = usize::from(index / 8);
        if self.done.len() <= byte {
            self.done.resize(byte + 1, 0);
        }
        self.done[byte] |= 1 << (index % 8);
    }
}

/// The progress of a job with all of its occurrences that have begun.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainProgress {
    /// The steps of each occurrence that has begun.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
    /// How the job ended, once it has.
    pub outcome: Option<Outcome>,
    /// The workspace of the job.
    pub workspace: Option<WorkspaceName>,
}

/// The progress of a job; stored before a worker may forget an end and before a caller sees it.
///
/// Its size is bounded by the tasks that may be open at a time, however often the job repeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The occurrences that are done.
    pub finished: occurrence::Set,
    /// The steps of each other occurrence that has begun.
    pub occurrences: Vec<(u32, Vec<StepProgress>)>,
    /// How the job ended, once it has.
    pub outcome: Option<Outcome>,
    /// The workspace of the job; this record outlives the job's acceptance.
    pub workspace: Option<WorkspaceName>,
}

impl Progress {
    /// Returns whether a task of the job is known to have begun. Crashes don't count: a worker may crash before an
    /// order reaches it.
    pub fn has_begun(&self) -> bool {
        let mut steps = self.occurrences.iter().flat_map(|(_, steps)| steps);
        !self.finished.is_empty()
            || steps.any(|step| !step.done.is_empty() || !step.failures.is_empty())
    }
}

impl From<PlainProgress> for Progress {
    fn from(plain: PlainProgress) -> Self {
        Self {
            finished: occurrence::Set::default(),
            occurrences: plain.occurrences,
            outcome: plain.outcome,
            workspace: plain.workspace,
        }
    }
}

/// A record that the owner keeps; each variant has its own key. Records name a variant by its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// The progress of a job of which no occurrence is left out. Versions that know no other form read it, so it is
    /// used as long as it can be.
    PlainJob(JobId, PlainProgress),
    /// The runs that a worker may hold; stored before an order to start is sent.
    ///
    /// Before a new owner starts one of these elsewhere, it has to receive the worker's inventory or wait until the
    /// worker's leases have expired.
    Worker(WorkerId, WorkerRuns),
    /// A worker that is permanently gone; its key is removed.
    RemovedWorker(WorkerId),
    /// The progress of a job.
    Job(JobId, Progress),
    /// A job whose outcome is in a record of outcomes; its key is removed.
    PackedJob(JobId),
    /// The outcomes of jobs that are over; stored before the records of their progress are removed.
    Outcomes(OutcomesId, Vec<Ended>),
}

/// The prefix of the keys of records of outcomes.
const OUTCOMES_PREFIX: &str = "o/";

/// The runs that a worker may hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRuns {
    /// The address where the worker takes orders.
    pub address: SocketAddr,
    /// The incarnation of the worker that answered last.
    pub incarnation: Option<Incarnation>,
    /// The runs.
    pub runs: Vec<(TaskId, Run)>,
}

impl Entry {
    /// Returns the record of a job's progress.
    pub fn job(id: JobId, progress: Progress) -> Self {
        if !progress.finished.is_empty() {
            return Self::Job(id, progress);
        }
        let plain = PlainProgress {
            occurrences: progress.occurrences,
            outcome: progress.outcome,
            workspace: progress.workspace,
        };
        Self::PlainJob(id, plain)
    }

    /// Returns the key under which the record is stored.
    pub fn key(&self) -> String {
        match self {
            Self::Job(job, _) | Self::PlainJob(job, _) | Self::PackedJob(job) => job.to_string(),
            Self::Outcomes(id, _) => format!("{OUTCOMES_PREFIX}{}.{}", id.epoch, id.number),
            Self::Worker(worker, _) | Self::RemovedWorker(worker) => worker_key(worker),
        }
    }

    /// Returns whether the record removes its key.
    pub const fn is_removal(&self) -> bool {
        matches!(self, Self::RemovedWorker(_) | Self::PackedJob(_))
    }

    /// Returns whether a key is one of an entry.
    pub fn is_key(key: &str) -> bool {
        key.starts_with("w/") || key.starts_with(OUTCOMES_PREFIX) || key.parse::<JobId>().is_ok()
    }
}

/// Returns the key under which the runs of a worker are stored.
pub fn worker_key(worker: &WorkerId) -> String {
    format!("w/{worker}")
}

/// The ownership of the cell. A later claim names the claim that it replaces by its position in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The number of the ownership.
    pub epoch: Epoch,
    /// The owner.
    pub node: NodeName,
    /// The address where the owner answers other nodes.
    pub address: SocketAddr,
    /// Distinguishes the lifetimes of one node.
    pub incarnation: u64,
    /// The number of the renewal.
    pub renewal: u32,
    /// Whether the owner has released the cell; if so, any node may claim it at once.
    pub released: bool,
    /// The owner's usable processor capacity, by which nodes are ranked as owners; a slow network link lowers it.
    pub strength: Millicores,
    /// Over how many partitions the nodes spread jobs.
    pub spread: Spread,
    /// The number of nodes that the owner knew, itself included.
    pub nodes: u32,
    /// The number of consecutive owners that released the cell because they were slow.
    pub consecutive_slow_owners: u8,
    /// The addresses of the nodes that may extend the owner's lease while the store does not answer it.
    pub voters: Vec<SocketAddr>,
    /// The former owners that may still act, as far as the owner knew.
    pub former: Vec<Electorate>,
}

impl Claim {
    /// Returns the owner with the nodes that vote on it.
    pub fn electorate(&self) -> Electorate {
        Electorate {
            epoch: self.epoch,
            owner: self.address,
            voters: self.voters.clone(),
        }
    }

    /// Returns the voters of a successor until it knows which nodes are there: this owner and its other voters.
    pub fn next_voters(&self, successor: SocketAddr) -> Vec<SocketAddr> {
        let nodes: Vec<SocketAddr> = self.voters.iter().copied().chain([self.address]).collect();
        Electorate::new(self.epoch.next(), successor, &nodes).voters
    }

    /// Returns the owners that may still act once another node has claimed the cell after this claim.
    ///
    /// An owner releases the cell only after it has stopped.
    pub fn possible_owners(&self) -> Vec<Electorate> {
        let own = (!self.released).then(|| self.electorate());
        self.former.iter().cloned().chain(own).collect()
    }
}

/// Encodes a record.
///
/// # Errors
///
/// Fails only if the length of a collection can't be encoded.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, Error> {
    Ok(postcard::to_stdvec(record)?)
}

/// Decodes a record.
///
/// # Errors
///
/// Fails if the bytes are not such a record, or continue after it.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Error> {
    let (record, rest) = postcard::take_from_bytes(bytes)?;
    rest.is_empty()
        .then_some(record)
        .ok_or(Error::TrailingBytes)
}
