//! What a journal holds.

use std::{
    fmt,
    sync::Arc, //
};

use fulmarpier_state::{
    clock::Timestamp,
    engine::Counts,
    id::{
        Attempt,
        JobId,
        ShardId,
        TaskId,
        WorkerId, //
    },
    job::Spec,
    name::Service,
    refusal::Outcome, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    part,
    platform::{
        target,
        worker::End, //
    },
    request::{
        Answer,
        Digest,
        Key,
        Ticket, //
    },
};

use super::Part;

/// How a job ended as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobEnd {
    /// Every task succeeded.
    Succeeded,
    /// A task failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
    /// A non-idempotent task may have run, and nobody can tell.
    Unknown,
}

impl fmt::Display for JobEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Succeeded => "succeeded",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown => "unknown",
        })
    }
}

/// One event in the life of a shard, as it is kept on the log.
///
/// New kinds are added at the end, because the encoding numbers them by position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The writer has taken the stream at the epoch of the envelope.
    Opened {
        /// Whether it may begin requests without the log in an outage.
        blind: bool,
    },
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// Its declaration.
        spec: Arc<Spec>,
        /// When it was accepted, by the owner's clock.
        at: Timestamp,
    },
    /// A task is about to be started; the order may leave once this is committed.
    Starting {
        /// The task.
        task: TaskId,
        /// Which start of the task this is.
        attempt: Attempt,
        /// The worker that gets the order.
        worker: WorkerId,
    },
    /// The worker certainly did not start this attempt; the task waits again.
    NotStarted {
        /// The task.
        task: TaskId,
        /// The attempt that did not run.
        attempt: Attempt,
    },
    /// A task ended; the worker may forget it once this is committed.
    Ended {
        /// The task.
        task: TaskId,
        /// Which start of the task this was.
        attempt: Attempt,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        end: End,
    },
    /// A task may have run and nobody can tell; it is not started again.
    Unknown {
        /// The task.
        task: TaskId,
        /// The attempt in doubt.
        attempt: Attempt,
        /// Where it was to run.
        worker: WorkerId,
    },
    /// A job is to be cancelled.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// Nothing of a job is left to do.
    JobEnded {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
    },
    /// A job now belongs to another shard.
    Moved {
        /// The job.
        job: JobId,
        /// The shard that has accepted it.
        to: ShardId,
    },
    /// A non-idempotent request is about to be sent.
    Intent {
        /// The caller's key.
        key: Key,
        /// What was asked, as a digest.
        digest: Digest,
        /// Names the one flow at a gate that serves the request.
        nonce: u64,
        /// The one permission to send.
        ticket: Ticket,
        /// The target that gets the request.
        target: Option<target::Id>,
        /// The service called.
        service: Service,
        /// When it was begun, by the owner's clock.
        at: Timestamp,
        /// When the caller stops waiting.
        deadline: Timestamp,
    },
    /// What became of a non-idempotent request.
    Outcome {
        /// The caller's key.
        key: Key,
        /// The permission that was used.
        ticket: Ticket,
        /// What is known.
        outcome: Outcome,
        /// The answer, where it is small enough to be kept.
        answer: Option<Answer>,
        /// When it became known, by the owner's clock.
        at: Timestamp,
    },
    /// Settled requests were dropped from memory; their keys are refused from now on.
    Forgot {
        /// Settled keys with a time of their own at or before this are dropped.
        timed: Timestamp,
        /// Settled keys without one that were begun at or before this are dropped.
        opaque: Timestamp,
    },
    /// A part of a snapshot.
    Snapshot(Part),
    /// The writer reaches the log and has nothing to say.
    Alive,
    /// From now on the shard itself runs only the first tasks of a job; an order to take a part may
    /// leave once this is committed.
    Delegated {
        /// The job.
        job: JobId,
        /// How many tasks the shard itself runs.
        home: u32,
        /// Further parts in other shards.
        parts: Vec<part::Share>,
    },
    /// All tasks of a part of a job have ended in its shard, or never start there.
    PartEnded {
        /// The job.
        job: JobId,
        /// The part.
        part: JobId,
        /// How its tasks ended; cancelled ones of a job that is not cancelled never ran there.
        counts: Counts,
    },
    /// A part of another shard's job was accepted.
    Hosted {
        /// The part.
        part: JobId,
        /// Whose part it is.
        of: part::Origin,
        /// Its declaration.
        spec: Arc<Spec>,
        /// When it was accepted, by the owner's clock.
        at: Timestamp,
    },
    /// Nothing of a part is left to do here.
    Closed {
        /// The part.
        part: JobId,
        /// Whose part it was.
        of: part::Origin,
        /// How its tasks ended.
        counts: Counts,
    },
    /// The home of a part has kept its end, so it may be forgotten here.
    Forgotten {
        /// The part.
        part: JobId,
    },
}
