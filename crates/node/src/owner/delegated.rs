//! Tracks the orders that other nodes send on behalf of the owner, until they are reported on.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use fulmarpier_state::alias::HashMap;
use tokio::time::Instant;

use crate::order::{
    Order,
    Report, //
};

/// How much longer than the order itself its report may take: the call to the node and the call
/// back each time out after 0.3 s.
const REPORT_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Orders sent by other nodes that have not been reported on.
#[derive(Debug, Default)]
pub(crate) struct DelegatedOrders {
    last_number: u64,
    orders: HashMap<u64, Order>,
    deadlines: BTreeSet<(Instant, u64)>,
}

impl DelegatedOrders {
    /// Adds an order; returns its number.
    pub(crate) fn add(&mut self, order: Order) -> u64 {
        self.last_number += 1;
        let due = Instant::now() + order.timeout() + REPORT_TIMEOUT_MARGIN;
        self.deadlines.insert((due, self.last_number));
        self.orders.insert(self.last_number, order);
        self.last_number
    }

    /// Removes an order that was reported on; returns false if no report on it was expected any
    /// more.
    pub(crate) fn complete(&mut self, number: u64) -> bool {
        self.orders.remove(&number).is_some()
    }

    /// Removes orders that were certainly never sent; returns the reports that say so.
    pub(crate) fn unsent(&mut self, numbers: &[u64]) -> Vec<Report> {
        let orders = numbers.iter().filter_map(|n| self.orders.remove(n));
        orders.map(|order| order.unsent_report()).collect()
    }

    /// Removes orders whose outcome nobody knows; returns the reports that say so.
    pub(crate) fn unanswered(&mut self, numbers: &[u64]) -> Vec<Report> {
        let orders = numbers.iter().filter_map(|n| self.orders.remove(n));
        orders.map(|order| order.unanswered_report()).collect()
    }

    /// Removes orders whose reports are overdue; returns reports that say that the outcome is
    /// unknown.
    pub(crate) fn overdue(&mut self) -> Vec<Report> {
        let now = Instant::now();
        let mut reports = Vec::new();
        while let Some((due, number)) = self.deadlines.first().copied()
            && due <= now
        {
            self.deadlines.pop_first();
            if let Some(order) = self.orders.remove(&number) {
                reports.push(order.unanswered_report());
            }
        }
        reports
    }
}
