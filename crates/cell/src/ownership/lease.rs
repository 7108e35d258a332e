//! The owner's lease on the cell.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp, //
};

use super::{
    Electorate,
    LEASE_DURATION,
    MAX_START_DELAY, //
};

/// What the lease of an owner rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Nothing has confirmed the owner yet.
    Unconfirmed,
    /// The store.
    Store,
    /// A quorum of the voters.
    Voters,
    /// It has expired, and can't be extended any more.
    Expired,
}

impl Basis {
    /// Returns the name of the basis, as logs and metrics have it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::Store => "store",
            Self::Voters => "voters",
            Self::Expired => "expired",
        }
    }
}

/// The lease of one ownership. Once it has expired, it stays so.
#[derive(Clone, Debug)]
pub struct Lease {
    /// When the ownership began on this node.
    began: Timestamp,
    /// When the last call was sent by which the store confirmed the claim.
    confirmed_at: Option<Timestamp>,
    /// The electorates of which the store may hold any: two while the outcome of a renewal is unknown.
    electorates: Vec<Electorate>,
    /// When each voter was asked that last confirmed the owner.
    votes: HashMap<SocketAddr, Timestamp>,
    /// Whether the owner has been allowed to act.
    was_valid: bool,
    has_expired: bool,
}

impl Lease {
    /// Creates the lease of a claim that the store has and that names an electorate. `confirmed_at` is when the call
    /// was sent that showed the claim to be the newest one, if this node made such a call.
    ///
    /// If that is too long ago, the owner may act once it is confirmed again. The first confirmation has to be the
    /// store's, since voters that have been restarted may have forgotten a later owner.
    pub fn new(electorate: Electorate, confirmed_at: Option<Timestamp>, now: Timestamp) -> Self {
        let mut lease = Self {
            began: now,
            confirmed_at,
            electorates: vec![electorate],
            votes: HashMap::default(),
            was_valid: false,
            has_expired: false,
        };
        lease.update(now);
        lease
    }

    /// Notes that a renewal is about to be sent, which the store may take without an answer.
    pub fn begin_renewal(&mut self, electorate: Electorate) {
        if !self.electorates.contains(&electorate) {
            self.electorates.push(electorate);
        }
    }

    /// Notes that the claim was the newest one in the store after `sent_at`.
    pub fn confirm(&mut self, sent_at: Timestamp, now: Timestamp) {
        self.update(now);
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.update(now);
    }

    /// Notes that the store holds the claim with this electorate, and that no earlier renewal can still be carried out.
    pub fn settle(&mut self, electorate: Electorate) {
        self.electorates = vec![electorate];
    }

    /// Notes that a voter that was asked at `sent_at` confirms the owner.
    pub fn vote(&mut self, voter: SocketAddr, sent_at: Timestamp, now: Timestamp) {
        self.update(now);
        let last = self.votes.entry(voter).or_default();
        *last = sent_at.max(*last);
        self.update(now);
    }

    /// Returns the voters of all electorates that the store may hold.
    pub fn voters(&self) -> Vec<SocketAddr> {
        let voters = self.electorates.iter().flat_map(|known| &known.voters);
        let mut voters: Vec<SocketAddr> = voters.copied().collect();
        voters.sort_unstable();
        voters.dedup();
        voters
    }

    /// Returns whether the owner may act.
    pub fn is_valid(&mut self, now: Timestamp) -> bool {
        self.update(now);
        !self.has_expired && self.is_confirmed(now)
    }

    /// Returns whether the owner has to stop.
    pub fn has_expired(&mut self, now: Timestamp) -> bool {
        self.update(now);
        self.has_expired
    }

    /// Returns the time since the last call was sent by which the store confirmed the claim.
    pub fn unconfirmed_for(&self, now: Timestamp) -> Duration {
        now.since(self.confirmed_at.unwrap_or(self.began))
    }

    /// Returns when it expires unless it is extended.
    pub fn expires_at(&self) -> Timestamp {
        let begins_until = match self.was_valid {
            true => Timestamp::ZERO,
            false => self.confirmed_at.unwrap_or(self.began) + MAX_START_DELAY,
        };
        let confirmed_at = self.confirmed_at.unwrap_or(Timestamp::ZERO);
        begins_until.max(confirmed_at.max(self.quorum_at()) + LEASE_DURATION)
    }

    /// Returns what it rests on.
    pub fn basis(&self, now: Timestamp) -> Basis {
        let is_recent = |at: Timestamp| at + LEASE_DURATION > now;
        match () {
            () if self.has_expired || self.expires_at() <= now => Basis::Expired,
            () if self.confirmed_at.is_some_and(is_recent) => Basis::Store,
            () if self.is_confirmed(now) => Basis::Voters,
            () => Basis::Unconfirmed,
        }
    }

    /// Returns how many voters have confirmed the owner within a lease.
    pub fn recent_votes(&self, now: Timestamp) -> usize {
        let votes = self.votes.values();
        votes.filter(|at| now.since(**at) < LEASE_DURATION).count()
    }

    /// Returns since when a quorum of each electorate has confirmed the owner.
    fn quorum_at(&self) -> Timestamp {
        let quorums = self.electorates.iter().map(|electorate| {
            let votes = electorate.voters.iter();
            let votes = votes.filter_map(|voter| self.votes.get(voter).copied());
            let mut votes: Vec<Timestamp> = votes.collect();
            votes.sort_unstable_by(|a, b| b.cmp(a));
            let weakest = votes.get(electorate.quorum() - 1);
            weakest.copied().unwrap_or(Timestamp::ZERO)
        });
        quorums.min().unwrap_or(Timestamp::ZERO)
    }

    /// Returns whether the store or a quorum has confirmed the owner within a lease.
    fn is_confirmed(&self, now: Timestamp) -> bool {
        let confirmed_at = self.confirmed_at.map(|at| at.max(self.quorum_at()));
        confirmed_at.is_some_and(|at| at + LEASE_DURATION > now)
    }

    /// Notes whether it is in force, and whether it has expired by now, before anything extends it.
    fn update(&mut self, now: Timestamp) {
        self.was_valid |= self.is_confirmed(now);
        self.has_expired |= self.expires_at() <= now;
    }
}
