//! Sends orders to workers, directly or through other nodes, and handles their results.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use kameo::actor::{
    ActorRef,
    WeakActorRef, //
};
use tokio::time::sleep;

use super::engine_actor::{
    EngineActor,
    Event,
    tell, //
};
use crate::{
    dispatch::{
        Orders,
        Reports, //
    },
    message::{
        self,
        Reply,
        Request, //
    },
    order::{
        MAX_MESSAGE_BYTES,
        Order,
        Report, //
    },
    pack::pack,
    platform::Platform,
};

/// How long orders for other nodes are collected into a batch. Each call between nodes costs the
/// owner some 0.1 ms, and a fleet of 350 workers has 1,750 orders a second; the most urgent jobs
/// have 650 ms to spare.
const ORDER_BATCH_DELAY: Duration = Duration::from_millis(6);
/// How long a node may take to accept a batch of orders.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a node did not accept orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The orders certainly didn't reach the node, or it refused them.
    Unsent,
    /// The node gave no answer.
    Unanswered,
}

impl Failure {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Unanswered => "unanswered",
        }
    }
}

impl<P: Platform> EngineActor<P> {
    /// Sends orders, each from the node that is responsible for the worker.
    pub(super) fn dispatch(&mut self, orders: Vec<Order>, actor_ref: &ActorRef<Self>) {
        let workers = self.engine.worker_count();
        for order in orders {
            match self
                .assignment
                .node_of(&order.destination().worker, workers)
            {
                Some(node) => {
                    let number = self.delegated.add(order.clone());
                    let batch = self.batches.entry(node).or_default();
                    batch.push((number, order));
                }
                None => self.send_directly(order, actor_ref.downgrade()),
            }
        }
        if self.batches.is_empty() || std::mem::replace(&mut self.is_batch_scheduled, true) {
            return;
        }
        let actor_ref = actor_ref.downgrade();
        tokio::spawn(async move {
            sleep(ORDER_BATCH_DELAY).await;
            tell(&actor_ref, Event::BatchDue).await;
        });
    }

    /// Sends the batches collected for other nodes.
    pub(super) fn send_batches(&mut self, actor_ref: &ActorRef<Self>) {
        self.is_batch_scheduled = false;
        for (node, orders) in std::mem::take(&mut self.batches) {
            for call in pack(orders, MAX_MESSAGE_BYTES, |(_, order)| order.size()) {
                self.send_through(node, call, actor_ref.downgrade());
            }
        }
    }

    fn send_directly(&self, order: Order, actor_ref: WeakActorRef<Self>) {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let report = order.execute(&shared.platform, &shared.meter).await;
            tell(&actor_ref, Event::Reported(report)).await;
        });
    }

    fn send_through(
        &self,
        node: SocketAddr,
        orders: Vec<(u64, Order)>,
        actor_ref: WeakActorRef<Self>,
    ) {
        let shared = self.shared.clone();
        let epoch = self.engine.epoch();
        let numbers: Vec<u64> = orders.iter().map(|(number, _)| *number).collect();
        let orders = Request::Orders(Orders {
            epoch,
            owner: shared.address,
            orders,
        });
        tokio::spawn(async move {
            let answer = message::send(&shared.rpc, node, &orders, ORDERS_TIMEOUT).await;
            let failure = match answer {
                Ok(Reply::Ack) => return,
                Ok(Reply::NotOwner {
                    claim: Some(claim), ..
                }) => {
                    shared.fence_earlier_owners(claim.epoch);
                    Failure::Unsent
                }
                Ok(_) => Failure::Unsent,
                Err(error) if error.not_run() => Failure::Unsent,
                Err(_) => Failure::Unanswered,
            };
            tell(&actor_ref, Event::DelegationFailed(node, failure, numbers)).await;
        });
    }

    /// Handles the results of orders that other nodes sent.
    pub(super) fn handle_reports(&mut self, reports: Reports) {
        if reports.epoch != self.engine.epoch() {
            return;
        }
        for (number, report) in reports.reports {
            if self.delegated.complete(number) {
                self.handle_report(report);
            }
        }
    }

    pub(super) fn handle_delegation_failure(
        &mut self,
        node: SocketAddr,
        failure: Failure,
        numbers: &[u64],
    ) {
        if self.assignment.avoid(node) {
            slog::warn!(self.shared.log, "orders-not-given"; "node" => %node,
                "orders" => numbers.len(), "why" => failure.as_str());
        }
        let reports = match failure {
            Failure::Unsent => self.delegated.unsent(numbers),
            Failure::Unanswered => self.delegated.unanswered(numbers),
        };
        for report in reports {
            self.handle_report(report);
        }
    }

    pub(super) fn handle_report(&mut self, report: Report) {
        let now = self.now;
        let engine = &mut self.engine;
        match report {
            Report::Started(worker, task, run, answer) => {
                engine.handle_start_answer(&worker, task, run, answer, now);
            }
            Report::Stopped(worker, task, run, answer) => {
                engine.handle_stop_answer(&worker, task, run, answer, now);
            }
            Report::Throttled(worker, task, run, percent, answer) => {
                engine.handle_throttle_answer(&worker, task, run, percent, answer, now);
            }
            Report::Inventory(worker, sent_at, answer) => {
                engine.handle_heartbeat_answer(&worker, sent_at, answer, now)
            }
        }
    }
}
