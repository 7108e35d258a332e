//! What the lock of the pool guards: the balance and the queues.

use fulmarpier_coordination::credit::{
    Balance,
    End, //
};
use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    name::Service, //
};

use super::{
    lane::Lane,
    pool::Ask, //
};

/// The slots held and the queues of those who wait for them.
#[derive(Debug)]
pub(super) struct State {
    pub(super) balance: Balance,
    pub(super) lanes: HashMap<Service, Lane>,
}

impl State {
    /// Returns the queue of the service that is asked for, made where there is none.
    pub(super) fn lane(&mut self, ask: &Ask) -> &mut Lane {
        self.lanes
            .entry(ask.service.clone())
            .or_insert_with(|| Lane::new(ask.limits))
    }

    /// Gives free slots of all services to those who wait.
    pub(super) fn serve_all(&mut self, now: Timestamp) {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let services: Vec<Service> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.serve(&service, now);
        }
    }

    /// Gives free slots of a service to those who wait.
    pub(super) fn serve(&mut self, service: &Service, now: Timestamp) {
        let Some(lane) = self.lanes.get_mut(service) else {
            return;
        };
        let before = lane.len();
        while !lane.is_empty() {
            let taken = self
                .balance
                .take_elsewhere(service, lane.refused_first(), now);
            let Ok(ticket) = taken else {
                break;
            };
            if let Some(unused) = lane.hand(ticket, now) {
                self.balance.put_back(unused, End::Unsent, now);
            }
        }
        if lane.len() != before {
            self.note_waiting(service);
        }
    }

    /// Tells the balance how many requests of a service wait.
    pub(super) fn note_waiting(&mut self, service: &Service) {
        let waiting = self.lanes.get(service).map_or(0, Lane::len);
        let count = u32::try_from(waiting).unwrap_or(u32::MAX);
        self.balance.wait(service, count);
    }
}
