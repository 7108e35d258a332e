//! Sends orders to workers on behalf of the owner and reports the results to it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::{
    event::{
        HeartbeatAnswer,
        Inventory, //
    },
    id::Epoch,
};
use fulmarpier_state::alias::HashMap;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::mpsc,
    time::sleep, //
};

use crate::{
    message::{
        self,
        Request, //
    },
    order::{
        MAX_MESSAGE_BYTES,
        Order,
        Report, //
    },
    pack::pack,
    platform::Platform,
    shared::Shared,
};

/// How long reports are collected into a batch: a busy node has one report every 2 ms, and each call between nodes
/// costs the owner as much as about twenty reports in it.
const REPORT_BATCH_DELAY: Duration = Duration::from_millis(8);
/// The maximum number of reports in one call. A report with an inventory takes about 500 bytes.
const MAX_REPORTS_PER_CALL: usize = 64;
/// The timeout of a call that sends reports to the owner.
const REPORT_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// How many times a batch of reports is sent at most.
const MAX_REPORT_ATTEMPTS: u32 = 2;
/// The maximum number of reports in the queue. The owner treats orders whose reports are dropped as unanswered.
const MAX_QUEUED_REPORTS: usize = 4_096;

/// Orders that one node sends to workers on behalf of an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Orders {
    /// The epoch of the owner.
    pub(crate) epoch: Epoch,
    /// The address to send the reports to.
    pub(crate) owner: SocketAddr,
    /// The orders, each with the number that its report carries.
    pub(crate) orders: Vec<(u64, Order)>,
}

/// The results of orders, as sent to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reports {
    /// The epoch of the owner that issued the orders.
    pub(crate) epoch: Epoch,
    /// The reports, each with the number of its order.
    pub(crate) reports: Vec<(u64, Report)>,
}

impl Reports {
    /// Returns the inventories among the reports.
    pub(crate) fn inventories(&self) -> impl Iterator<Item = &Inventory> {
        let reports = self.reports.iter();
        reports.filter_map(|(_, report)| match report {
            Report::Inventory(_, _, HeartbeatAnswer::Inventory(inventory)) => Some(inventory),
            _ => None,
        })
    }

    /// Returns the inventories among the reports for modification.
    pub(crate) fn inventories_mut(&mut self) -> impl Iterator<Item = &mut Inventory> {
        let reports = self.reports.iter_mut();
        reports.filter_map(|(_, report)| match report {
            Report::Inventory(_, _, HeartbeatAnswer::Inventory(inventory)) => Some(inventory),
            _ => None,
        })
    }
}

/// A report that is queued for the owner that issued the order.
struct Outgoing {
    epoch: Epoch,
    owner: SocketAddr,
    number: u64,
    report: Report,
}

/// Sends orders to workers on behalf of owners; cheap to clone.
pub(crate) struct Dispatcher<P: Platform> {
    shared: Arc<Shared<P>>,
    outgoing: mpsc::Sender<Outgoing>,
}

impl<P: Platform> Clone for Dispatcher<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            outgoing: self.outgoing.clone(),
        }
    }
}

impl<P: Platform> Dispatcher<P> {
    pub(crate) fn start(shared: Arc<Shared<P>>) -> Self {
        let (outgoing, queue) = mpsc::channel(MAX_QUEUED_REPORTS);
        tokio::spawn(send_reports(shared.clone(), queue));
        Self { shared, outgoing }
    }

    /// Sends orders to workers in the background.
    ///
    /// Returns `false` without sending any if this node knows of a later owner.
    pub(crate) fn dispatch(&self, orders: Orders) -> bool {
        let Orders {
            epoch,
            owner,
            orders,
        } = orders;
        if epoch < self.shared.ballot().highest() {
            return false;
        }
        for (number, order) in orders {
            let dispatcher = self.clone();
            tokio::spawn(async move {
                let report = order
                    .execute(&dispatcher.shared.platform, &dispatcher.shared.meter)
                    .await;
                let outgoing = Outgoing {
                    epoch,
                    owner,
                    number,
                    report,
                };
                if dispatcher.outgoing.try_send(outgoing).is_err() {
                    dispatcher.shared.meter.lost_report("queue-full");
                }
            });
        }
        true
    }
}

/// Sends queued reports in batches to the owners that issued the orders.
async fn send_reports<P: Platform>(shared: Arc<Shared<P>>, mut queue: mpsc::Receiver<Outgoing>) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_REPORTS_PER_CALL).await > 0 {
        if batch.len() < MAX_REPORTS_PER_CALL {
            sleep(REPORT_BATCH_DELAY).await;
            while batch.len() < MAX_REPORTS_PER_CALL
                && let Ok(more) = queue.try_recv()
            {
                batch.push(more);
            }
        }
        let mut calls: HashMap<(SocketAddr, Epoch), Vec<(u64, Report)>> = HashMap::default();
        for outgoing in batch.drain(..) {
            let key = (outgoing.owner, outgoing.epoch);
            let reports = calls.entry(key).or_default();
            reports.push((outgoing.number, outgoing.report));
        }
        for ((owner, epoch), reports) in calls {
            for reports in pack(reports, MAX_MESSAGE_BYTES, |(_, report)| report.size()) {
                let reports = Reports { epoch, reports };
                tokio::spawn(send_batch(shared.clone(), owner, reports));
            }
        }
    }
}

/// Sends a batch of reports to an owner, with retries.
async fn send_batch<P: Platform>(shared: Arc<Shared<P>>, owner: SocketAddr, reports: Reports) {
    let request = Request::Reports(reports);
    for _ in 0..MAX_REPORT_ATTEMPTS {
        if message::send(&shared.rpc, owner, &request, REPORT_CALL_TIMEOUT)
            .await
            .is_ok()
        {
            return;
        }
    }
    shared.meter.lost_report("unanswered");
}
