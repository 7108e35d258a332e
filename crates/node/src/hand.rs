//! Gives orders to workers on behalf of the owner, and reports what came of them.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_cell::id::Epoch;
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
        Question, //
    },
    order::{
        Order,
        Report, //
    },
    port::Platform,
    shared::Shared,
};

/// How long reports are gathered: a busy node has one each 2 ms, and each call between nodes costs the
/// owner as much as some twenty reports in it.
const GATHER: Duration = Duration::from_millis(8);
/// How many reports go into one call at most; an inventory takes some 500 bytes.
const MOST_GATHERED: usize = 64;
/// How long the owner may take to take reports in, and how often they are sent.
const TELL_PATIENCE: Duration = Duration::from_millis(300);
const TELL_TIMES: u32 = 2;
/// How many reports may wait; the owner takes what is left out for unanswered.
const QUEUE: usize = 4_096;

/// Orders of one owner for one node to give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Orders {
    /// The ownership that they belong to.
    pub(crate) epoch: Epoch,
    /// Where the reports go.
    pub(crate) owner: SocketAddr,
    /// Each with the number that its report carries.
    pub(crate) orders: Vec<(u64, Order)>,
}

/// What came of some orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Reports {
    /// The ownership that gave the orders.
    pub(crate) epoch: Epoch,
    /// Each with the number of its order.
    pub(crate) reports: Vec<(u64, Report)>,
}

/// A report on its way to the owner that gave the order.
struct Outgoing {
    epoch: Epoch,
    owner: SocketAddr,
    number: u64,
    report: Report,
}

/// Gives orders on behalf of owners.
pub(crate) struct Hand<P: Platform> {
    shared: Arc<Shared<P>>,
    outgoing: mpsc::Sender<Outgoing>,
}

impl<P: Platform> Clone for Hand<P> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            outgoing: self.outgoing.clone(),
        }
    }
}

impl<P: Platform> Hand<P> {
    pub(crate) fn start(shared: Arc<Shared<P>>) -> Self {
        let (outgoing, queue) = mpsc::channel(QUEUE);
        tokio::spawn(report(shared.clone(), queue));
        Self { shared, outgoing }
    }

    /// Takes orders; false where this node knows of a later owner, and nothing was done.
    pub(crate) fn take(&self, orders: Orders) -> bool {
        let Orders {
            epoch,
            owner,
            orders,
        } = orders;
        if epoch < self.shared.epoch() {
            return false;
        }
        for (number, order) in orders {
            let hand = self.clone();
            tokio::spawn(async move {
                let report = order
                    .carry_out(&hand.shared.platform, &hand.shared.meter)
                    .await;
                let outgoing = Outgoing {
                    epoch,
                    owner,
                    number,
                    report,
                };
                if hand.outgoing.try_send(outgoing).is_err() {
                    hand.shared.meter.report_lost("queue-full");
                }
            });
        }
        true
    }
}

/// Sends reports to the owners that wait for them.
async fn report<P: Platform>(shared: Arc<Shared<P>>, mut queue: mpsc::Receiver<Outgoing>) {
    let mut gathered = Vec::new();
    while queue.recv_many(&mut gathered, MOST_GATHERED).await > 0 {
        if gathered.len() < MOST_GATHERED {
            sleep(GATHER).await;
            while gathered.len() < MOST_GATHERED
                && let Ok(more) = queue.try_recv()
            {
                gathered.push(more);
            }
        }
        let mut calls: HashMap<(SocketAddr, Epoch), Vec<(u64, Report)>> = HashMap::default();
        for outgoing in gathered.drain(..) {
            let key = (outgoing.owner, outgoing.epoch);
            let reports = calls.entry(key).or_default();
            reports.push((outgoing.number, outgoing.report));
        }
        for ((owner, epoch), reports) in calls {
            tokio::spawn(tell(shared.clone(), owner, Reports { epoch, reports }));
        }
    }
}

async fn tell<P: Platform>(shared: Arc<Shared<P>>, owner: SocketAddr, reports: Reports) {
    let question = Question::Reports(reports);
    for _ in 0..TELL_TIMES {
        if message::ask(&shared.rpc, owner, &question, TELL_PATIENCE)
            .await
            .is_ok()
        {
            return;
        }
    }
    shared.meter.report_lost("unanswered");
}
