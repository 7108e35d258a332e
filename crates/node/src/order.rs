//! Orders to workers and the reports on their results.

use std::time::Duration;

use fulmarpier_cell::{
    effect::{
        Destination,
        Heartbeat,
        Start,
        Stop,
        Throttle, //
    },
    event::{
        HeartbeatAnswer,
        StartAnswer,
        StopAnswer, //
    },
    id::{
        Run,
        TaskId,
        WorkerId, //
    },
};
use fulmarpier_state::clock::Timestamp;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::{
    platform::{
        INVENTORY_MARGIN,
        ORDER_TIMEOUT,
        Platform, //
    },
    telemetry::Meter, //
};

/// How much of orders or reports one message carries, in bytes. A node refuses messages of more than 64 MB, however often
/// they are sent, and a link of 10 Mbit/s carries 375 kB in the time that a call may take.
pub(crate) const MAX_MESSAGE_BYTES: usize = 131_072;
/// What an order or a report takes in a message beside its texts and lists, in bytes.
const BASE_SIZE: usize = 100;
/// What a run in an inventory takes in a message beside its checkpoint, in bytes.
const RUN_SIZE: usize = 40;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Order {
    /// Start a task.
    Start(Box<Start>),
    /// Stop a task.
    Stop(Stop),
    /// Run a best-effort task at a share of its processor.
    Throttle(Throttle),
    /// Extend the lease and return the inventory.
    Heartbeat(Heartbeat),
}

/// The result of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Report {
    /// The result of an order to start.
    Started(WorkerId, TaskId, Run, StartAnswer),
    /// The result of an order to stop.
    Stopped(WorkerId, TaskId, Run, StopAnswer),
    /// The result of an order to run at a share, with the share in percent.
    Throttled(WorkerId, TaskId, Run, u8, StopAnswer),
    /// The result of a request for an inventory that was made at this time.
    Inventory(WorkerId, Timestamp, HeartbeatAnswer),
}

impl Report {
    /// Returns about how much it takes in a message, in bytes. An inventory may list thousands of runs.
    pub(crate) fn size(&self) -> usize {
        let Self::Inventory(_, _, HeartbeatAnswer::Inventory(inventory)) = self else {
            return BASE_SIZE;
        };
        let running = inventory.running.iter().map(|run| &run.checkpoint);
        let ended = inventory.ended.iter().map(|end| &end.checkpoint);
        let runs = running.chain(ended);
        let runs = runs.map(|text| RUN_SIZE + text.as_ref().map_or(0, |text| text.len()));
        BASE_SIZE + runs.sum::<usize>()
    }
}

impl Order {
    /// Returns the destination.
    pub(crate) fn destination(&self) -> &Destination {
        match self {
            Self::Start(order) => &order.to,
            Self::Stop(order) => &order.to,
            Self::Throttle(order) => &order.to,
            Self::Heartbeat(order) => &order.to,
        }
    }

    /// Returns the time after which an order without an answer is abandoned.
    pub(crate) fn timeout(&self) -> Duration {
        match self {
            Self::Start(_) | Self::Stop(_) | Self::Throttle(_) => ORDER_TIMEOUT,
            Self::Heartbeat(order) => order.wait + INVENTORY_MARGIN,
        }
    }

    /// Returns about how much it takes in a message, in bytes. Callers choose the size of the payload.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Start(order) => {
                let checkpoint = order.checkpoint.as_ref().map_or(0, |text| text.len());
                BASE_SIZE + order.payload.len() + checkpoint
            }
            Self::Stop(_) | Self::Throttle(_) | Self::Heartbeat(_) => BASE_SIZE,
        }
    }

    /// Returns the report on an order without an answer, which may or may not take effect.
    pub(crate) fn unanswered_report(&self) -> Report {
        let worker = self.destination().worker.clone();
        match self {
            Self::Start(order) => {
                Report::Started(worker, order.task, order.run, StartAnswer::NoAnswer)
            }
            Self::Stop(order) => {
                Report::Stopped(worker, order.task, order.run, StopAnswer::NoAnswer)
            }
            Self::Throttle(order) => {
                let (task, run, percent) = (order.task, order.run, order.percent);
                Report::Throttled(worker, task, run, percent, StopAnswer::NoAnswer)
            }
            Self::Heartbeat(order) => {
                Report::Inventory(worker, order.sent_at, HeartbeatAnswer::NoAnswer)
            }
        }
    }

    /// Returns the report on an order that is certain never to be sent.
    pub(crate) fn unsent_report(&self) -> Report {
        match self {
            Self::Start(order) => {
                let worker = order.to.worker.clone();
                Report::Started(worker, order.task, order.run, StartAnswer::Unsent)
            }
            Self::Stop(_) | Self::Throttle(_) | Self::Heartbeat(_) => self.unanswered_report(),
        }
    }

    /// Sends the order and waits for the answer.
    pub(crate) async fn execute<P: Platform>(self, platform: &P, meter: &Meter) -> Report {
        let started_at = Instant::now();
        let (kind, report, outcome) = match self {
            Self::Start(order) => {
                let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
                let answer = platform.start(*order).await;
                let report = Report::Started(worker, task, run, answer);
                ("start", report, answer.as_str())
            }
            Self::Stop(order) => {
                let (worker, task, run) = (order.to.worker.clone(), order.task, order.run);
                let answer = platform.stop(order).await;
                let report = Report::Stopped(worker, task, run, answer);
                ("stop", report, answer.as_str())
            }
            Self::Throttle(order) => {
                let worker = order.to.worker.clone();
                let (task, run, percent) = (order.task, order.run, order.percent);
                let answer = platform.throttle(order).await;
                let report = Report::Throttled(worker, task, run, percent, answer);
                ("pace", report, answer.as_str())
            }
            Self::Heartbeat(order) => {
                let (worker, sent_at) = (order.to.worker.clone(), order.sent_at);
                let answer = platform.heartbeat(order).await;
                let outcome = answer.as_str();
                ("hold", Report::Inventory(worker, sent_at, answer), outcome)
            }
        };
        meter.worker_call(kind, started_at.elapsed(), outcome);
        report
    }
}
