//! The list of workers, as the owner follows it in the store.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_cell::{
    config::Config,
    engine::Engine,
    event::Registration,
    id::{
        PoolName,
        WorkerId, //
    },
};

use fulmarpier_state::clock::Timestamp;

use crate::port::{
    Fault,
    Platform,
    Record, //
};

/// What an entry says of a worker.
#[derive(Debug, PartialEq)]
pub(super) enum Entry {
    /// It is there, as it reports itself.
    Good(Registration),
    /// It has an entry that names no worker to use.
    Foreign(WorkerId, Fault),
    /// Its entry was removed.
    Removed,
}

/// What the engine has to know of the list.
#[derive(Debug)]
pub(crate) enum Change {
    /// A worker reported itself.
    Registered(Registration),
    /// The store doesn't list a worker any more.
    Unregistered(WorkerId),
    /// What the store lists of a worker names none to use.
    Distrusted(WorkerId),
}

impl Change {
    /// Tells the engine.
    pub(super) fn tell(self, engine: &mut Engine, now: Timestamp) {
        match self {
            Self::Registered(registration) => engine.register(registration, now),
            Self::Unregistered(worker) => engine.unregister(&worker, now),
            Self::Distrusted(worker) => engine.distrust(&worker, now),
        }
    }
}

/// Which workers are listed, and which are not any more.
#[derive(Debug, Default)]
pub(super) struct Listing {
    listed: BTreeSet<WorkerId>,
    missing: BTreeSet<WorkerId>,
    /// The pools that a configuration has named; jobs outlive queues that are removed.
    pools: BTreeSet<PoolName>,
    /// Entries of pools that none has named: one may come that does.
    unnamed: BTreeMap<WorkerId, Record>,
}

impl Listing {
    /// Takes in the pools of a configuration; returns the entries to take again.
    pub(super) fn configure(&mut self, config: &Config) -> Vec<Record> {
        let known = self.pools.len();
        self.pools.extend(config.pools.keys().cloned());
        let queues = config.queues.values();
        self.pools.extend(queues.map(|queue| queue.pool.clone()));
        match self.pools.len() > known {
            true => std::mem::take(&mut self.unnamed).into_values().collect(),
            false => Vec::new(),
        }
    }

    /// Begins anew: what isn't listed again is missing.
    pub(super) fn begin(&mut self) {
        self.unnamed.clear();
        self.missing.append(&mut self.listed);
    }

    /// Takes the newest entry under a key.
    pub(super) fn take<P: Platform>(&mut self, platform: &P, record: &Record) -> Entry {
        let id = WorkerId::from(record.key.as_str());
        self.unnamed.remove(&id);
        if record.value.is_none() {
            self.listed.remove(&id);
            self.missing.insert(id);
            return Entry::Removed;
        }
        self.note(id.clone());
        match platform.registration(record, &self.pools) {
            Ok(registration) => Entry::Good(registration),
            Err(fault) => {
                if fault == Fault::Pool {
                    self.unnamed.insert(id.clone(), record.clone());
                }
                Entry::Foreign(id, fault)
            }
        }
    }

    /// Notes that there is an entry, whatever it says: what can't be read doesn't prove a worker gone.
    pub(super) fn note(&mut self, id: WorkerId) {
        self.missing.remove(&id);
        self.listed.insert(id);
    }

    /// Returns the workers that are missing since this was last asked.
    pub(super) fn take_missing(&mut self) -> BTreeSet<WorkerId> {
        std::mem::take(&mut self.missing)
    }
}
