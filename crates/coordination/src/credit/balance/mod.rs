//! The gate's side: which slots it may fill.

mod entry;
mod need;
mod penalty;
mod pool;

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    id::{
        Epoch,
        Incarnation,
        NodeId, //
    },
    name::Service, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};

use self::{
    entry::Entry,
    pool::Pool, //
};
use super::{
    Demand,
    Grant,
    Hold,
    Reply,
    Statement, //
};
use crate::platform::target::{
    self,
    Target, //
};

/// An owner that hasn't answered for so long is not counted on for slots.
const SILENT: Duration = Duration::from_secs(5);
/// What is kept over the wanted count before slots are given back, as a divisor of it.
const SURPLUS: u32 = 4;

/// A slot of a target, taken for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "a ticket is put back when the request is over"]
pub struct Ticket {
    /// The service of the request.
    pub service: Service,
    /// The target to send it to.
    pub target: Target,
    /// The request must have been sent before this, or not be sent at all.
    pub expiry: Timestamp,
    /// The epoch under which the slot was granted.
    epoch: Epoch,
}

/// How a request that had a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer came.
    Answered,
    /// It was never sent, for a reason that has nothing to do with the target.
    Unsent,
    /// The target refused the connection or turned the request away, so nothing runs there.
    Refused,
    /// Something was sent and no whole answer came; the request may still run there.
    Unknown,
}

/// Why there is no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Short {
    /// No target of the service is known.
    #[error("no target of the service is known")]
    NoTarget,
    /// All slots that the gate holds are in use or have lapsed.
    #[error("all slots that the gate holds are in use")]
    Full,
}

/// An owner that was asked.
#[derive(Clone, Debug)]
struct Owner {
    /// The statement under way.
    pending: Option<Pending>,
    /// When the last statement that it answered was made, or when it was first asked.
    heard_at: Timestamp,
}

/// A statement under way.
#[derive(Clone, Debug)]
struct Pending {
    sequence: u64,
    sent_at: Timestamp,
    listed: Vec<target::Id>,
}

/// The slots that a gate may fill, by service and target.
///
/// After a restart a gate starts with an empty balance; what its former life held comes back to the
/// owners by their inventories.
///
/// # Examples
///
/// ```
/// use fulmarpier_coordination::credit::{Balance, Short};
/// use fulmarpier_state::{clock::Timestamp, id::{Incarnation, NodeId}};
///
/// let mut balance = Balance::new(NodeId(1), Incarnation(1), 7);
/// let service = "desk".parse().expect("the name is accepted");
/// assert_eq!(balance.take(&service, Timestamp::ZERO), Err(Short::NoTarget));
/// ```
#[derive(Debug)]
pub struct Balance {
    gate: NodeId,
    incarnation: Incarnation,
    rng: SmallRng,
    sequence: u64,
    pools: BTreeMap<Service, Pool>,
    /// The service of each target.
    services: HashMap<target::Id, Service>,
    /// The owners that were asked lately.
    owners: BTreeMap<NodeId, Owner>,
}

impl Balance {
    /// Makes an empty balance; `seed` decides the order in which targets are picked.
    pub fn new(gate: NodeId, incarnation: Incarnation, seed: u64) -> Self {
        Self {
            gate,
            incarnation,
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
            pools: BTreeMap::new(),
            services: HashMap::default(),
            owners: BTreeMap::new(),
        }
    }

    /// Makes a service known, so that a few slots are held before its first request.
    pub fn expect(&mut self, service: &Service) {
        self.pools.entry(service.clone()).or_default();
    }

    /// Takes a slot for a request of the service.
    ///
    /// # Errors
    ///
    /// [`Short`] where there is none; the request waits or is refused, and the next statements should
    /// be made ahead of time.
    ///
    /// See also [`Self::put_back`].
    pub fn take(&mut self, service: &Service, now: Timestamp) -> Result<Ticket, Short> {
        self.take_elsewhere(service, &[], now)
    }

    /// Takes a slot for a request that some targets have refused: on another one, while one is live.
    ///
    /// # Errors
    ///
    /// As for [`Self::take`].
    pub fn take_elsewhere(
        &mut self,
        service: &Service,
        refused: &[target::Id],
        now: Timestamp,
    ) -> Result<Ticket, Short> {
        let Some(pool) = self.pools.get_mut(service) else {
            self.expect(service);
            return Err(Short::NoTarget);
        };
        let none = if pool.is_empty() {
            Short::NoTarget
        } else {
            Short::Full
        };
        let Some(entry) = pool.pick(refused, &mut self.rng, now) else {
            return Err(none);
        };
        entry.take();
        let ticket = Ticket {
            service: service.clone(),
            target: entry.target,
            expiry: entry.expiry,
            epoch: entry.epoch,
        };
        pool.need.take();
        Ok(ticket)
    }

    /// Puts a slot back when its request is over.
    ///
    /// See also [`Self::take`].
    pub fn put_back(&mut self, ticket: Ticket, end: End, now: Timestamp) {
        let Some(pool) = self.pools.get_mut(&ticket.service) else {
            return;
        };
        pool.need.put_back();
        let Some(entry) = pool.find_mut(ticket.target.id) else {
            return;
        };
        entry.put_back(ticket.epoch, end, now);
    }

    /// Notes how many requests of the service wait for a slot.
    pub fn wait(&mut self, service: &Service, count: u32) {
        let pool = self.pools.entry(service.clone()).or_default();
        pool.need.wait(count);
    }

    /// Returns how many slots of a service are held and how many of them are in use.
    pub fn usage(&self, service: &Service, now: Timestamp) -> (u32, u32) {
        let pool = self.pools.get(service);
        pool.map_or((0, 0), |pool| (pool.held(None, now), pool.need.in_use))
    }

