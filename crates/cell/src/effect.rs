//! What the engine asks its node to do.

use std::{
    net::SocketAddr,
    num::NonZeroU32,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_state::clock::Timestamp;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    advice::Purpose,
    engine::{
        Census,
        WaitReason,
        WaitSurvey, //
    },
    event::ExitReason,
    id::{
        Fence,
        Incarnation,
        JobId,
        NodeName,
        Run,
        StepId,
        TaskId,
        WorkerId, //
    },
    record::{
        Cancellation,
        Entry, //
    },
    share::Share,
    speed::{
        Class,
        Speed, //
    },
    workspace::WorkspaceName,
};

/// A job whose acceptance record can be removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Removal {
    /// The job.
    pub job: JobId,
    /// The workspace of the acceptance.
    pub workspace: Option<WorkspaceName>,
    /// The partition of the job records that holds the acceptance.
    pub partition: u16,
    /// Its cancellation, if that has to be recorded in the same operation.
    pub cancellation: Option<Cancellation>,
}

/// The worker that an order is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Destination {
    /// The worker.
    pub worker: WorkerId,
    /// The address where it takes orders.
    pub address: SocketAddr,
    /// Distinguishes the order from those of former owners and from those for former incarnations.
    pub fence: Fence,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The worker that the order is for.
    pub to: Destination,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: Run,
    /// The payload that the task receives.
    pub payload: Arc<str>,
    /// The end of the lease to run it, on the worker's clock, in milliseconds.
    pub deadline: u64,
    /// The checkpoint that it resumes from.
    pub checkpoint: Option<Arc<str>>,
    /// The permission for the step on this worker, if the queue requires one.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The worker that the order is for.
    pub to: Destination,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: Run,
}

/// An order to limit a best-effort task to a share of the processor time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Throttle {
    /// The worker that the order is for.
    pub to: Destination,
    /// The task.
    pub task: TaskId,
    /// The run of the task.
    pub run: Run,
    /// The share, in per cent.
    pub percent: u8,
}

/// A call that extends a worker's lease and asks for its inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The worker that the call is for.
    pub to: Destination,
    /// The end of the lease on everything that the worker holds, on its clock; `None` leaves the lease unchanged.
    pub deadline: Option<u64>,
    /// The serial number of the last end that the worker may forget.
    pub acknowledged: u64,
    /// How long the worker may wait for an end before it answers.
    pub wait: Duration,
    /// When the call was made; distinguishes its answer from those of other calls to the same worker.
    pub sent_at: Timestamp,
}

