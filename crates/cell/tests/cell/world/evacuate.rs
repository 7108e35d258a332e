//! Evacuations of data centres, and the checks that nothing is started in an evacuated one.

use std::time::Duration;

use fulmarpier_cell::{
    bounds::Bounds,
    effect::Start,
    id::{
        DataCentre,
        TaskId,
        WorkerId, //
    },
};
use rand::RngExt;

use super::{
    Event, Faults, World,
    worker::{
        DATA_CENTRES,
        Worker, //
    },
};

/// How long after the evacuation of a data centre a task may still be started there.
const EVACUATION_DEADLINE: Duration = Duration::from_secs(3);
/// Maximum time until the nodes have read which data centres are evacuated, while the store is available.
const MAX_READ_DELAY: Duration = Duration::from_millis(300);

/// How many outcomes are stored in one record in a history in which owners change: so few that owners change while some are being packed.
const OUTCOMES_PER_RECORD: usize = 3;

/// Returns the engine's bounds for a history with the given faults.
pub(super) fn bounds(faults: &Faults) -> Bounds {
    let usual = Bounds::default();
    Bounds {
        evacuation_deadline: (faults.evacuations > 0).then_some(EVACUATION_DEADLINE),
        outcomes_per_record: match faults.takeovers > 0 {
            true => OUTCOMES_PER_RECORD,
            false => usual.outcomes_per_record,
        },
        ..usual
    }
}

impl World {
    /// Evacuates a data centre; the nodes read the change after a random delay.
    pub(crate) fn evacuate(&mut self, data_centre: &str) {
        let data_centre = DataCentre::from(data_centre);
        self.evacuated.entry(data_centre).or_insert(self.now);
        self.schedule_operator_read();
    }

    /// Ends the evacuation of a data centre; the nodes read the change after a random delay.
    pub(crate) fn end_evacuation(&mut self, data_centre: &str) {
        self.evacuated.remove(&DataCentre::from(data_centre));
        self.schedule_operator_read();
    }

    /// Evacuates exactly the given data centres; the nodes read the change at once.
    pub(crate) fn set_evacuated(&mut self, data_centres: &[&'static str]) {
        let now = self.now;
        let data_centres = data_centres.iter().copied().map(DataCentre::from);
        self.evacuated = data_centres.map(|name| (name, now)).collect();
        self.read_operator_records();
    }

    /// Returns the tasks that run in a data centre.
    pub(crate) fn tasks_in(&self, data_centre: &str) -> Vec<TaskId> {
        let data_centre = DataCentre::from(data_centre);
        let there = self.workers.values();
        let there = there.filter(|worker| worker.data_centre() == data_centre);
        there.flat_map(Worker::tasks).collect()
    }

    pub(super) fn end_all_evacuations(&mut self) {
        self.evacuated.clear();
        self.schedule_operator_read();
    }

    fn schedule_operator_read(&mut self) {
        let span = MAX_READ_DELAY.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(span, Event::OperatorRead);
    }

    /// Reads which data centres are evacuated and tells the owner, unless the records are unavailable.
    pub(super) fn read_operator_records(&mut self) {
        if self.now < self.outage_end || self.are_operator_records_unavailable {
            return;
        }
        let evacuation = self.evacuated.keys().cloned().collect();
        self.read_evacuation = (evacuation, self.now);
        self.send_evacuation();
    }

    /// Tells the owner of the evacuations that the nodes have read last.
    pub(super) fn send_evacuation(&mut self) {
        let (evacuation, read) = self.read_evacuation.clone();
        self.owner_evacuation = Some(evacuation.clone());
        self.engine.set_evacuation(evacuation, read, self.now);
    }

    /// Clears what the owner knows of evacuations, as there is a new owner.
    pub(super) fn reset_owner_evacuation(&mut self) {
        self.owner_evacuation = None;
    }

    pub(super) fn change_evacuations(&mut self) {
        for data_centre in DATA_CENTRES {
            if !self.chance(self.faults.evacuations) {
                continue;
            }
            match self.evacuated.contains_key(&DataCentre::from(data_centre)) {
                true => self.end_evacuation(data_centre),
                false => self.evacuate(data_centre),
            }
        }
    }

    pub(super) fn is_evacuated_for_owner(&self, worker: &WorkerId) -> bool {
        let known = self.owner_evacuation.as_ref();
        let worker = self.workers.get(worker);
        known
            .zip(worker)
            .is_some_and(|(known, worker)| known.covers(Some(&worker.data_centre())))
    }

    /// Checks that no start is ordered in a data centre that the owner knows to be evacuated, or before the owner knows
    /// which data centres are.
    pub(super) fn check_sent_start(&mut self, order: &Start) {
        let at = format!("{} on {}", order.task, order.to.worker);
        if self.owner_evacuation.is_none() {
            let line = format!("{at}: is ordered before the owner knows what is evacuated");
            self.violations.push(line);
        }
        if self.is_evacuated_for_owner(&order.to.worker) {
            let line = format!("{at}: is ordered in an evacuated data centre");
            self.violations.push(line);
        }
    }

    /// Checks that a call for advice names no worker in an evacuated data centre.
    pub(super) fn check_advice_call(&mut self, workers: &[WorkerId]) {
        let evacuated = workers
            .iter()
            .find(|worker| self.is_evacuated_for_owner(worker));
        if let Some(worker) = evacuated {
            let line = format!("a call for advice names {worker}, in an evacuated data centre");
            self.violations.push(line);
        }
    }

    /// Checks that a start in an evacuated data centre comes within the time that is allowed after its evacuation.
    pub(super) fn check_evacuation(&mut self, order: &Start, is_in_time: bool) {
        let worker = self.workers.get(&order.to.worker);
        let since = worker.and_then(|worker| self.evacuated.get(&worker.data_centre()));
        let is_late = since.is_some_and(|since| *since + EVACUATION_DEADLINE < self.now);
        // The engine can't prevent that an order is executed late.
        if is_in_time && is_late {
            let line = format!(
                "{} on {}: its data centre is evacuated",
                order.task, order.to.worker
            );
            self.violations.push(line);
        }
    }
}
