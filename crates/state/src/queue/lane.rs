//! The waiting jobs of one class and one shape.

use std::collections::BTreeSet;

use super::Entry;
use crate::{
    alias::{
        HashMap,
        HashSet, //
    },
    clock::Timestamp,
    id::JobId,
    placement::Total,
    quota::Slot,
    resource::Resources, //
};

/// Why a lane is not tried, as its last attempt found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Park {
    /// The size that found no room.
    pub size: Resources,
    /// What all workers had left together.
    pub free: Total,
    /// When it was tried.
    pub since: Timestamp,
}

/// How many teams of a lane a sample takes, the least share first.
const SAMPLE_TEAMS: usize = 4;
/// How many jobs of each of these teams a sample takes.
const SAMPLE_JOBS: usize = 4;

/// The place of a job within its team.
type Rank = (Timestamp, Timestamp, JobId);

/// Jobs of nearly one size, by team.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// The teams that may be served, least share first.
    order: BTreeSet<(u64, Slot)>,
    /// The jobs of each team.
    jobs: HashMap<Slot, BTreeSet<Rank>>,
    /// Teams that would pass their quota.
    capped: HashSet<Slot>,
    /// Set while there is no room.
    pub(super) park: Option<Park>,
}

impl Lane {
    /// Adds a job of a team with the given share.
    pub(super) fn insert(&mut self, entry: &Entry, share: u64) {
        let jobs = self.jobs.entry(entry.team).or_default();
        jobs.insert(entry.rank());
        if !self.capped.contains(&entry.team) {
            self.order.insert((share, entry.team));
        }
    }

    /// Removes a job; returns whether its team has none left here.
    pub(super) fn remove(&mut self, entry: &Entry, share: u64) -> bool {
        let Some(jobs) = self.jobs.get_mut(&entry.team) else {
            return true;
        };
        jobs.remove(&entry.rank());
        if !jobs.is_empty() {
            return false;
        }
        self.jobs.remove(&entry.team);
        self.order.remove(&(share, entry.team));
        self.capped.remove(&entry.team);
        true
    }

    /// Returns the job to try next with its place in the order of the class.
    pub(super) fn first(&self) -> Option<(u64, Rank)> {
        let (share, team) = self.order.first()?;
        let rank = self.jobs.get(team)?.first()?;
        Some((*share, *rank))
    }

    /// Returns the first jobs of the first teams.
    pub(super) fn sample(&self) -> impl Iterator<Item = JobId> + '_ {
        let teams = self.order.iter().take(SAMPLE_TEAMS);
        let jobs = teams.filter_map(|(_, team)| self.jobs.get(team));
        jobs.flat_map(|jobs| jobs.iter().take(SAMPLE_JOBS))
            .map(|(_, _, job)| *job)
    }

    /// Moves a team to its new share.
    pub(super) fn reprice(&mut self, team: Slot, from: u64, to: u64) {
        if self.order.remove(&(from, team)) {
            self.order.insert((to, team));
        }
    }

    /// Leaves a team out until [`Self::uncap`].
    pub(super) fn cap(&mut self, team: Slot, share: u64) {
        self.order.remove(&(share, team));
        self.capped.insert(team);
    }

    /// Takes a team in again.
    pub(super) fn uncap(&mut self, team: Slot, share: u64) {
        if self.capped.remove(&team) && self.jobs.contains_key(&team) {
            self.order.insert((share, team));
        }
    }

    /// Returns whether a team is left out for its quota.
    pub(super) fn is_capped(&self, team: Slot) -> bool {
        self.capped.contains(&team)
    }

    /// Returns whether nothing waits here.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether there is a job to try.
    pub(super) fn is_open(&self) -> bool {
        self.park.is_none() && !self.order.is_empty()
    }
}
