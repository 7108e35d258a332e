//! The use of all teams.

use super::Limit;
use crate::{
    alias::HashMap,
    name::Team,
    resource::Resources, //
};

const SCALE: u128 = 1 << 40;

/// The position of a team in the ledger; stable for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u32);

/// One team's limit and use.
#[derive(Clone, Debug)]
pub struct Account {
    /// The team.
    pub team: Team,
    /// What it may use.
    pub limit: Limit,
    /// Whether the configuration names the team.
    pub configured: bool,
    /// What its tasks hold.
    pub used: Resources,
    /// Whether it has jobs in the queue.
    pub waits: bool,
}

impl Account {
    fn weight(&self) -> u128 {
        u128::from(self.limit.weight.max(1))
    }

    /// Returns what the team adds to the sum of weights.
    fn claim(&self) -> u128 {
        match self.used.is_zero() && !self.waits {
            true => 0,
            false => self.weight(),
        }
    }
}

/// The use of all teams against the capacity of the cell.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Vec<Account>,
    slots: HashMap<Team, Slot>,
    total: Total,
    /// The weights of the teams that hold something or wait.
    weights: u128,
}

/// The capacity of all workers; wider than [`Resources`] so that large cells can't overflow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Total {
    cpu: u128,
    memory: u128,
    accelerators: u128,
}

impl Ledger {
    /// Returns the slot of a team, opening an account with `default` where there is none.
    pub fn slot(&mut self, team: &Team, default: Limit) -> Slot {
        if let Some(slot) = self.slots.get(team) {
            return *slot;
        }
        let slot = Slot(u32::try_from(self.accounts.len()).unwrap_or(u32::MAX));
        self.accounts.push(Account {
            team: team.clone(),
            limit: default,
            configured: false,
            used: Resources::ZERO,
            waits: false,
        });
        self.slots.insert(team.clone(), slot);
        slot
    }

    /// Returns the slot of a team that has an account.
    pub fn find(&self, team: &Team) -> Option<Slot> {
        self.slots.get(team).copied()
    }

    /// Returns the account of a slot.
    pub fn account(&self, slot: Slot) -> &Account {
        &self.accounts[slot.0 as usize]
    }

    /// Sets the limit of a team.
    pub fn configure(&mut self, team: &Team, limit: Limit) -> Slot {
        let slot = self.slot(team, limit);
        self.change(slot, |account| {
            account.limit = limit;
            account.configured = true;
        });
        slot
    }

    /// Notes whether a team has jobs in the queue.
    pub fn set_waits(&mut self, slot: Slot, waits: bool) {
        if self.account(slot).waits != waits {
            self.change(slot, |account| account.waits = waits);
        }
    }

    /// Adds the capacity of a worker to the cell.
    pub fn grow(&mut self, capacity: Resources) {
        self.total.cpu += u128::from(capacity.cpu.0);
        self.total.memory += u128::from(capacity.memory.0);
        self.total.accelerators += u128::from(capacity.accelerators);
    }

    /// Takes the capacity of a worker from the cell.
    pub fn shrink(&mut self, capacity: Resources) {
        let total = &mut self.total;
        total.cpu = total.cpu.saturating_sub(u128::from(capacity.cpu.0));
        total.memory = total.memory.saturating_sub(u128::from(capacity.memory.0));
        let accelerators = u128::from(capacity.accelerators);
        total.accelerators = total.accelerators.saturating_sub(accelerators);
    }

    /// Returns whether the team may hold `size` more.
    pub fn admits(&self, slot: Slot, size: Resources) -> bool {
        let account = self.account(slot);
        account.limit.admits(account.used, size)
    }

    /// Books `size` on the team.
    pub fn charge(&mut self, slot: Slot, size: Resources) {
        let used = self.account(slot).used;
        self.set_used(slot, used.checked_add(size).unwrap_or(used));
    }

    /// Takes `size` off the team.
    pub fn credit(&mut self, slot: Slot, size: Resources) {
        let used = self.account(slot).used;
        self.set_used(slot, used.checked_sub(size).unwrap_or(Resources::ZERO));
    }

    fn set_used(&mut self, slot: Slot, used: Resources) {
        self.change(slot, |account| account.used = used);
    }

    /// Changes an account and keeps the sum of the weights.
    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut Account)) {
        let account = &mut self.accounts[slot.0 as usize];
        let before = account.claim();
        change(account);
        let after = account.claim();
        self.weights = (self.weights + after).saturating_sub(before);
    }

    /// Returns the step of the team's dominant share, the least being served first.
    ///
    /// The dominant share is the largest of its shares of each resource (dominant resource
    /// fairness, Ghodsi et al., 2011). Up to the team's allowance the step is zero, and from there
    /// on it rises by one for each doubling. So teams within their allowance are served in order
    /// of their jobs' slack and not torn apart for an exact balance, while a team that floods the
    /// queue yields to them.
    pub fn share(&self, slot: Slot) -> u64 {
        let account = self.account(slot);
        let dominant = self.dominant(account.used);
        let excess = dominant.div_ceil(self.allowance(account).max(1));
        match excess {
            0 | 1 => 0,
            excess => u64::from((excess - 1).ilog2()) + 1,
        }
    }

    /// Returns the largest of the parts of each resource of the cell that a team holds: 1.0 where it holds all of one.
    pub fn dominant_share(&self, slot: Slot) -> f64 {
        self.dominant(self.account(slot).used) as f64 / SCALE as f64
    }

    /// Returns the share that a team may hold before it yields, as a fraction of [`SCALE`].
    ///
    /// It is twice the team's part by weight, but leaves at least half of what the others' parts
    /// come to.
    fn allowance(&self, account: &Account) -> u128 {
        let weight = account.weight();
        let part = weight * SCALE / self.weights.max(weight);
        part + part.min((SCALE - part) / 2)
    }

    /// Returns the largest of the shares of each resource, as a fraction of [`SCALE`].
    fn dominant(&self, used: Resources) -> u128 {
        let part = |used: u128, total: u128| used * SCALE / total.max(1);
        let cpu = part(u128::from(used.cpu.0), self.total.cpu);
        let memory = part(u128::from(used.memory.0), self.total.memory);
        let accelerators = part(u128::from(used.accelerators), self.total.accelerators);
        cpu.max(memory).max(accelerators)
    }

    /// Iterates over all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (Slot, &Account)> {
        let slots = (0..).map(Slot);
        slots.zip(self.accounts.iter())
    }
}
