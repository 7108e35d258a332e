//! Orders to workers: given here or by other nodes, and what came of them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use kameo::actor::{
    ActorRef,
    WeakActorRef, //
};
use tokio::time::sleep;

use super::control::{
    Control,
    Event,
    tell, //
};
use crate::{
    hand::{
        Orders,
        Reports, //
    },
    message::{
        self,
        Question,
        Reply, //
    },
    order::{
        Order,
        Report, //
    },
    port::Platform,
};

/// How long orders for other nodes are gathered. Each call between nodes costs the owner some 0.1 ms, and
/// a fleet of 350 workers has 1,750 orders a second; the most urgent jobs have 650 ms to spare.
const GATHER: Duration = Duration::from_millis(6);
/// How long a node may take to take orders in.
const ORDERS_PATIENCE: Duration = Duration::from_millis(300);

/// Why a node did not take orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// They certainly didn't reach it, or it refused them.
    Unsent,
    /// It gave no answer.
    Unanswered,
}

impl Failure {
    const fn word(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Unanswered => "unanswered",
        }
    }
}

impl<P: Platform> Control<P> {
    /// Has orders given, each by the node that it falls to.
    pub(super) fn order(&mut self, orders: Vec<Order>, own: &ActorRef<Self>) {
        let workers = self.engine.worker_count();
        for order in orders {
            match self.share.node_of(&order.to().worker, workers) {
                Some(node) => {
                    let number = self.given.add(order.clone());
                    let gathered = self.gathered.entry(node).or_default();
                    gathered.push((number, order));
                }
                None => self.order_here(order, own.downgrade()),
            }
        }
        if self.gathered.is_empty() || std::mem::replace(&mut self.is_gathering, true) {
            return;
        }
        let own = own.downgrade();
        tokio::spawn(async move {
            sleep(GATHER).await;
            tell(&own, Event::Gathered).await;
        });
    }

    /// Sends the orders that were gathered for other nodes.
    pub(super) fn send_gathered(&mut self, own: &ActorRef<Self>) {
        self.is_gathering = false;
        for (node, orders) in std::mem::take(&mut self.gathered) {
            self.order_there(node, orders, own.downgrade());
        }
    }

    fn order_here(&self, order: Order, own: WeakActorRef<Self>) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let report = order.carry_out(&shared.platform, &shared.meter).await;
            tell(&own, Event::Reported(report)).await;
        });
    }

    fn order_there(&self, node: SocketAddr, orders: Vec<(u64, Order)>, own: WeakActorRef<Self>) {
        let shared = self.shared.clone();
        let epoch = self.engine.epoch();
        let numbers: Vec<u64> = orders.iter().map(|(number, _)| *number).collect();
        let orders = Question::Orders(Orders {
            epoch,
            owner: shared.address,
            orders,
        });
        tokio::spawn(async move {
            let answer = message::ask(&shared.rpc, node, &orders, ORDERS_PATIENCE).await;
            let failure = match answer {
                Ok(Reply::Noted) => return,
                Ok(_) => Failure::Unsent,
                Err(error) if error.not_run() => Failure::Unsent,
                Err(_) => Failure::Unanswered,
            };
            tell(&own, Event::NotGiven(node, failure, numbers)).await;
        });
    }

    /// Takes in what came of orders that other nodes gave.
    pub(super) fn take_reports(&mut self, reports: Reports) {
        if reports.epoch != self.engine.epoch() {
            return;
        }
        for (number, report) in reports.reports {
            if self.given.settle(number) {
                self.take_report(report);
            }
        }
    }

    pub(super) fn take_not_given(&mut self, node: SocketAddr, failure: Failure, numbers: &[u64]) {
        if self.share.avoid(node) {
            slog::warn!(self.shared.log, "orders-not-given"; "node" => %node,
                "orders" => numbers.len(), "why" => failure.word());
        }
        let reports = match failure {
            Failure::Unsent => self.given.unsent(numbers),
            Failure::Unanswered => self.given.unanswered(numbers),
        };
        for report in reports {
            self.take_report(report);
        }
    }

    pub(super) fn take_report(&mut self, report: Report) {
        let now = self.shared.clock.now();
        let engine = &mut self.engine;
        match report {
            Report::Started(worker, task, run, answer) => {
                engine.started(&worker, task, run, answer, now);
            }
            Report::Stopped(worker, task, run, answer) => {
                engine.stopped(&worker, task, run, answer, now);
            }
            Report::Paced(worker, task, run, percent, answer) => {
                engine.paced(&worker, task, run, percent, answer, now);
            }
            Report::Held(worker, asked, answer) => engine.held(&worker, asked, answer, now),
        }
    }
}
