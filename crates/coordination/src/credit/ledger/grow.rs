//! Deciding how many slots of which target a gate gets.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
};

use fulmarpier_state::{
    clock::Timestamp,
    id::NodeId,
    name::Service, //
};

use super::{
    Ledger,
    share, //
};
use crate::platform::target;

/// The part of a service's targets that may be quiet at once, as a divisor; at least one may.
const QUIET_PART: usize = 8;

/// How much of each target a gate gets.
type Totals = BTreeMap<target::Id, u16>;

impl Ledger {
    /// Returns how many slots of each target the gate gets, as totals.
    ///
    /// What it has stays where it is, unless another gate is short and this one has more than its
    /// share.
    pub(super) fn allot(&self, gate: NodeId) -> Totals {
        let Some(account) = self.accounts.get(&gate) else {
            return Totals::new();
        };
        let usable = |id: &target::Id| self.stocks.get(id).is_some_and(|stock| stock.usable() > 0);
        let mut totals: Totals = account.held.clone();
        totals.retain(|id, _| usable(id));
        let mut services: BTreeSet<&Service> = account.wanted.keys().collect();
        services.extend(totals.keys().map(|id| &self.stocks[id].service));
        for service in services {
            self.allot_service(gate, service, &mut totals);
        }
        totals
    }

    /// Returns the slots of a target that nobody has.
    pub(super) fn free(&self, target: target::Id) -> u16 {
        let usable = self.stocks.get(&target).map_or(0, |stock| stock.usable());
        usable.saturating_sub(self.held(target))
    }

    /// Asks gates to leave some targets whose slots have long been in doubt, so that an inventory
    /// shows exactly what still runs there.
    pub(super) fn quiet_stuck(&mut self, now: Timestamp) {
        let stuck = |(id, stock): (&target::Id, &super::Stock)| {
            stock.is_stuck(now).then(|| (*id, stock.service.clone()))
        };
        let stuck: Vec<_> = self.stocks.iter().filter_map(stuck).collect();
        for (id, service) in stuck {
            let all = self.of_service(&service).count();
            let quiet = self
                .of_service(&service)
                .filter(|(_, stock)| stock.quiet)
                .count();
            let may = quiet < (all / QUIET_PART).max(1);
            if let Some(stock) = self.stocks.get_mut(&id) {
                stock.quiet = may;
            }
        }
    }

    fn allot_service(&self, gate: NodeId, service: &Service, totals: &mut Totals) {
        let has: u64 = self.sum_of_service(service, totals);
        let (gets, contended) = self.entitlement(gate, service);
        if has < gets {
            self.grow(service, gets - has, totals);
        } else if contended {
            self.shrink(service, has - gets, totals);
        }
    }

    /// Returns how many slots of the service the gate should have, and whether there are too few.
    fn entitlement(&self, gate: NodeId, service: &Service) -> (u64, bool) {
        let capacity: u64 = self
            .of_service(service)
            .map(|(_, stock)| u64::from(stock.usable()))
            .sum();
        let want =
            |account: &super::Account| account.wanted.get(service).map_or(0, |n| u64::from(*n));
        let wanted: Vec<u64> = self.accounts.values().map(want).collect();
        let place = self.accounts.keys().position(|id| *id == gate);
        let parts = share::divide(capacity, &wanted);
        let contended = wanted.iter().sum::<u64>() > capacity;
        (place.map_or(0, |place| parts[place]), contended)
    }

    fn sum_of_service(&self, service: &Service, totals: &Totals) -> u64 {
        let in_service = |(id, _): &(&target::Id, &u16)| self.stocks[*id].service == *service;
        totals
            .iter()
            .filter(in_service)
            .map(|(_, slots)| u64::from(*slots))
            .sum()
    }

    /// Adds free slots one by one, each on the target with the most that are free.
    fn grow(&self, service: &Service, count: u64, totals: &mut Totals) {
        let mut free: Vec<(u16, target::Id)> = self
            .of_service(service)
            .map(|(id, _)| (self.free(*id), *id))
            .collect();
        let sum: u64 = free.iter().map(|(free, _)| u64::from(*free)).sum();
        let count = count.min(sum);
        for _ in 0..count {
            let preference = |(free, id): &&mut (u16, target::Id)| {
                (*free, Reverse(totals.get(id).copied().unwrap_or(0)))
            };
            let Some((left, id)) = free.iter_mut().max_by_key(preference) else {
                return;
            };
            *left -= 1;
            *totals.entry(*id).or_default() += 1;
        }
    }

    /// Takes slots one by one, each from the target of which the gate has the most.
    fn shrink(&self, service: &Service, count: u64, totals: &mut Totals) {
        for _ in 0..count {
            let in_service =
                |(id, _): &(&target::Id, &mut u16)| self.stocks[*id].service == *service;
            let most = totals
                .iter_mut()
                .filter(in_service)
                .max_by_key(|(_, slots)| **slots);
            let Some((id, slots)) = most else {
                return;
            };
            let id = *id;
            *slots -= 1;
            if *slots == 0 {
                totals.remove(&id);
            }
        }
    }
}
