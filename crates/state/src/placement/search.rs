//! The search for the best worker.

use std::ops::Range;

use crate::{
    id::WorkerId,
    resource::Resources,
    worker, //
};

use super::{
    Rule,
    Visits,
    entry::Entry,
    orders::{
        Class,
        Orders,
        amounts_from, //
    },
    score::score,
    tree::{
        Slot,
        Tree, //
    },
    weights::Factors, //
};

/// A search for a worker with room for a size under a rule.
pub(super) struct Search<'a> {
    pub(super) orders: &'a Orders,
    pub(super) rule: &'a Rule<'a>,
    pub(super) factors: Factors,
    pub(super) visits: Visits,
    slots: &'a [Entry],
    pub(super) size: &'a Resources,
}

impl<'a> Search<'a> {
    /// Makes a search that has visited nothing.
    pub(super) fn new(
        slots: &'a [Entry],
        orders: &'a Orders,
        size: &'a Resources,
        rule: &'a Rule<'a>,
    ) -> Self {
        Self {
            orders,
            rule,
            factors: Factors::from(&rule.weights),
            visits: Visits::default(),
            slots,
            size,
        }
    }

    /// Returns the best worker of the first class that has any.
    pub(super) fn best(&mut self) -> Option<Slot> {
        let classes = self.orders.classes(self.size.accelerators);
        let mut found = Vec::with_capacity(2 * self.factors.candidates);
        for class in classes {
            self.gather(class, &mut found);
            if !found.is_empty() {
                break;
            }
        }
        self.lowest(&found)
    }

    /// Returns the worker with the lowest score; of equals, the one with the lowest id.
    pub(super) fn lowest(&self, found: &[Slot]) -> Option<Slot> {
        let scored = found
            .iter()
            .map(|slot| (self.score(*slot), self.id(*slot), *slot));
        scored
            .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, _, slot)| slot)
    }

    /// Adds the workers of a class that have the least processor time or memory to spare.
    fn gather(&mut self, class: Class, found: &mut Vec<Slot>) {
        let orders = self.orders;
        let limit = self.factors.candidates;
        let cpu = amounts_from(class, u64::from(self.size.cpu.0));
        self.gather_in(&orders.by_cpu, &cpu, limit, found);
        if found.len() < limit {
            return;
        }
        let memory = amounts_from(class, self.size.memory.0);
        self.gather_in(&orders.by_memory, &memory, limit, found);
    }

    /// Adds up to `limit` workers with keys in the range.
    pub(super) fn gather_in(
        &mut self,
        tree: &Tree,
        keys: &Range<u128>,
        limit: usize,
        found: &mut Vec<Slot>,
    ) {
        if limit == 0 {
            return;
        }
        let full = found.len() + limit;
        self.scan(tree, keys, |slot, _| {
            found.push(slot);
            found.len() < full
        });
    }

    /// Visits the workers with keys in the range that have room and are not to be avoided, until
    /// `take` returns `false`.
    pub(super) fn scan(
        &mut self,
        tree: &Tree,
        keys: &Range<u128>,
        mut take: impl FnMut(Slot, &worker::Spec) -> bool,
    ) {
        let (slots, avoid) = (self.slots, self.rule.avoid);
        let mut take = |slot: Slot| {
            let spec = &slots[slot as usize].spec;
            avoid.contains(&spec.id) || take(slot, spec)
        };
        tree.scan(keys, self.size, &mut self.visits, &mut take);
    }

    fn score(&self, slot: Slot) -> f64 {
        let entry = &self.slots[slot as usize];
        score(self.size, self.rule.runs.as_ref(), entry, &self.factors)
    }

    pub(super) fn id(&self, slot: Slot) -> WorkerId {
        self.slots[slot as usize].spec.id
    }
}
