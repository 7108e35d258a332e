//! The open steps, ordered by urgency.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        btree_map::Entry, //
    },
    ops::Bound, //
};

use fulmarpier_state::{
    clock::Timestamp,
    quota, //
};

use super::{
    schedule::Rank,
    timer::Timers, //
};
use crate::id::{
    JobId,
    QueueName,
    StepId, //
};

/// The open steps, ordered by rank.
///
/// The rank of a step changes only when its job becomes late or worth nothing, when its workspace becomes over its share
/// or stops being so, when it has been passed over for long, or when the configuration changes. Since ranks are stored, a pass over 20,000 waiting steps begins with the most urgent one without ranking the others again.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenSteps {
    steps: BTreeMap<StepId, OpenStep>,
    /// The open steps of each workspace that has any.
    by_account: BTreeMap<quota::Slot, BTreeSet<StepId>>,
    /// The ranked steps, with what those wait for that were examined in vain for want of a node.
    ranked: BTreeMap<Rank, Option<NodeWait>>,
    /// What was noted in an earlier generation no longer holds.
    generation: u64,
    unranked: Vec<StepId>,
    /// The times at which ranks change.
    changes: Timers<StepId>,
}

/// What a step waits for on whose workers no advice was asked yet, because no node was free for the call.
///
/// Until a node is free for it, examining it has no effect but to log why it waits.
#[derive(Clone, Debug)]
pub(super) struct NodeWait {
    /// Whether the call is a long one.
    pub(super) is_long: bool,
    /// When the step is examined again in any case.
    pub(super) until: Timestamp,
    /// For a gang, its queue and how many gangs of that had started when the step was opened.
    pub(super) gang: Option<(QueueName, u64)>,
    /// The generation in which it was noted.
    generation: u64,
}

impl NodeWait {
    /// Notes what a step waits for.
    pub(super) const fn new(
        is_long: bool,
        until: Timestamp,
        gang: Option<(QueueName, u64)>,
    ) -> Self {
        Self {
            is_long,
            until,
            gang,
            generation: 0,
        }
    }
}

/// An open step.
#[derive(Clone, Copy, Debug)]
struct OpenStep {
    /// Its rank, once it is computed.
    rank: Option<Rank>,
    /// The account of its workspace, if it belongs to one.
    account: Option<quota::Slot>,
}

impl OpenSteps {
    /// Adds a step, unless it is present, with the account of its workspace.
    pub(super) fn insert(&mut self, id: StepId, account: Option<quota::Slot>) {
        if let Entry::Vacant(place) = self.steps.entry(id) {
            place.insert(OpenStep {
                rank: None,
                account,
            });
            self.unranked.push(id);
            if let Some(account) = account {
                self.by_account.entry(account).or_default().insert(id);
            }
        }
    }

    /// Removes a step.
    pub(super) fn remove(&mut self, id: StepId) {
        self.changes.set(id, None);
        let Some(step) = self.steps.remove(&id) else {
            return;
        };
        if let Some(rank) = step.rank {
            self.ranked.remove(&rank);
        }
        if let Some(account) = step.account {
            self.remove_from_account(account, id);
        }
    }

    /// Removes a step from those of its workspace.
    fn remove_from_account(&mut self, account: quota::Slot, id: StepId) {
        let Some(steps) = self.by_account.get_mut(&account) else {
            return;
        };
        steps.remove(&id);
        if steps.is_empty() {
            self.by_account.remove(&account);
        }
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

    /// Marks all steps of a workspace for ranking.
    pub(super) fn mark_account_unranked(&mut self, account: quota::Slot) {
        let steps = self.by_account.get(&account);
        self.unranked.extend(steps.into_iter().flatten());
    }

    /// Returns all steps.
    pub(super) fn iter(&self) -> impl Iterator<Item = StepId> {
        self.steps.keys().copied()
    }

    /// Returns the accounts of the workspaces that have open steps.
    pub(super) fn accounts(&self) -> impl Iterator<Item = quota::Slot> {
        self.by_account.keys().copied()
    }

    /// Returns the rank of an open step, once it is computed.
    pub(super) fn rank_of(&self, id: StepId) -> Option<Rank> {
        self.steps.get(&id).and_then(|step| step.rank)
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
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        if let Some(before) = step.rank.replace(rank) {
            self.ranked.remove(&before);
        }
        self.ranked.insert(rank, None);
        self.changes.set(id, change);
    }

    /// Returns the rank that follows the given one, or that of the most urgent step if none is given, and drops what
    /// is noted about that step, which is examined next.
    pub(super) fn take_next_after(&mut self, rank: Option<Rank>) -> Option<Rank> {
        let from = rank.map_or(Bound::Unbounded, Bound::Excluded);
        let mut ranked = self.ranked.range_mut((from, Bound::Unbounded));
        let (rank, wait) = ranked.next()?;
        *wait = None;
        Some(*rank)
    }

    /// Notes that a step waits for a node.
    pub(super) fn note_node_wait(&mut self, id: StepId, wait: NodeWait) {
        let generation = self.generation;
        let rank = self.rank_of(id);
        if let Some(noted) = rank.and_then(|rank| self.ranked.get_mut(&rank)) {
            *noted = Some(NodeWait { generation, ..wait });
        }
    }

    /// Drops what is noted about all steps that wait for a node.
    pub(super) const fn forget_node_waits(&mut self) {
        self.generation += 1;
    }

    /// Counts the steps that follow a rank and wait for a node, up to `max` and to the first that doesn't. Returns
    /// their number and the rank of the last one, or the given rank if there are none.
    pub(super) fn count_node_waits(
        &self,
        after: Option<Rank>,
        max: usize,
        holds: impl Fn(&Rank, &NodeWait) -> bool,
    ) -> (usize, Option<Rank>) {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let ranked = self.ranked.range((from, Bound::Unbounded)).take(max);
        let waiting = ranked.take_while(|(rank, wait)| {
            let wait = wait.as_ref();
            wait.is_some_and(|wait| wait.generation == self.generation && holds(rank, wait))
        });
        waiting.fold((0, after), |(count, _), (rank, _)| (count + 1, Some(*rank)))
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
