//! The owner's side: which gate holds which slots.

mod account;
mod doubt;
mod grow;
mod reservation;
mod share;
mod stock;

use std::{
    collections::BTreeMap,
    fmt, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        NodeId, //
    },
    name::Service, //
};

use self::{
    account::Account,
    reservation::Headroom,
    stock::Stock, //
};
pub use self::{
    account::Ignored,
    reservation::{
        Release,
        Reservation, //
    },
};
use super::{
    Grant,
    Reply,
    Statement,
    Terms, //
};
use crate::platform::target::{
    self,
    Target, //
};

/// Which gate holds which slots of the targets that one sched owns.
///
/// For each target, what gates hold, what is in doubt and what is reserved never pass its slots.
/// The sched uses it only while it is the active owner; on losing a shard it removes the shard's
/// targets.
#[derive(Debug)]
pub struct Ledger {
    terms: Terms,
    stocks: BTreeMap<target::Id, Stock>,
    accounts: BTreeMap<NodeId, Account>,
    headroom: BTreeMap<Service, Headroom>,
    next_ticket: u64,
}

impl Ledger {
    /// Makes a ledger without targets.
    pub const fn new(terms: Terms) -> Self {
        Self {
            terms,
            stocks: BTreeMap::new(),
            accounts: BTreeMap::new(),
            headroom: BTreeMap::new(),
            next_ticket: 1,
        }
    }

    /// Adds a target that this owner started itself, so that nobody else holds any of it.
    ///
    /// See also [`Self::adopt`].
    pub fn add(&mut self, service: Service, target: Target, epoch: Epoch, slots: u16) {
        let stock = Stock::new(service, target, epoch, slots);
        self.stocks.entry(target.id).or_insert(stock);
    }

    /// Takes over a target that an earlier owner started and whose slots may be held by anyone.
    ///
    /// All slots are in doubt. A gate that states what it holds goes on with it at once; the rest
    /// comes back after the credits of the earlier owner have lapsed, by an inventory.
    ///
    /// See also [`Self::add`].
    pub fn adopt(
        &mut self,
        service: Service,
        target: Target,
        epoch: Epoch,
        slots: u16,
        now: Timestamp,
    ) {
        let mut stock = Stock::new(service, target, epoch, slots);
        let ready = now + self.terms.owner_lease() + self.terms.settle;
        stock.recover(ready);
        self.stocks.insert(target.id, stock);
    }

    /// Gives out nothing more of a target, whose worker or task is leaving; gates are told with
    /// their next reply.
    pub fn withdraw(&mut self, target: target::Id) {
        if let Some(stock) = self.stocks.get_mut(&target) {
            stock.leaving = true;
        }
    }

    /// Forgets a target that has ended or is owned by another sched.
    pub fn remove(&mut self, target: target::Id) {
        self.stocks.remove(&target);
        for account in self.accounts.values_mut() {
            account.held.remove(&target);
        }
    }

