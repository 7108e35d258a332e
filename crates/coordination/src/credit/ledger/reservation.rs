//! Slots that the owner hands out one by one, for non-idempotent requests.

use fulmarpier_state::{
    clock::Timestamp,
    name::Service, //
};

use super::{
    Ledger,
    Stock, //
};
use crate::platform::target::{
    self,
    Target, //
};

/// By how much the peak of reservations falls with each statement, as a divisor.
const DECAY: u32 = 64;
/// The scale of the peak, so that it falls smoothly.
const SCALE: u32 = 256;

/// One slot of a target for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a reservation is released, or it stays until its deadline"]
pub struct Reservation {
    /// The number by which it is released.
    pub ticket: u64,
    /// The target and where it listens.
    pub target: Target,
}

/// What is known of a reserved slot at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// Nothing runs in it.
    Free,
    /// The request may still run in it.
    Unknown,
}

/// The recent peak of reservations of a service, for which slots are kept out of the gates' hands.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    scaled: u32,
}

impl Headroom {
    /// Notes that so many reservations are in use or wanted at once.
    fn note(&mut self, used: u32) {
        self.scaled = self
            .scaled
            .max(used.saturating_add(1).saturating_mul(SCALE));
    }

    /// Returns how many free slots to keep while so many are in use.
    pub(super) const fn wanted(&self, used: u32) -> u32 {
        (self.scaled / SCALE).saturating_sub(used)
    }

    /// Lets the peak fall a little.
    pub(super) const fn decay(&mut self) {
        self.scaled -= self.scaled.div_ceil(DECAY);
    }
}

impl Ledger {
    /// Reserves a free slot of a service until it is released, at the latest until `deadline`.
    ///
    /// After the deadline the slot is in doubt and comes back by an inventory. Returns `None` where
    /// gates hold all slots; the ledger then keeps some back from its next replies on.
    ///
    /// See also [`Self::release`].
    pub fn reserve(&mut self, service: &Service, deadline: Timestamp) -> Option<Reservation> {
        let used = self.reserved(service);
        let headroom = self.headroom.entry(service.clone()).or_default();
        headroom.note(used.saturating_add(1));
        let id = self.freest(service)?;
        let ticket = self.next_ticket;
        let stock = self.stocks.get_mut(&id)?;
        stock.reserved.insert(ticket, deadline);
        self.next_ticket += 1;
        let target = stock.target;
        Some(Reservation { ticket, target })
    }

    /// Ends a reservation; returns whether it was known.
    ///
    /// See also [`Self::reserve`].
    pub fn release(&mut self, ticket: u64, release: Release, now: Timestamp) -> bool {
        let settle = self.terms.settle;
        let holder = |stock: &&mut Stock| stock.reserved.contains_key(&ticket);
        let Some(stock) = self.stocks.values_mut().find(holder) else {
            return false;
        };
        stock.reserved.remove(&ticket);
        if release == Release::Unknown {
            stock.doubt.add(1, now + settle);
        }
        true
    }

    /// Returns how many slots of a service are reserved.
    pub(super) fn reserved(&self, service: &Service) -> u32 {
        let counts = self
            .of_service(service)
            .map(|(_, stock)| stock.reserved.len());
        u32::try_from(counts.sum::<usize>()).unwrap_or(u32::MAX)
    }

    fn freest(&self, service: &Service) -> Option<target::Id> {
        let free = |id: &target::Id| self.free(*id);
        let ids = self.of_service(service).map(|(id, _)| *id);
        ids.filter(|id| free(id) > 0).max_by_key(free)
    }
}