    /// Returns how many requests are in flight on a target.
    pub fn in_flight(&self, target: target::Id) -> u16 {
        let entry = self
            .services
            .get(&target)
            .and_then(|service| self.pools.get(service)?.find(target));
        entry.map_or(0, |entry| entry.in_use)
    }

    /// Makes the statement for one owner, and gives up on an earlier one that is under way.
    ///
    /// It must be made right before it is sent: the leases in its reply count from `now`.
    ///
    /// See also [`Self::apply`].
    pub fn state(&mut self, owner: NodeId, draining: bool, now: Timestamp) -> Statement {
        self.forget_stale(now);
        self.sequence += 1;
        let fresh = || Owner {
            pending: None,
            heard_at: now,
        };
        self.owners.entry(owner).or_insert_with(fresh);
        let demands = self.demand(owner, draining, now);
        let holds = self.holds(owner);
        let pending = Pending {
            sequence: self.sequence,
            sent_at: now,
            listed: holds.iter().map(|hold| hold.target).collect(),
        };
        if let Some(asked) = self.owners.get_mut(&owner) {
            asked.pending = Some(pending);
        }
        Statement {
            gate: self.gate,
            incarnation: self.incarnation,
            sequence: self.sequence,
            demands,
            holds,
            draining,
        }
    }

    /// Applies the reply to the statement under way; returns whether it was that.
    ///
    /// See also [`Self::state`].
    pub fn apply(&mut self, owner: NodeId, reply: &Reply, now: Timestamp) -> bool {
        let Some(asked) = self.owners.get_mut(&owner) else {
            return false;
        };
        let answered = |pending: &mut Pending| pending.sequence == reply.sequence;
        let Some(pending) = asked.pending.take_if(answered) else {
            return false;
        };
        asked.heard_at = pending.sent_at;
        self.settle_listed(owner, &pending);
        for grant in &reply.grants {
            self.apply_grant(owner, grant, pending.sent_at, now);
        }
        true
    }

    /// Decides what to want of one owner, and gives back what is too much.
    fn demand(&mut self, owner: NodeId, draining: bool, now: Timestamp) -> Vec<Demand> {
        let owners = self.count_owners(owner, now);
        let mut demands = Vec::new();
        for (service, pool) in &mut self.pools {
            pool.need.decay();
            let wanted = if draining { 0 } else { pool.need.wanted() };
            let held = pool.held(None, now);
            let here = pool.held(Some(owner), now);
            let wanted = if held < wanted {
                here + (wanted - held).div_ceil(owners)
            } else {
                let surplus = held - wanted;
                let back = if surplus > wanted / SURPLUS {
                    surplus * here / held.max(1)
                } else {
                    0
                };
                pool.give_back(owner, back);
                here - back
            };
            if wanted > 0 {
                let service = service.clone();
                demands.push(Demand { service, wanted });
            }
        }
        demands
    }

    /// Returns how many owners share what is wanted: the one asked and those that answered lately.
    fn count_owners(&mut self, asked: NodeId, now: Timestamp) -> u32 {
        self.owners
            .retain(|id, owner| *id == asked || owner.heard_at + SILENT > now);
        u32::try_from(self.owners.len()).unwrap_or(u32::MAX)
    }

    fn holds(&mut self, owner: NodeId) -> Vec<Hold> {
        let entries = self.pools.values_mut().flat_map(|pool| &mut pool.entries);
        let of_owner = entries.filter(|entry| entry.is_stated_to(owner));
        let hold = |entry: &mut Entry| {
            entry.reported = entry.abandoned;
            Hold {
                target: entry.target.id,
                epoch: entry.epoch,
                slots: entry.kept(),
                abandoned: entry.abandoned,
            }
        };
        of_owner.map(hold).collect()
    }

    /// Takes note of what the owner now knows.
    fn settle_listed(&mut self, owner: NodeId, pending: &Pending) {
        for target in &pending.listed {
            let Some(entry) = self.entry_mut(*target) else {
                continue;
            };
            if entry.owner != owner {
                continue;
            }
            entry.abandoned = entry.abandoned.saturating_sub(entry.reported);
            entry.reported = 0;
        }
    }

    fn apply_grant(&mut self, owner: NodeId, grant: &Grant, sent_at: Timestamp, now: Timestamp) {
        let id = grant.target.id;
        let known = self.services.contains_key(&id);
        if !known && grant.slots == 0 {
            return;
        }
        self.services
            .entry(id)
            .or_insert_with(|| grant.service.clone());
        let pool = self.pools.entry(grant.service.clone()).or_default();
        let fresh = || Entry::new(grant.target, owner, grant.epoch);
        let entry = pool.entry(id, fresh);
        if grant.epoch < entry.epoch {
            return;
        }
        let succeeds = grant.epoch > entry.epoch;
        if succeeds {
            entry.succeed(owner, grant.epoch, now);
        }
        if !succeeds || grant.slots > 0 {
            entry.grant(grant.slots, sent_at + grant.lease);
        }
    }

    fn forget_stale(&mut self, now: Timestamp) {
        for pool in self.pools.values_mut() {
            pool.entries.retain(|entry| {
                let stale = entry.is_stale(now);
                if stale {
                    self.services.remove(&entry.target.id);
                }
                !stale
            });
        }
    }

    fn entry_mut(&mut self, target: target::Id) -> Option<&mut Entry> {
        let service = self.services.get(&target)?;
        self.pools.get_mut(service)?.find_mut(target)
    }
}
