//! What a recovery asks its runtime to do.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        TaskId,
        WorkerId, //
    },
    job::Spec, //
};

use crate::platform::worker::{
    End,
    Running, //
};

use super::TaskState;

/// What a recovery asks its runtime to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send each of these workers a `Sync` at the new epoch without orders and renewals, and report
    /// the inventory or the failure.
    Take(Vec<WorkerId>),
    /// Apply a step to the scheduling state. Decide nothing before [`Step::Ready`], and later only
    /// when no further step is at hand.
    Step(Step),
}

/// A change of the scheduling state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Take a job in; its tasks wait unless a later step says otherwise.
    Submit {
        /// The job.
        job: JobId,
        /// Its declaration.
        spec: Arc<Spec>,
        /// When it was accepted.
        accepted: Timestamp,
    },
    /// The record knows the state of the task, and no worker can hold it: it did not start, has
    /// ended, or is unknown.
    Restore {
        /// The task.
        task: TaskId,
        /// Its state.
        state: TaskState,
    },
    /// The task may be started again; the attempt on record runs nowhere.
    Waiting {
        /// The task.
        task: TaskId,
        /// The attempt on record.
        attempt: Attempt,
    },
    /// The task may run on a worker that is silent: reserve its size there and don't start it.
    Recall {
        /// The task.
        task: TaskId,
        /// The attempt on record, or zero where there is none.
        attempt: Attempt,
        /// One worker that may hold it.
        worker: WorkerId,
    },
    /// A recalled task certainly does not run under that recall; it waits unless the next step
    /// adopts it, ends it or recalls it elsewhere.
    Release {
        /// The task.
        task: TaskId,
        /// The attempt of the recall.
        attempt: Attempt,
        /// The worker of the recall.
        worker: WorkerId,
    },
    /// The task runs.
    Adopt {
        /// The worker that runs it.
        worker: WorkerId,
        /// What the worker says of it.
        running: Running,
    },
    /// The task has ended and its worker waits for the acknowledgement.
    Ended {
        /// The task.
        task: TaskId,
        /// Which start of the task this was.
        attempt: Attempt,
        /// Where it ran.
        worker: WorkerId,
        /// How it ended.
        end: End,
        /// How long it ran.
        age: Duration,
    },
    /// The task may have run; keep [`crate::journal::Record::Unknown`] and never start it again.
    Unknown {
        /// The task.
        task: TaskId,
        /// The attempt in doubt.
        attempt: Attempt,
        /// Where it was to run.
        worker: WorkerId,
    },
    /// Cancel the job, as its record demands.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Nothing of earlier owners runs on the worker any more.
    WorkerGone {
        /// The worker.
        worker: WorkerId,
    },
    /// The worker is taken at the epoch; new tasks may be placed on it.
    WorkerOpen {
        /// The worker.
        worker: WorkerId,
    },
    /// Placing may begin on the workers that are open.
    Ready,
    /// No worker is silent any more; the recovery is over.
    Settled,
}
