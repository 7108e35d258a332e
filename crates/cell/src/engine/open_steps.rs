//! The open steps, ordered by urgency.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        btree_map::Entry, //
    },
    ops::Bound, //
};

use fulmarpier_state::clock::Timestamp;

use super::{
    schedule::Rank,
    timer::Timers, //
};
use crate::id::{
    JobId,
    StepId, //
};

/// The open steps, ordered by rank.
///
/// The rank of a step changes only when its job becomes late or worth nothing, or when the configuration changes. Since
/// ranks are stored, a pass over 20,000 waiting steps begins with the most urgent one without ranking the others again.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenSteps {
    /// All open steps, with their ranks once they are computed.
    steps: BTreeMap<StepId, Option<Rank>>,
    ranked: BTreeSet<Rank>,
    unranked: Vec<StepId>,
    /// The times at which ranks change.
    changes: Timers<StepId>,
}

impl OpenSteps {
    /// Adds a step, unless it is present.
    pub(super) fn insert(&mut self, id: StepId) {
        if let Entry::Vacant(place) = self.steps.entry(id) {
            place.insert(None);
            self.unranked.push(id);
        }
    }

    /// Removes a step.
    pub(super) fn remove(&mut self, id: StepId) {
        if let Some(Some(rank)) = self.steps.remove(&id) {
            self.ranked.remove(&rank);
        }
        self.changes.set(id, None);
    }

    /// Removes all steps of a job.
    pub(super) fn remove_job(&mut self, job: JobId) {
        let steps = self.steps.range(StepId::all_of(job));
        let steps: Vec<StepId> = steps.map(|(id, _)| *id).collect();
        for id in steps {
            self.remove(id);
        }
    }

    /// Marks all steps for ranking.
    pub(super) fn mark_all_unranked(&mut self) {
        self.unranked = self.steps.keys().copied().collect();
    }

    /// Marks a step for ranking.
    pub(super) fn mark_unranked(&mut self, id: StepId) {
        self.unranked.push(id);
    }

    /// Returns the rank of an open step, once it is computed.
    pub(super) fn rank_of(&self, id: StepId) -> Option<Rank> {
        self.steps.get(&id).copied().flatten()
    }

    /// Removes and returns the steps that have to be ranked now.
    pub(super) fn take_unranked(&mut self, now: Timestamp) -> Vec<StepId> {
        let mut unranked = std::mem::take(&mut self.unranked);
        unranked.extend(self.changes.take_due(now));
        unranked.retain(|id| self.steps.contains_key(id));
        unranked
    }

    /// Sets the rank of a step, and the time at which it changes.
    pub(super) fn rank(&mut self, rank: Rank, change: Option<Timestamp>) {
        let id = rank.step;
        if let Some(Some(before)) = self.steps.insert(id, Some(rank)) {
            self.ranked.remove(&before);
        }
        self.ranked.insert(rank);
        self.changes.set(id, change);
    }

    /// Returns the rank that follows the given one, or that of the most urgent step if none is given.
    pub(super) fn next_after(&self, rank: Option<Rank>) -> Option<Rank> {
        let from = rank.map_or(Bound::Unbounded, Bound::Excluded);
        self.ranked.range((from, Bound::Unbounded)).next().copied()
    }

    /// Returns the ids of all open steps.
    pub(super) fn ids(&self) -> impl Iterator<Item = &StepId> {
        self.steps.keys()
    }

    /// Returns the number of open steps.
    pub(super) fn len(&self) -> usize {
        self.steps.len()
    }
}
