//! Which workers are leaving.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    clock::Timestamp,
    id::WorkerId, //
};

use crate::{
    config::Document,
    platform::vm::{
        List,
        Role,
        State, //
    },
};

/// Who says that a worker is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The platform's VM list.
    Listed,
    /// An operator's drain.
    Drained,
    /// An operator's quarantine.
    Quarantined,
}

/// A worker that begins to leave, or that is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It gets nothing new from now on.
    Leaves {
        /// The worker.
        worker: WorkerId,
        /// Who said so first.
        cause: Cause,
    },
    /// No cause is left; it gets work again.
    Returns {
        /// The worker.
        worker: WorkerId,
    },
}

/// Which workers are leaving, by the VM list or by command, whichever comes first.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    causes: BTreeMap<WorkerId, BTreeSet<Cause>>,
    as_of: Timestamp,
}

impl Roster {
    /// Makes a roster on which no worker is leaving.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the worker is leaving, so that it gets nothing new.
    pub fn is_leaving(&self, worker: WorkerId) -> bool {
        self.causes.contains_key(&worker)
    }

    /// Takes in the VM list; one that is older than the last is passed over, since the list lags.
    pub fn list(&mut self, list: &List) -> Vec<Departure> {
        if list.as_of < self.as_of {
            return Vec::new();
        }
        self.as_of = list.as_of;
        let leaving = workers_in(list, State::Leaving);
        let live = workers_in(list, State::Live);
        let had = self.with_cause(Cause::Listed);
        let is_gone = |worker: &&WorkerId| !leaving.contains(worker) && !live.contains(worker);
        for &worker in had.iter().filter(is_gone) {
            // It has left; that it is no longer listed doesn't bring it back.
            self.lift(worker, Cause::Listed);
        }
        self.update(Cause::Listed, &leaving)
    }

    /// Takes in the configuration in force.
    pub fn configure(&mut self, document: &Document) -> Vec<Departure> {
        let mut departures = self.update(Cause::Drained, &document.drained.workers);
        departures.extend(self.update(Cause::Quarantined, &document.quarantined));
        departures
    }

    /// Sets the workers to which a cause applies.
    fn update(&mut self, cause: Cause, workers: &BTreeSet<WorkerId>) -> Vec<Departure> {
        let had: BTreeSet<WorkerId> = self.with_cause(cause);
        let mut departures = Vec::new();
        for &worker in workers.difference(&had) {
            if !self.is_leaving(worker) {
                departures.push(Departure::Leaves { worker, cause });
            }
            self.causes.entry(worker).or_default().insert(cause);
        }
        for &worker in had.difference(workers) {
            if self.lift(worker, cause) {
                departures.push(Departure::Returns { worker });
            }
        }
        departures
    }

    fn with_cause(&self, cause: Cause) -> BTreeSet<WorkerId> {
        let has = |(worker, causes): (&WorkerId, &BTreeSet<Cause>)| {
            causes.contains(&cause).then_some(*worker)
        };
        self.causes.iter().filter_map(has).collect()
    }

    /// Takes a cause away; returns whether it was the last one.
    fn lift(&mut self, worker: WorkerId, cause: Cause) -> bool {
        let Some(causes) = self.causes.get_mut(&worker) else {
            return false;
        };
        causes.remove(&cause);
        let last = causes.is_empty();
        if last {
            self.causes.remove(&worker);
        }
        last
    }
}

fn workers_in(list: &List, state: State) -> BTreeSet<WorkerId> {
    let of_state = list.entries.iter().filter(|entry| entry.state == state);
    let workers = of_state.filter_map(|entry| match entry.role {
        Role::Worker(worker) => Some(worker),
        Role::Entry(_) => None,
    });
    workers.collect()
}
