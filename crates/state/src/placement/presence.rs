//! Where the tasks of one job are.

use std::collections::BTreeMap;

use crate::{
    id::{
        DataCentreId,
        RackId,
        WorkerId, //
    },
    worker, //
};

/// How many tasks of one job run on each worker, in each rack and in each data centre.
///
/// Places without a task take no memory; adding and removing costs O(log workers in use).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Presence {
    workers: BTreeMap<WorkerId, u32>,
    racks: BTreeMap<(DataCentreId, RackId), u32>,
    data_centres: BTreeMap<DataCentreId, u32>,
}

impl Presence {
    /// Makes the presence of a job without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one more task on a worker.
    pub fn add(&mut self, worker: &worker::Spec) {
        *self.workers.entry(worker.id).or_default() += 1;
        *self.racks.entry(rack_of(worker)).or_default() += 1;
        *self.data_centres.entry(worker.data_centre).or_default() += 1;
    }

    /// Counts one task less on a worker; a place without tasks stays at zero.
    pub fn remove(&mut self, worker: &worker::Spec) {
        decrement(&mut self.workers, &worker.id);
        decrement(&mut self.racks, &rack_of(worker));
        decrement(&mut self.data_centres, &worker.data_centre);
    }

    /// Returns how many tasks run on a worker.
    pub fn on_worker(&self, worker: WorkerId) -> u32 {
        self.workers.get(&worker).copied().unwrap_or(0)
    }

    /// Returns how many tasks run in a rack.
    pub fn in_rack(&self, data_centre: DataCentreId, rack: RackId) -> u32 {
        let place = (data_centre, rack);
        self.racks.get(&place).copied().unwrap_or(0)
    }

    /// Returns how many tasks run in a data centre.
    pub fn in_data_centre(&self, data_centre: DataCentreId) -> u32 {
        self.data_centres.get(&data_centre).copied().unwrap_or(0)
    }

    /// Returns the racks with tasks and their counts, in order of data centre and rack.
    pub fn racks(&self) -> impl Iterator<Item = ((DataCentreId, RackId), u32)> + '_ {
        self.racks.iter().map(|(place, count)| (*place, *count))
    }

    /// Returns the racks of one data centre with tasks and their counts, in order.
    pub fn racks_in(
        &self,
        data_centre: DataCentreId,
    ) -> impl Iterator<Item = ((DataCentreId, RackId), u32)> + '_ {
        let first = (data_centre, RackId(0));
        let last = (data_centre, RackId(u32::MAX));
        let racks = self.racks.range(first..=last);
        racks.map(|(place, count)| (*place, *count))
    }
}

const fn rack_of(worker: &worker::Spec) -> (DataCentreId, RackId) {
    (worker.data_centre, worker.rack)
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    let Some(count) = counts.get_mut(key) else {
        return;
    };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}
