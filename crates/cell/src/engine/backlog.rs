//! The backlog of decisions: the open steps that no scheduling pass has examined yet, and how long a new one waits.
//!
//! A step that was examined and fits nowhere waits for capacity and is no backlog. While passes examine every new step,
//! the backlog is empty.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    quota, //
};

use super::Engine;
use crate::{
    id::StepId,
    workspace::WorkspaceName, //
};

/// The time over which the rate of passes is averaged. It spans many passes, and the rate follows a change of load
/// before the shortest delay after which callers come again.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How long a step that opens now waits until a scheduling pass examines it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// The wait of a step of an urgent queue.
    pub urgent: Duration,
    /// The wait of a step of another queue.
    pub other: Duration,
}

/// The number of unexamined steps, by whether their queues are urgent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    urgent: usize,
    other: usize,
}

impl Count {
    const fn total(self) -> usize {
        self.urgent + self.other
    }

    const fn of(&mut self, is_urgent: bool) -> &mut usize {
        match is_urgent {
            true => &mut self.urgent,
            false => &mut self.other,
        }
    }
}

/// An open step that no pass has examined.
#[derive(Clone, Copy, Debug)]
struct Unexamined {
    account: Option<quota::Slot>,
    /// Whether its queue is urgent; `None` if it is not ranked yet or has no value any more.
    is_urgent: Option<bool>,
}

/// The open steps that no pass has examined, and the rate at which passes examine them.
#[derive(Clone, Debug, Default)]
pub(super) struct UnexaminedSteps {
    steps: HashMap<StepId, Unexamined>,
    total: Count,
    by_account: BTreeMap<Option<quota::Slot>, Count>,
    /// How many steps were examined for the first time since the last pass ended.
    examined: usize,
    /// When the last pass ended that left steps unexamined.
    left_at: Option<Timestamp>,
    /// How many steps were examined for the first time while others were left, and in which time; both are halved
    /// whenever the time exceeds [`RATE_WINDOW`].
    served: usize,
    served_in: Duration,
}

impl UnexaminedSteps {
    /// Adds a step that has opened.
    pub(super) fn insert(&mut self, id: StepId, account: Option<quota::Slot>) {
        let step = Unexamined {
            account,
            is_urgent: None,
        };
        self.steps.insert(id, step);
    }

    /// Removes a step.
    pub(super) fn remove(&mut self, id: StepId) {
        if let Some(step) = self.steps.remove(&id) {
            self.uncount(step);
        }
    }

    /// Sets whether the queue of a step is urgent; `None` if the step has no value any more.
    pub(super) fn rank(&mut self, id: StepId, is_urgent: Option<bool>) {
        let Some(step) = self.steps.get_mut(&id) else {
            return;
        };
        let before = *step;
        step.is_urgent = is_urgent;
        self.uncount(before);
        if let Some(is_urgent) = is_urgent {
            *self.total.of(is_urgent) += 1;
            let count = self.by_account.entry(before.account).or_default();
            *count.of(is_urgent) += 1;
        }
    }

    /// Notes that a pass examines a step.
    pub(super) fn examine(&mut self, id: StepId) {
        if let Some(step) = self.steps.remove(&id) {
            self.uncount(step);
            self.examined += usize::from(step.is_urgent.is_some());
        }
    }

    /// Notes the end of a pass.
    pub(super) fn end_pass(&mut self, now: Timestamp) {
        let examined = std::mem::take(&mut self.examined);
        if let Some(left_at) = self.left_at {
            self.served += examined;
            self.served_in += now.since(left_at);
        }
        if self.served_in > RATE_WINDOW {
            self.served /= 2;
            self.served_in /= 2;
        }
        self.left_at = (self.total.total() > 0).then_some(now);
        if self.left_at.is_none() {
            self.served = 0;
            self.served_in = Duration::ZERO;
        }
    }

    /// Returns how long a step that opens now waits until it is examined. Passes examine urgent steps first.
    fn backlog(&self) -> Backlog {
        Backlog {
            urgent: self.wait_behind(self.total.urgent),
            other: self.wait_behind(self.total.total()),
        }
    }

    /// Returns how long passes take for a number of steps and one more. Passes that examined none of the steps count
    /// as if the next one examined one.
    fn wait_behind(&self, steps: usize) -> Duration {
        let served = (self.served + 1) as f64;
        let passes = steps as f64 / served;
        Duration::try_from_secs_f64(self.served_in.as_secs_f64() * passes).unwrap_or(Duration::MAX)
    }

    fn uncount(&mut self, step: Unexamined) {
        let Some(is_urgent) = step.is_urgent else {
            return;
        };
        *self.total.of(is_urgent) -= 1;
        if let Some(count) = self.by_account.get_mut(&step.account) {
            *count.of(is_urgent) -= 1;
            if count.total() == 0 {
                self.by_account.remove(&step.account);
            }
        }
    }

    /// Returns how many unexamined steps there are for each workspace that has any, and for jobs without one.
    fn by_account(&self) -> impl Iterator<Item = (Option<quota::Slot>, usize)> {
        let counts = self.by_account.iter();
        counts.map(|(account, count)| (*account, count.total()))
    }
}

impl Engine {
    /// Returns how long a step that opens now waits until a scheduling pass examines it.
    pub fn backlog(&self) -> Backlog {
        self.open_steps.unexamined().backlog()
    }

    /// Returns the workspaces whose part of the backlog is as large as their share or larger, by weight among those
    /// with open steps; `None` among them stands for the jobs without a workspace. Returns `None` if there are no
    /// workspaces.
    pub fn backlogged_workspaces(&self) -> Option<Vec<Option<WorkspaceName>>> {
        if !self.has_workspaces() {
            return None;
        }
        let unexamined = self.open_steps.unexamined();
        let total = unexamined.total.total() as u64;
        let weight = |account: Option<quota::Slot>| -> u64 {
            let weight = account.map_or(1, |account| self.quotas.account(account).limit.weight);
            weight.max(1).into()
        };
        let without_workspace = unexamined
            .by_account()
            .any(|(account, _)| account.is_none());
        let asking = self.open_steps.accounts().map(Some);
        let asking = asking.chain(without_workspace.then_some(None));
        let weights: u64 = asking.map(weight).sum();
        let backlogged = unexamined
            .by_account()
            .filter(|(account, steps)| *steps as u64 * weights >= weight(*account) * total);
        let name = |account: quota::Slot| self.quotas.account(account).team.clone();
        let names = backlogged.map(|(account, _)| account.map(name));
        Some(names.collect())
    }
}
