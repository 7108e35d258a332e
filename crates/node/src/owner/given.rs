//! Orders that other nodes give on behalf of the owner, until they are reported on.

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

/// How much longer than it takes a report may take: the call to the node and the call back, each given
/// up after 0.3 s.
const SLACK: Duration = Duration::from_millis(600);

/// The orders that are out.
#[derive(Debug, Default)]
pub(crate) struct Given {
    last: u64,
    orders: HashMap<u64, Order>,
    due: BTreeSet<(Instant, u64)>,
}

impl Given {
    /// Notes that an order is out; returns its number.
    pub(crate) fn add(&mut self, order: Order) -> u64 {
        self.last += 1;
        let due = Instant::now() + order.patience() + SLACK;
        self.due.insert((due, self.last));
        self.orders.insert(self.last, order);
        self.last
    }

    /// Notes that an order is reported on; false where it is not waited for any more.
    pub(crate) fn settle(&mut self, number: u64) -> bool {
        self.orders.remove(&number).is_some()
    }

    /// Returns what came of orders that certainly never left.
    pub(crate) fn unsent(&mut self, numbers: &[u64]) -> Vec<Report> {
        let orders = numbers.iter().filter_map(|n| self.orders.remove(n));
        orders.map(|order| order.unsent()).collect()
    }

    /// Returns what came of orders that nobody can tell of.
    pub(crate) fn unanswered(&mut self, numbers: &[u64]) -> Vec<Report> {
        let orders = numbers.iter().filter_map(|n| self.orders.remove(n));
        orders.map(|order| order.unanswered()).collect()
    }

    /// Returns what came of orders whose reports are overdue.
    pub(crate) fn overdue(&mut self) -> Vec<Report> {
        let now = Instant::now();
        let mut reports = Vec::new();
        while let Some((due, number)) = self.due.first().copied()
            && due <= now
        {
            self.due.pop_first();
            if let Some(order) = self.orders.remove(&number) {
                reports.push(order.unanswered());
            }
        }
        reports
    }
}