/// A decision or a change in the engine's view, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogRecord {
    /// A run was placed on a worker.
    Placed {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// How long ago the worker last answered.
        heard: Duration,
        /// How long the step has waited since it became ready.
        waited: Duration,
    },
    /// A start was not carried out, or its result is unknown.
    NotStarted {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// The reason, as one word.
        why: &'static str,
        /// The time since the run was placed or taken over, if its worker still has it allocated.
        age: Option<Duration>,
    },
    /// A member of a gang does not run while others may, or has ended because of that.
    Gang {
        /// The step.
        step: StepId,
        /// The run of its members.
        run: Run,
        /// What was found, as one word.
        state: &'static str,
        /// The number of members in each state.
        members: Census,
        /// The time since its first order was sent, or since the takeover for a run of a former owner; `None` if no order
        /// was sent.
        age: Option<Duration>,
        /// Why its missing members wait, as last reported.
        waits: Option<WaitReason>,
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        reason: ExitReason,
    },
    /// A run is to be stopped.
    Stopping {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// The reason, as one word.
        why: &'static str,
    },
    /// Tasks on a worker are preempted for a step.
    Preempting {
        /// The step.
        step: StepId,
        /// The worker.
        worker: WorkerId,
        /// The number of tasks of the step that are to start there.
        wanted: usize,
        /// The number of them that would fit without preemption, once the runs that are already stopping have ended.
        fits: usize,
        /// The number of tasks that are preempted.
        victims: usize,
        /// The remaining validity of the step's ticket for the worker; `None` if there is none or none is required.
        ticket: Option<Duration>,
    },
    /// Workers on which tasks were preempted for a gang are held for it, or not any more.
    Hold {
        /// The step.
        step: StepId,
        /// That the hold has begun, or why it has ended, as one word.
        state: &'static str,
        /// The number of workers.
        workers: usize,
        /// How long they have been held.
        age: Duration,
    },
    /// A worker that has never answered this owner is considered lost.
    Unheard {
        /// The worker.
        worker: WorkerId,
        /// The state of the worker, as one word.
        why: &'static str,
        /// The number of runs that it may have held.
        runs: usize,
        /// The time since the takeover.
        owned: Duration,
        /// How long after the takeover the last lease granted by a former owner may have expired.
        lease: Duration,
    },
    /// The engine's view of a worker's state has changed.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The incarnation that answers under the worker's id, if known.
        incarnation: Option<Incarnation>,
        /// The new state, as one word.
        belief: &'static str,
        /// How long ago the worker last answered, if it ever has.
        heard: Option<Duration>,
    },
    /// A worker has become faster or slower than the typical worker of its pool, or like it.
    Speed {
        /// The worker.
        worker: WorkerId,
        /// Its estimated speed.
        speed: Speed,
        /// Its new class.
        class: Class,
        /// The number of runs that the estimate is worth, rounded.
        runs: u32,
    },
    /// A worker is considered lost, together with a run that it may have held.
    Lost {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// The state of the worker, as one word.
        why: &'static str,
        /// How long before the worker stopped answering the run was placed or adopted.
        run_age: Duration,
        /// The number of other runs that the worker may have held.
        other_runs: usize,
    },
    /// A worker crashed shortly after it started a task.
    Crashed {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// The number of workers that have crashed shortly after they started the task.
        crashes: usize,
        /// The consequence for the task, as one word.
        verdict: &'static str,
    },
    /// A run was taken for gone because its worker's inventory lists it neither as running nor as ended.
    Absent {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
        /// The phase of the run, as one word.
        phase: &'static str,
        /// The number of ended runs in the inventory.
        ends: usize,
    },
    /// A run that a former owner started was taken over.
    Adopted {
        /// The task.
        task: TaskId,
        /// The run of the task.
        run: Run,
        /// The worker.
        worker: WorkerId,
    },
    /// A job has reached its end, and the end is recorded.
    Finished {
        /// The job.
        job: crate::id::JobId,
        /// How it ended, as one word.
        outcome: &'static str,
        /// The time since its arrival.
        after: Duration,
    },
    /// Tasks of a step wait, for another reason than last reported.
    Waiting {
        /// The step.
        step: StepId,
        /// The reason.
        why: WaitReason,
        /// The worker label that the step requires.
        label: Option<Arc<str>>,
        /// The number of its tasks that wait.
        tasks: usize,
        /// A summary of the state of the workers.
        survey: WaitSurvey,
        /// How long the step has waited since it became ready.
        waited: Duration,
    },
    /// A workspace has become over its share of the capacity, or stopped being so.
    Share {
        /// The workspace.
        workspace: WorkspaceName,
        /// The result of the evaluation.
        share: Share,
    },
    /// A job lies beyond the number of jobs per second that its workspace can rely on.
    BeyondRate {
        /// The job.
        job: JobId,
        /// The workspace.
        workspace: WorkspaceName,
        /// The number of jobs per second.
        rate: NonZeroU32,
        /// The time since the job was received.
        age: Duration,
    },
    /// A call to the advice service has finished.
    Advised {
        /// The step.
        step: StepId,
        /// The node that made the call.
        node: NodeName,
        /// The number of workers asked about.
        asked: usize,
        /// The number of them that may run the step; `None` if no answer came.
        allowed: Option<usize>,
        /// The duration of the call.
        took: Duration,
        /// For how long the step had waited for a node to make the call.
        waited: Duration,
        /// What the call was for.
        purpose: Purpose,
        /// The priority of the step's queue.
        priority: u8,
        /// The number of its tasks that waited when the call began.
        tasks: usize,
    },
}

/// A request from the engine to its node.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an order to start.
    Start(Box<Start>),
    /// Send an order to stop.
    Stop(Stop),
    /// Send an order to limit a task's share.
    Throttle(Throttle),
    /// Extend a lease and ask for an inventory.
    Heartbeat(Heartbeat),
    /// Have a node ask the advice service which workers may run a step.
    Advise {
        /// The node that makes the call.
        node: NodeName,
        /// The step.
        step: StepId,
        /// The workers to ask about.
        workers: Vec<WorkerId>,
    },
    /// Store all of these records or none, then call [`crate::engine::Engine::handle_recorded`].
    Record(Vec<Entry>),
    /// Remove acceptances from the store; the node may skip this.
    Remove(Vec<Removal>),
    /// Write a log record.
    Log(LogRecord),
    /// The ownership has to end.
    OwnershipLost(Loss),
}

/// Why an engine can't go on under its epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Another node owns the cell, since a worker has seen a higher epoch.
    Fenced(Refusal),
    /// The numbers that the epoch has for the runs of a task are used up.
    RunsUsedUp,
}

impl Loss {
    /// Returns the reason as one word.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Fenced(_) => "worker",
            Self::RunsUsedUp => "runs-used-up",
        }
    }
}

/// A call that a worker has refused because it has seen a higher epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The worker.
    pub worker: WorkerId,
    /// The kind of the call, as one word.
    pub call: &'static str,
    /// How long ago the worker last answered this owner, if it ever has.
    pub heard: Option<Duration>,
}
