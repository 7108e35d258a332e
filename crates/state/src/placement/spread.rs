//! The search for a worker that keeps a job's tasks apart.

use std::ops::Range;

use crate::{
    id::{
        DataCentreId,
        RackId, //
    },
    job::Spread,
    worker, //
};

use super::{
    Presence,
    orders::{
        amounts_from,
        data_centre_keys,
        rack_keys, //
    },
    search::Search,
    tree::Slot, //
};

/// A rack with its data centre, and how many tasks of the job it holds.
type Held = ((DataCentreId, RackId), u32);

/// Racks that hold equally many tasks of the job, as ranges of [`Orders::by_place`].
///
/// [`Orders::by_place`]: super::orders::Orders::by_place
type Level = Vec<Range<u128>>;

/// How many of the workers with the least to spare are looked at for one in an ideal place.
const LOOKS: usize = 64;

impl Search<'_> {
    /// Returns the best worker among those in the places with the fewest tasks of the job.
    ///
    /// Most often one of the tightest fits is in a place without any; only else are the places
    /// gone through by their counts.
    pub(super) fn best_apart(&mut self, presence: &Presence) -> Option<Slot> {
        match self.rule.spread {
            Spread::Any => self.best(),
            Spread::Racks | Spread::DataCentres => self
                .best_in_ideal_place(presence)
                .or_else(|| self.best_by_place(presence)),
        }
    }

    fn best_in_ideal_place(&mut self, presence: &Presence) -> Option<Slot> {
        let centres = self.orders.data_centres();
        let fewest = centres.map(|id| presence.in_data_centre(id)).min()?;
        let by_centre = self.rule.spread == Spread::DataCentres;
        let is_ideal = |spec: &worker::Spec| {
            let centre = spec.data_centre;
            let centre_is = !by_centre || presence.in_data_centre(centre) == fewest;
            centre_is && presence.in_rack(centre, spec.rack) == 0
        };
        let candidates = self.factors.candidates;
        let mut found = Vec::with_capacity(candidates);
        let mut looks = LOOKS;
        for class in self.orders.classes(self.size.accelerators) {
            let keys = amounts_from(class, u64::from(self.size.cpu.0));
            let by_cpu = &self.orders.by_cpu;
            self.scan(by_cpu, &keys, |slot, spec| {
                looks -= 1;
                if is_ideal(spec) {
                    found.push(slot);
                }
                found.len() < candidates && looks > 0
            });
            if !found.is_empty() || looks == 0 {
                break;
            }
        }
        self.lowest(&found)
    }

    fn best_by_place(&mut self, presence: &Presence) -> Option<Slot> {
        match self.rule.spread {
            Spread::Any => None,
            Spread::Racks => {
                let free = gaps(0..u128::MAX, presence.racks());
                self.best_by_rack(free, presence.racks().collect(), presence)
            }
            Spread::DataCentres => self.best_by_data_centre(presence),
        }
    }

    fn best_by_data_centre(&mut self, presence: &Presence) -> Option<Slot> {
        let count = |id: &DataCentreId| presence.in_data_centre(*id);
        let mut centres: Vec<DataCentreId> = self.orders.data_centres().collect();
        centres.sort_by_key(count);
        for alike in centres.chunk_by(|a, b| count(a) == count(b)) {
            let held = |id: &DataCentreId| presence.racks_in(*id);
            let free = alike
                .iter()
                .flat_map(|id| gaps(data_centre_keys(*id), held(id)));
            let racks = alike.iter().flat_map(held).collect();
            let found = self.best_by_rack(free.collect(), racks, presence);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Tries the racks without tasks of the job, then the others from the fewest tasks up.
    fn best_by_rack(
        &mut self,
        free: Level,
        mut racks: Vec<Held>,
        presence: &Presence,
    ) -> Option<Slot> {
        let found = self.best_in(&free, presence);
        if found.is_some() {
            return found;
        }
        racks.sort_by_key(|(_, count)| *count);
        for alike in racks.chunk_by(|a, b| a.1 == b.1) {
            let keys = alike
                .iter()
                .map(|((centre, rack), _)| rack_keys(*centre, *rack));
            let found = self.best_in(&keys.collect(), presence);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    fn best_in(&mut self, level: &Level, presence: &Presence) -> Option<Slot> {
        let by_place = &self.orders.by_place;
        let candidates = self.factors.candidates;
        let mut found = Vec::with_capacity(candidates);
        for keys in level {
            let limit = candidates - found.len();
            self.gather_in(by_place, keys, limit, &mut found);
        }
        self.keep_fewest(&mut found, presence);
        self.lowest(&found)
    }

    /// Keeps the workers that hold the fewest tasks of the job themselves.
    fn keep_fewest(&self, found: &mut Vec<Slot>, presence: &Presence) {
        let held = |slot: Slot| presence.on_worker(self.id(slot));
        let fewest = found.iter().map(|slot| held(*slot)).min().unwrap_or(0);
        found.retain(|slot| held(*slot) == fewest);
    }
}

/// Returns what is left of a range of places without the racks that hold tasks, given in order.
fn gaps(within: Range<u128>, racks: impl Iterator<Item = Held>) -> Level {
    let mut free = Level::new();
    let mut start = within.start;
    for ((data_centre, rack), _) in racks {
        let keys = rack_keys(data_centre, rack);
        free.push(start..keys.start);
        start = keys.end;
    }
    free.push(start..within.end);
    free.retain(|keys| !keys.is_empty());
    free
}
