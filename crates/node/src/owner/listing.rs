//! The workers that the store lists, as the owner knows them.

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
    record::worker_key,
};

use fulmarpier_state::clock::Timestamp;

use crate::platform::{
    Fault,
    MAX_KEY_BYTES,
    Platform,
    Record, //
};

/// What an entry of the list says about a worker.
#[derive(Debug, PartialEq)]
pub(super) enum Entry {
    /// A valid registration.
    Valid(Registration),
    /// The worker has an entry, but not one that can be used.
    Invalid(WorkerId, Fault),
    /// The entry was removed.
    Removed,
}

/// A change of the list that the engine has to know of.
#[derive(Debug)]
pub(crate) enum Change {
    /// A worker has registered itself.
    Registered(Registration),
    /// A worker is no longer listed.
    Unregistered(WorkerId),
    /// A worker is listed with an entry that can't be used.
    Unusable(WorkerId),
}

impl Change {
    /// Applies the change to the engine.
    pub(super) fn apply_to(self, engine: &mut Engine, now: Timestamp) {
        match self {
            Self::Registered(registration) => engine.register(registration, now),
            Self::Unregistered(worker) => engine.unregister(&worker, now),
            Self::Unusable(worker) => engine.mark_entry_unusable(&worker, now),
        }
    }
}

/// The workers that are listed, and those that are no longer listed.
#[derive(Debug, Default)]
pub(super) struct Listing {
    listed: BTreeSet<WorkerId>,
    missing: BTreeSet<WorkerId>,
    /// The pools that any configuration so far has named; jobs outlive queues that are removed.
    pools: BTreeSet<PoolName>,
    /// Entries whose pool no configuration has named yet; a later one may.
    awaiting_pool: BTreeMap<WorkerId, Record>,
}

impl Listing {
    /// Adds the pools of a configuration; returns the entries to apply again.
    pub(super) fn configure(&mut self, config: &Config) -> Vec<Record> {
        let known = self.pools.len();
        self.pools.extend(config.pools.keys().cloned());
        let queues = config.queues.values();
        self.pools.extend(queues.map(|queue| queue.pool.clone()));
        match self.pools.len() > known {
            true => std::mem::take(&mut self.awaiting_pool)
                .into_values()
                .collect(),
            false => Vec::new(),
        }
    }

    /// Begins a complete read: workers that it doesn't list are missing.
    pub(super) fn begin_full_read(&mut self) {
        self.awaiting_pool.clear();
        self.missing.append(&mut self.listed);
    }

    /// Applies the newest record of a key.
    pub(super) fn apply<P: Platform>(&mut self, platform: &P, record: &Record) -> Entry {
        let id = WorkerId::from(record.key.as_str());
        self.awaiting_pool.remove(&id);
        if record.value.is_none() {
            self.listed.remove(&id);
            self.missing.insert(id);
            return Entry::Removed;
        }
        self.mark_listed(id.clone());
        if worker_key(&id).len() > MAX_KEY_BYTES {
            // The owner could not store what the worker runs.
            return Entry::Invalid(id, Fault::Id);
        }
        match platform.registration(record, &self.pools) {
            Ok(registration) => Entry::Valid(registration),
            Err(fault) => {
                if fault == Fault::Pool {
                    self.awaiting_pool.insert(id.clone(), record.clone());
                }
                Entry::Invalid(id, fault)
            }
        }
    }

    /// Marks a worker as listed, whatever its entry says: an unreadable entry doesn't prove that
    /// the worker is gone.
    pub(super) fn mark_listed(&mut self, id: WorkerId) {
        self.missing.remove(&id);
        self.listed.insert(id);
    }

    /// Returns the workers that went missing since the last call.
    pub(super) fn take_missing(&mut self) -> BTreeSet<WorkerId> {
        std::mem::take(&mut self.missing)
    }
}
