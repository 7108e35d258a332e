//! The workers of a shard, by the VM list and the configuration.

use std::collections::BTreeMap;

use fulmarpier_coordination::{
    config::Document,
    platform::{
        target,
        vm, //
    },
    topology::{
        Map,
        Worker, //
    },
};
use fulmarpier_state::{
    id::WorkerId,
    worker::{
        Condition,
        Spec, //
    },
};

use super::{
    Live,
    Scope,
    link::Link, //
};

impl Live {
    /// Follows the VM list and the configuration.
    pub(crate) fn refresh(&mut self, map: &Map, document: &Document, scope: &mut Scope<'_>) {
        let listed: BTreeMap<WorkerId, Worker> = map
            .workers_of(self.shard)
            .map(|worker| (worker.id, *worker))
            .collect();
        for worker in listed.values() {
            self.refresh_worker(worker, map, document, scope);
        }
        let known = self.links.keys().copied();
        let gone: Vec<WorkerId> = known.filter(|id| !listed.contains_key(id)).collect();
        for worker in gone {
            self.unlist(worker, scope);
        }
    }

    /// Returns what a worker may be used for while it answers.
    pub(super) fn wanted_condition(&self, worker: WorkerId) -> Condition {
        self.wanted.get(&worker).copied().unwrap_or_default()
    }

    fn refresh_worker(
        &mut self,
        worker: &Worker,
        map: &Map,
        document: &Document,
        scope: &mut Scope<'_>,
    ) {
        let id = worker.id;
        let spec = Spec::new(id, worker.capacity)
            .region(map.region())
            .place(worker.data_centre, worker.rack);
        let new = !self.links.contains_key(&id);
        let effects = self.engine.upsert_worker(spec, scope.now);
        self.carry_out(effects, scope);
        let link = self
            .links
            .entry(id)
            .or_insert_with(|| Link::new(id, worker.address, scope.now));
        link.address = worker.address;
        if new {
            // A worker takes work only once it was taken at this epoch.
            link.lost = self.recovery.is_none();
            let effects = self.engine.set_condition(id, Condition::Lost, scope.now);
            self.carry_out(effects, scope);
            if let Some(recovery) = &mut self.recovery {
                recovery.listed(id);
            }
        }
        let wanted = condition(worker, document);
        if self.wanted.insert(id, wanted) != Some(wanted) {
            self.apply_condition(id, wanted, scope);
        }
    }

    /// Brings a changed wish into force for a worker that answers.
    fn apply_condition(&mut self, worker: WorkerId, wanted: Condition, scope: &mut Scope<'_>) {
        if wanted == Condition::Leaving {
            self.withdraw_targets(worker, scope);
        }
        let present = self.engine.workers().find(|(spec, _)| spec.id == worker);
        let closed = present.is_none_or(|(_, condition)| condition == Condition::Lost);
        if closed {
            return;
        }
        let effects = self.engine.set_condition(worker, wanted, scope.now);
        self.carry_out(effects, scope);
    }

    /// Takes the slots of all targets on a worker out of use.
    fn withdraw_targets(&self, worker: WorkerId, scope: &mut Scope<'_>) {
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        for (task, attempt) in &link.running {
            let id = target::Id {
                task: *task,
                attempt: *attempt,
            };
            scope.credits.withdraw(id);
        }
    }

    /// Follows a worker that is no longer listed; it is dropped once nothing on it can run.
    fn unlist(&mut self, worker: WorkerId, scope: &mut Scope<'_>) {
        if let Some(recovery) = &mut self.recovery {
            recovery.unlisted(worker, scope.now);
        }
        let Some(link) = self.links.get(&worker) else {
            return;
        };
        if !link.lost {
            self.withdraw_targets(worker, scope);
            self.wanted.insert(worker, Condition::Leaving);
            self.apply_condition(worker, Condition::Leaving, scope);
            return;
        }
        self.links.remove(&worker);
        self.wanted.remove(&worker);
        let effects = self.engine.remove_worker(worker, scope.now);
        self.carry_out(effects, scope);
    }
}

/// Returns what the list and the operators say of a worker.
fn condition(worker: &Worker, document: &Document) -> Condition {
    if worker.state == vm::State::Leaving || document.drained.workers.contains(&worker.id) {
        Condition::Leaving
    } else if document.quarantined.contains(&worker.id) {
        Condition::Quarantined
    } else {
        Condition::Open
    }
}
