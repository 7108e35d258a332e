//! The owner's side: which gate holds which slots.

mod account;
mod doubt;
mod grow;
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

pub use self::account::Ignored;
use self::{
    account::Account,
    doubt::Origin,
    stock::Stock, //
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
/// For each target, what gates hold and what is in doubt never pass its slots.
/// The sched uses it only while it is the active owner; on losing a shard it removes the shard's
/// targets.
#[derive(Debug)]
pub struct Ledger {
    terms: Terms,
    stocks: BTreeMap<target::Id, Stock>,
    accounts: BTreeMap<NodeId, Account>,
}

impl Ledger {
    /// Makes a ledger without targets.
    pub const fn new(terms: Terms) -> Self {
        Self {
            terms,
            stocks: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Adds a target that this owner started itself, so that nobody else holds any of it.
    ///
    /// One that is there stays as it is, apart from an end that turns out not to be one.
    ///
    /// See also [`Self::adopt`].
    pub fn add(&mut self, service: Service, target: Target, epoch: Epoch, slots: u16) {
        let fresh = || Stock::new(service, target, epoch, slots);
        let stock = self.stocks.entry(target.id).or_insert_with(fresh);
        stock.ended_at = None;
    }

    /// Takes over a target that an earlier owner started and whose slots may be held by anyone.
    ///
    /// All slots are in doubt. A gate that states what it holds goes on with it at once; the rest
    /// comes back after the credits of the earlier owner have lapsed, by an inventory. One that is
    /// there under the same epoch stays as it is.
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
        if self
            .stocks
            .get(&target.id)
            .is_some_and(|stock| stock.epoch == epoch)
        {
            return;
        }
        self.forget(target.id);
        let mut stock = Stock::new(service, target, epoch, slots);
        stock.recover(now + self.terms.owner_lease() + self.terms.settle);
        self.stocks.insert(target.id, stock);
    }

    /// Gives out nothing more of a target, whose worker or task is leaving; gates are told with
    /// their next reply.
    ///
    /// See also [`Self::offer`].
    pub fn withdraw(&mut self, target: target::Id) {
        self.set_leaving(target, true);
    }

    /// Gives slots of a target out again that was withdrawn.
    ///
    /// See also [`Self::withdraw`].
    pub fn offer(&mut self, target: target::Id) {
        self.set_leaving(target, false);
    }

    /// Notes that a target has ended; gates are told with their next reply.
    ///
    /// See also [`Self::forget`].
    pub fn end(&mut self, target: target::Id, now: Timestamp) {
        if let Some(stock) = self.stocks.get_mut(&target) {
            stock.ended_at = Some(now);
        }
    }

    /// Drops a target that this node no longer owns. Gates are not told: what they hold lasts until
    /// it lapses, or until the next owner renews it.
    ///
    /// See also [`Self::end`].
    pub fn forget(&mut self, target: target::Id) {
        self.stocks.remove(&target);
        for account in self.accounts.values_mut() {
            account.held.remove(&target);
        }
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
    /// `owned` says for which targets this node may act as the owner right now; of others, nothing
    /// is granted or renewed.
    ///
    /// # Errors
    ///
    /// [`Ignored`] where a later statement of the gate was answered before; the gate has given up on
    /// this one, so no answer is of use.
    pub fn sync(
        &mut self,
        statement: &Statement,
        owned: &dyn Fn(target::Id) -> bool,
        now: Timestamp,
    ) -> Result<Reply, Ignored> {
        for (id, stock) in &mut self.stocks {
            stock.suspended = !owned(*id);
        }
        self.tick(now);
        self.admit(statement, now)?;
        self.take_in(statement, now);
        let grants = self.answer(statement, now);
        Ok(Reply {
            sequence: statement.sequence,
            grants,
        })
    }

    /// Lets leases lapse.
    pub fn tick(&mut self, now: Timestamp) {
        let lapsed =
            |(gate, account): (&NodeId, &Account)| (account.expiry <= now).then_some(*gate);
        let gates: Vec<NodeId> = self.accounts.iter().filter_map(lapsed).collect();
        for gate in gates {
            self.close(gate, Origin::Gate(gate), now);
        }
        self.stocks.retain(|_, stock| !stock.is_over(now));
        self.quiet_stuck(now);
    }

    /// Returns how many slots of a target gates hold or are in doubt, together.
    pub fn committed(&self, target: target::Id) -> u32 {
        u32::from(self.held(target)) + u32::from(self.doubtful(target))
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

    fn set_leaving(&mut self, target: target::Id, leaving: bool) {
        if let Some(stock) = self.stocks.get_mut(&target) {
            stock.leaving = leaving;
        }
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
    fn close(&mut self, gate: NodeId, origin: Origin, now: Timestamp) {
        let Some(account) = self.accounts.remove(&gate) else {
            return;
        };
        let ready = account.expiry.max(now) + self.terms.settle;
        for (target, slots) in account.held {
            if let Some(stock) = self.stocks.get_mut(&target) {
                stock.doubt.add(slots, ready, origin);
            }
        }
    }

    /// Finds or makes the gate's account, unless the statement is out of order.
    fn admit(&mut self, statement: &Statement, now: Timestamp) -> Result<(), Ignored> {
        if let Some(account) = self.accounts.get(&statement.gate) {
            account.admit(statement)?;
            if account.incarnation < statement.incarnation {
                self.close(statement.gate, Origin::Nobody, now);
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
            let is_meant = |stock: &&mut Stock| stock.epoch == hold.epoch;
            let Some(stock) = self.stocks.get_mut(&hold.target).filter(is_meant) else {
                continue;
            };
            let known = before.get(&hold.target).copied().unwrap_or(0);
            let claimed = stock
                .doubt
                .claim(statement.gate, hold.slots.saturating_sub(known));
            let held = hold.slots.min(known + claimed);
            account.hold(hold.target, held);
            let abandoned = hold.abandoned.min(known.saturating_sub(held));
            stock.doubt.add(abandoned, ready, Origin::Nobody);
        }
    }

    /// Decides what the gate holds from now on.
    fn answer(&mut self, statement: &Statement, now: Timestamp) -> Vec<Grant> {
        let totals = self.allot(statement.gate);
        let lease = self.terms.lease;
        let mut grants = Vec::new();
        let owned = self.stocks.iter().filter(|(_, stock)| !stock.suspended);
        for (id, stock) in owned {
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
