//! The use of all teams.

use super::Limit;
use crate::{
    alias::HashMap,
    name::Team,
    resource::Resources, //
};

const SCALE: u128 = 1 << 40;
/// Shares below this are alike.
const LEAST_STEP: u128 = SCALE / 512;

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
}

/// The use of all teams against the capacity of the cell.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: Vec<Account>,
    slots: HashMap<Team, Slot>,
    total: Total,
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
        let account = &mut self.accounts[slot.0 as usize];
        account.limit = limit;
        account.configured = true;
        slot
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
        let account = &mut self.accounts[slot.0 as usize];
        if let Some(sum) = account.used.checked_add(size) {
            account.used = sum;
        }
    }

    /// Takes `size` off the team.
    pub fn credit(&mut self, slot: Slot, size: Resources) {
        let account = &mut self.accounts[slot.0 as usize];
        account.used = account.used.checked_sub(size).unwrap_or(Resources::ZERO);
    }

    /// Returns the step of the team's dominant share over its weight, the least being served first.
    ///
    /// The dominant share is the largest of its shares of each resource (dominant resource
    /// fairness, Ghodsi et al., 2011). A step is a doubling, and all shares below one 512th of the
    /// cell are alike: so teams with nearly the same use are served in order of their jobs' slack,
    /// and the tasks of one job are not torn apart for an exact balance.
    pub fn share(&self, slot: Slot) -> u64 {
        let account = self.account(slot);
        let part = |used: u128, total: u128| used * SCALE / total.max(1);
        let cpu = part(u128::from(account.used.cpu.0), self.total.cpu);
        let memory = part(u128::from(account.used.memory.0), self.total.memory);
        let accelerators = u128::from(account.used.accelerators);
        let accelerators = part(accelerators, self.total.accelerators);
        let dominant = cpu.max(memory).max(accelerators);
        let weight = u128::from(account.limit.weight.max(1));
        let weighted = dominant / weight;
        u64::from(
            (weighted / LEAST_STEP)
                .checked_ilog2()
                .map_or(0, |log| log + 1),
        )
    }

    /// Iterates over all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (Slot, &Account)> {
        let slots = (0..).map(Slot);
        slots.zip(self.accounts.iter())
    }
}