    /// Returns the targets in the ledger.
    pub fn targets(&self) -> impl Iterator<Item = target::Id> + '_ {
        self.stocks.keys().copied()
    }

    /// Takes in how many slots of a target were busy, by an inventory asked for at `asked_at`.
    pub fn inventory(&mut self, target: target::Id, busy: u16, asked_at: Timestamp) {
        let idle = self.held(target) == 0;
        if let Some(stock) = self.stocks.get_mut(&target) {
            stock.evidence(busy, asked_at, idle);
        }
    }

    /// Takes in a statement and answers it.
    ///
    /// # Errors
    ///
    /// [`Ignored`] where a later statement of the gate was answered before; the gate has given up on
    /// this one, so no answer is of use.
    pub fn sync(&mut self, statement: &Statement, now: Timestamp) -> Result<Reply, Ignored> {
        self.tick(now);
        self.admit(statement, now)?;
        self.take_in(statement, now);
        let grants = self.answer(statement, now);
        Ok(Reply {
            sequence: statement.sequence,
            grants,
        })
    }

    /// Lets leases and reservations lapse.
    pub fn tick(&mut self, now: Timestamp) {
        let lapsed =
            |(gate, account): (&NodeId, &Account)| (account.expiry <= now).then_some(*gate);
        let gates: Vec<NodeId> = self.accounts.iter().filter_map(lapsed).collect();
        for gate in gates {
            self.close(gate, now);
        }
        let settle = self.terms.settle;
        for stock in self.stocks.values_mut() {
            stock.lapse(now, settle);
        }
        self.quiet_stuck(now);
    }

    /// Returns how many slots of a target gates hold, are in doubt and are reserved, together.
    pub fn committed(&self, target: target::Id) -> u32 {
        let rest = self.stocks.get(&target).map_or(0, Stock::withheld);
        u32::from(self.held(target)) + u32::from(rest)
    }

    /// Returns how many slots of a target are in doubt.
    pub fn doubtful(&self, target: target::Id) -> u16 {
        self.stocks
            .get(&target)
            .map_or(0, |stock| stock.doubt.total())
    }

    /// Returns how many slots of a target gates hold.
    pub fn held(&self, target: target::Id) -> u16 {
        let held = |account: &Account| account.held(target);
        self.accounts.values().map(held).sum()
    }

    /// Returns the targets of a service with their slots.
    fn of_service<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (&'a target::Id, &'a Stock)> + 'a {
        let matches = move |entry: &(&target::Id, &Stock)| entry.1.service == *service;
        self.stocks.iter().filter(matches)
    }

    /// Moves everything that a gate holds into doubt.
    fn close(&mut self, gate: NodeId, now: Timestamp) {
        let Some(account) = self.accounts.remove(&gate) else {
            return;
        };
        let ready = account.expiry.max(now) + self.terms.settle;
        for (target, slots) in account.held {
            if let Some(stock) = self.stocks.get_mut(&target) {
                stock.doubt.add(slots, ready);
            }
        }
    }

    /// Finds or makes the gate's account, unless the statement is out of order.
    fn admit(&mut self, statement: &Statement, now: Timestamp) -> Result<(), Ignored> {
        if let Some(account) = self.accounts.get(&statement.gate) {
            account.admit(statement)?;
            if account.incarnation < statement.incarnation {
                self.close(statement.gate, now);
            }
        }
        let fresh = || Account::new(statement.incarnation);
        let account = self.accounts.entry(statement.gate).or_insert_with(fresh);
        account.sequence = statement.sequence;
        account.expiry = now + self.terms.owner_lease();
        Ok(())
    }

    /// Sets what the gate holds to what it states, as far as it can be covered.
    fn take_in(&mut self, statement: &Statement, now: Timestamp) {
        let Some(account) = self.accounts.get_mut(&statement.gate) else {
            return;
        };
        account.demand(statement);
        let before = std::mem::take(&mut account.held);
        let ready = now + self.terms.settle;
        for hold in &statement.holds {
            let Some(stock) = self.stocks.get_mut(&hold.target) else {
                continue;
            };
            let known = before.get(&hold.target).copied().unwrap_or(0);
            let claimed = stock.doubt.take(hold.slots.saturating_sub(known));
            let held = hold.slots.min(known + claimed);
            account.hold(hold.target, held);
            stock
                .doubt
                .add(hold.abandoned.min(known.saturating_sub(held)), ready);
        }
    }

    /// Decides what the gate holds from now on.
    fn answer(&mut self, statement: &Statement, now: Timestamp) -> Vec<Grant> {
        self.decay_headroom();
        let totals = self.allot(statement.gate);
        let lease = self.terms.lease;
        let mut grants = Vec::new();
        for (id, stock) in &self.stocks {
            let slots = totals.get(id).copied().unwrap_or(0);
            let stated = statement.holds.iter().any(|hold| hold.target == *id);
            if slots > 0 || stated || stock.is_recovering(now) {
                grants.push(stock.grant(slots, lease));
            }
        }
        if let Some(account) = self.accounts.get_mut(&statement.gate) {
            for (id, slots) in totals {
                account.raise(id, slots);
            }
        }
        grants
    }
}

impl fmt::Display for Ledger {
    /// Writes one line for each target, for reports.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (id, stock) in &self.stocks {
            let held = self.held(*id);
            writeln!(f, "{id} held={held} {stock}")?;
        }
        Ok(())
    }
}
